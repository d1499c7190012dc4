package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// splitFleet is a fleet with three services with model endpoints, named by the IDs of their endpoints.
type splitFleet struct {
	*fleet
	version int
}

const splitPrepaid = 500_000_000

// newSplitFleet starts instances in front of three services, each of which has two endpoints of each version.
func newSplitFleet(tt *testing.T, versions []string, backends []stand.Backend) *splitFleet {
	sf := &splitFleet{fleet: newFleet(tt, fleetConfig{instances: 0, prepaid: splitPrepaid, versions: []string{"none"}})}
	sf.store.Put(wire.RegistrationTopic, "model-0", nil)
	sf.models = nil
	for _, service := range []string{"a", "b", "c"} {
		for _, version := range versions {
			for ix := range 2 {
				id := fmt.Sprint(service, "-", version, "-", ix)
				sf.models = append(sf.models, sf.addEndpoint(id, stand.EndpointConfig{
					ID: id, Service: service, Domain: "zone-a", Slots: 32, Events: testEvents, Version: version, RestartTime: 2 * time.Second,
				}))
			}
		}
	}
	sf.configure(backends)
	for ix := range 4 {
		sf.start(fmt.Sprint("instance-", ix))
	}
	for _, in := range sf.instances {
		sf.await("the instance is ready", in.edge.Ready)
		sf.await("the instance knows its peers", func() bool { return len(in.edge.Members()) == len(sf.instances) })
	}
	return sf
}

// configure writes the next version of the configuration, whose only route goes to the given services.
func (sf *splitFleet) configure(backends []stand.Backend) {
	sf.version++
	sf.store.Put(wire.OperatorTopic, wire.ConfigurationKey, stand.Manifest{
		Version: sf.version + 1, Host: testHost, TimeoutMs: 15_000, TargetMs: 2000, Model: "a", MoreModels: []string{"b", "c"}, Plain: "plain", Stride: testStride,
		Team: testTeam, Key: testKey, Prepaid: splitPrepaid,
		Routes: []stand.Route{{Name: "resume", Kind: "streaming", Sends: 1, Resume: true, Backends: backends}},
	}.Encode())
}

// softwareOf returns the services and versions that ran a request, each as SERVICE VERSION.
func (sf *splitFleet) softwareOf(id string) []string {
	var list []string
	for _, en := range sf.models {
		for _, ru := range en.Runs() {
			if ru.ID == id {
				service, _, _ := strings.Cut(en.ID(), "-")
				list = append(list, service+" "+ru.Version)
			}
		}
	}
	return list
}

func equally(services ...string) []stand.Backend {
	var list []stand.Backend
	for _, name := range services {
		list = append(list, stand.Backend{Service: name, Weight: 10})
	}
	return list
}

// TestStreamOfSplitRoute guards against streams of a split route that are taken up again at another service than the one that began them: they were refused, or
// went on with the events of other software.
func TestStreamOfSplitRoute(tt *testing.T) {
	const count = 40
	cases := []struct {
		name     string
		versions []string
		before   []stand.Backend
		// after is the route when the streams are resumed; empty means that it does not change. stops is set if the instance that began them has stopped.
		after []stand.Backend
		stops bool
		// want is the part of the streams that must go on, in percent.
		want int
	}{
		{"three services", twoVersions[:2], equally("a", "b", "c"), nil, false, 100},
		{"three services, the instance has stopped", twoVersions[:2], equally("a", "b", "c"), nil, true, 90},
		{"one version", twoVersions[:1], equally("a", "b", "c"), nil, true, 90},
		{"weights of 1 and 99", twoVersions[:2], []stand.Backend{{Service: "a", Weight: 1}, {Service: "b", Weight: 99}}, nil, true, 90},
		{"the weights change", twoVersions[:1], equally("a", "b", "c"), []stand.Backend{{Service: "a", Weight: 98}, {Service: "b", Weight: 1}, {Service: "c", Weight: 1}}, true, 90},
		{"the route is split", twoVersions[:1], equally("a"), equally("a", "b", "c"), true, 90},
		{"a service is dropped", twoVersions[:1], equally("a", "b", "c"), equally("a", "b"), true, 30},
		{"the route moves", twoVersions[:1], equally("a"), equally("b"), false, 0},
		{"the route moves, the instance has stopped", twoVersions[:1], equally("a"), equally("b"), true, 0},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tt.Parallel()
			sf := newSplitFleet(tt, tc.versions, tc.before)
			sf.setFaults(stand.Breaking)
			events := make([]int, count)
			for number := range count {
				_, events[number] = sf.brokenStream(sf.instances[0], number)
			}
			sf.setFaults(stand.Healthy)
			if len(tc.after) > 0 {
				sf.configure(tc.after)
				for _, in := range sf.instances {
					sf.await("the configuration is in force", func() bool { return in.edge.Plan().Version() == int64(sf.version+1) })
				}
				sf.awaitShared()
			}
			if tc.stops {
				sf.instances[0].stop()
				<-sf.instances[0].done
			}
			resumed, begun := 0, 0
			for number := range count {
				if events[number] == 0 {
					continue
				}
				begun++
				id := fmt.Sprint("begun-", number)
				rq := streamRequest(fmt.Sprint("resumed-", number), number)
				rq.header = map[string]string{stand.HeaderLastEvent: fmt.Sprint(events[number]), stand.HeaderResumes: id}
				if got := sf.send(sf.instances[1+number%3], rq); got.Status == http.StatusOK && got.Complete {
					resumed++
				}
				began := sf.softwareOf(id)[0]
				for _, software := range sf.softwareOf(rq.id) {
					if software != began {
						tt.Errorf("stream %s began at %s and went on at %s", id, began, software)
					}
				}
			}
			if resumed*100 < begun*tc.want {
				tt.Errorf("%d of %d streams went on, want %d in 100", resumed, begun, tc.want)
			}
		})
	}
}

// awaitShared waits until the datagrams that a change of the configuration causes have arrived.
func (sf *splitFleet) awaitShared() { time.Sleep(200 * time.Millisecond) }
