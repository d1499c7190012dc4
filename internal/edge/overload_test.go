package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/shed"
	"github.com/clementineweir/clementineweir/platform/stand"
)

// TestOverloadedInstanceRefuses guards against an instance that takes more requests although its own lag makes them late, refuses them in a way that callers
// cannot retry, or gives up what it has taken.
func TestOverloadedInstanceRefuses(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{prepaid: plenty, pause: 400 * time.Millisecond})
	// All that the process does is more than this share of a core.
	in := fl.startLimited("instance-small", 0.0001, 0)
	fl.await("the instance is ready", in.edge.Ready)
	taken := make(chan response, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fl.await("the instance sheds", func() bool {
		in.edge.FeedLag(60 * time.Millisecond)
		return in.edge.Shedding()
	})
	// A stream has time enough to be served in spite of this lag.
	go func() {
		taken <- fl.send(in, request{id: "taken", route: "resume", key: testKey, prompt: 20, output: testEvents * testStride})
	}()
	fl.await("the stream runs", func() bool { return len(fl.runsOf("taken")) > 0 })
	go func() {
		for ctx.Err() == nil {
			in.edge.FeedLag(time.Second)
			time.Sleep(time.Millisecond)
		}
	}()
	number := 0
	var refused response
	fl.await("a request is refused", func() bool {
		number++
		refused = fl.send(in, request{id: fmt.Sprint("shed-", number), route: "unsafe", key: testKey, body: strings.Repeat("x", 20_000)})
		return refused.Status != http.StatusOK
	})
	after, err := strconv.ParseFloat(refused.RetryAfter, 64)
	if refused.Status != http.StatusServiceUnavailable || err != nil || after < 0.05 || after > 0.2 || !strings.Contains(refused.Body, `"notRun"`) {
		tt.Errorf("the response to a refused request: %+v", refused)
	}
	if runs := fl.runsOf(fmt.Sprint("shed-", number)); len(runs) > 0 {
		tt.Errorf("endpoints ran the refused request %d times", len(runs))
	}
	want := response{Status: http.StatusOK, Body: stand.Stream("taken", testEvents), Complete: true}
	if diff := cmp.Diff(want, <-taken); diff != "" {
		tt.Errorf("the response to the request that was taken before (-want +got):\n%s", diff)
	}
}

// TestFullDownlinkRefuses guards against an instance whose link is full of what callers send and that does not notice, since it refuses these requests and
// reads their bodies only to the end.
func TestFullDownlinkRefuses(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{prepaid: plenty})
	in := fl.startLimited("instance-small", 0, 2)
	fl.await("the instance is ready", in.edge.Ready)
	body := strings.Repeat("x", 50_000)
	number := 0
	var refused response
	fl.await("a request is refused", func() bool {
		number++
		fl.send(in, request{id: fmt.Sprint("no-key-", number), route: "unsafe", key: "unknown", body: body})
		refused = fl.send(in, request{id: fmt.Sprint("shed-", number), route: "unsafe", key: testKey, header: map[string]string{stand.HeaderDeadline: "500"}})
		return refused.Status != http.StatusOK
	})
	if refused.Status != http.StatusServiceUnavailable || !strings.Contains(refused.Body, `"notRun"`) || in.edge.ShedReason() != shed.Incoming {
		tt.Errorf("the response to a refused request: %+v, reason %q", refused, in.edge.ShedReason())
	}
	if runs := fl.runsOf(fmt.Sprint("shed-", number)); len(runs) > 0 {
		tt.Errorf("endpoints ran the refused request %d times", len(runs))
	}
}
