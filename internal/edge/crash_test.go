package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	// crashPart is the part of prompts that crashes endpoints.
	crashPart = "dead"
	// crashesUntilKnown is the number of crashes after which every instance must refuse requests with the part, once stableTime has passed.
	crashesUntilKnown = 5
	// stableTime is the time that instances have to learn of the crashes.
	stableTime = 3 * time.Second
	// maxLateRequests is the number of requests with the part that may reach endpoints after that.
	maxLateRequests = 3
)

// crashFleet is a fleet whose model endpoints crash on crashPart.
type crashFleet struct {
	*fleet
	sent int
}

func newCrashFleet(tt *testing.T, instances, models int) *crashFleet {
	cf := &crashFleet{fleet: newFleet(tt, fleetConfig{instances: instances, prepaid: plenty})}
	for _, en := range cf.models {
		en.SetFault(stand.Declining)
	}
	for ix := range 3 {
		cf.store.Put(wire.RegistrationTopic, fmt.Sprint("model-", ix), nil)
	}
	for ix := range models {
		id := fmt.Sprint("crashing-", ix)
		cf.models = append(cf.models, cf.addEndpoint(id, stand.EndpointConfig{
			ID: id, Service: "model", Domain: "zone-a", Slots: 32, Events: testEvents, CrashPart: crashPart, RestartTime: 300 * time.Millisecond,
		}))
	}
	for _, in := range cf.instances {
		cf.await("all endpoints are known", func() bool { return in.edge.UsableEndpoints("model") == models })
	}
	return cf
}

// sendParts sends a new request with the given shared parts to the next instance, and reports whether it was answered completely.
func (cf *crashFleet) sendParts(parts ...string) bool {
	cf.sent++
	id := fmt.Sprint("request-", cf.sent)
	got := cf.send(cf.instances[cf.sent%len(cf.instances)], request{
		id: id, route: "resume", key: testKey, body: "prompt of " + id, prompt: 90, output: testEvents * testStride,
		parts: append(parts, fmt.Sprintf("f%x", cf.sent)),
	})
	return got.Status == http.StatusOK && got.Complete
}

func (cf *crashFleet) crashes() int {
	sum := 0
	for _, en := range cf.models {
		sum += int(en.Crashes())
	}
	return sum
}

// TestPartCrashesEndpoints guards against requests that share one part of their prompts, but no more, and crash one endpoint after the other.
func TestPartCrashesEndpoints(tt *testing.T) {
	cases := []struct {
		name string
		// before are the shared parts ahead of the crashing one; the first is shared with all requests.
		before [][]string
	}{
		{"always after the same parts", [][]string{{"a0", "b1"}}},
		{"after parts that vary", [][]string{{"a0", "b1"}, {"a0", "b2"}, {"a0", "b3"}}},
		{"as the first part", [][]string{{}}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			cf := newCrashFleet(tt, 4, 9)
			for range 8 {
				cf.sendParts("a0", "b0")
			}
			for ix := 0; ix < 40 && cf.crashes() < crashesUntilKnown; ix++ {
				cf.sendParts(append(append([]string{}, tc.before[ix%len(tc.before)]...), crashPart)...)
				cf.sendParts("a0", "b0")
			}
			time.Sleep(stableTime)
			known := cf.crashes()
			sound, served := 0, 0
			for ix := range 24 {
				cf.sendParts(append(append([]string{}, tc.before[ix%len(tc.before)]...), crashPart)...)
				for _, subject := range []string{"b0", "b1", "b2"} {
					sound++
					if cf.sendParts("a0", subject) {
						served++
					}
				}
			}
			if late := cf.crashes() - known; late > maxLateRequests {
				tt.Errorf("%d requests with the part crashed endpoints after %d crashes were known, want at most %d", late, known, maxLateRequests)
			}
			if served < sound/2 {
				tt.Errorf("%d of %d requests without the part were answered, want at least half", served, sound)
			}
		})
	}
}
