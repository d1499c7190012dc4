package edge_test

import (
	"fmt"
	"testing"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// TestCrashedEndpointsAreNoCut guards against an instance that takes its link for cut when several endpoints have crashed and are still registered: it
// then discards what it knows of the other endpoints, and takes further crashes for failures of the link.
func TestCrashedEndpointsAreNoCut(tt *testing.T) {
	const crashed, count = 6, 60
	fl := newFleet(tt, fleetConfig{instances: 2, prepaid: plenty})
	for ix := range crashed {
		id := fmt.Sprint("crashed-", ix)
		en := stand.NewEndpoint(stand.EndpointConfig{ID: id, Service: "model", Domain: "zone-a", Slots: 32, Events: testEvents})
		fl.store.Put(wire.RegistrationTopic, id, en.Registration(fl.freeAddress(), "ready", 1))
	}
	in := fl.instances[0]
	fl.await("all endpoints are known", func() bool { return in.edge.UsableEndpoints("model") == crashed+len(fl.models) })
	cut, served := 0, 0
	for ix := range count {
		got := fl.send(in, request{
			id: fmt.Sprint("request-", ix), route: "resume", key: testKey, prompt: 100, output: testEvents * testStride, parts: []string{"aa", fmt.Sprintf("%x", ix)},
		})
		if got.Complete {
			served++
		}
		if in.edge.LinkCut() {
			cut++
		}
	}
	if cut > 0 {
		tt.Errorf("the link counted as cut after %d of %d requests, although %d endpoints could be reached", cut, count, len(fl.models))
	}
	if served < count*9/10 {
		tt.Errorf("%d of %d requests were served, want at least nine in ten", served, count)
	}
}
