package edge_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/clementineweir/clementineweir/platform/wire"
)

// TestCutOffAlone makes the store unreachable for one of two instances: it gets configuration and tokens through its peer.
func TestCutOffAlone(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: 20_000})
	var cut atomic.Bool
	directURL := fl.storeURL
	fl.storeURL = fl.listen(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if cut.Load() {
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fl.store.ServeHTTP(wr, rq)
	}))
	alone := fl.start("instance-alone")
	fl.storeURL = directURL
	fl.await("the second instance holds tokens", func() bool { return alone.edge.Ready() && alone.balance().Granted > 0 })
	cut.Store(true)
	fl.store.Put(wire.OperatorTopic, wire.ConfigurationKey, manifest(2, 20_000))
	fl.await("the new configuration came through the peer", func() bool { return alone.edge.Plan().Version() == 2 })
	served := 0
	for ix := range 100 {
		got := fl.send(alone, request{id: fmt.Sprint("request-", ix), route: "resume", key: testKey, prompt: 100, output: testEvents * testStride})
		if got.Status == http.StatusOK {
			served++
		}
	}
	// The instance holds about half of the total itself; it must have borrowed the other tokens from its peer.
	if served < 90 {
		tt.Errorf("%d of 100 requests were served, want at least 90: the total covers all 100", served)
	}
}
