package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// TestLostResponsesAreNoCrashes guards against a quarantine of sound requests: endpoints that lose responses close connections as crashed ones do, but go on
// to serve. A prompt part that happened to be in several of the lost requests was refused for ten minutes.
func TestLostResponsesAreNoCrashes(tt *testing.T) {
	const lost, count = 16, 32
	fl := newFleet(tt, fleetConfig{instances: 4, prepaid: plenty, versions: []string{"v1", "v1", "v1", "v1", "v1", "v1"}})
	send := func(name string, number int) response {
		return fl.send(fl.instances[number%len(fl.instances)], request{
			id: fmt.Sprint(name, "-", number), route: "resume", key: testKey, prompt: 100, output: testEvents * testStride, parts: []string{"aa", "b1", fmt.Sprintf("%s%x", name, number)},
		})
	}
	for _, en := range fl.models {
		en.SetFault(stand.Aborting)
	}
	for number := range lost {
		send("a", number)
	}
	for _, en := range fl.models {
		en.SetFault(stand.Healthy)
	}
	served := 0
	var refused response
	for number := range count {
		if got := send("b", number); got.Status == http.StatusOK && got.Complete {
			served++
		} else {
			refused = got
		}
	}
	if served < count*9/10 {
		tt.Errorf("%d of %d requests were served after %d responses were lost, want at least nine in ten; one got %+v", served, count, lost, refused)
	}
}
