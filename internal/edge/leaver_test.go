package edge_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// TestCallerLeavesBeforeResponse lets a caller leave while an endpoint runs its request and has not responded. The prompt may have been read, so it must be
// charged.
func TestCallerLeavesBeforeResponse(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: 1_000_000, versions: []string{"v1"}})
	fl.setFaults(stand.Hanging)
	in := fl.instances[0]
	before := in.balance().Spent
	rq := streamRequest("left", 1)
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if rs, err := http.DefaultTransport.RoundTrip(fl.build(in, rq).WithContext(ctx)); err == nil {
			_ = rs.Body.Close()
		}
	}()
	fl.await("the request runs", func() bool { return len(fl.runsOf("left")) > 0 })
	leave()
	<-done
	fl.await("the request is settled", func() bool { return in.balance().Reserved == 0 })
	if spent := in.balance().Spent - before; spent < rq.prompt {
		tt.Errorf("%d tokens were charged, want at least the %d of the prompt", spent, rq.prompt)
	}
}
