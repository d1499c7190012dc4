package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// TestHeadWithoutLength checks that a response to HEAD, which has neither a body nor a length, is complete.
func TestHeadWithoutLength(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
	for _, en := range fl.plains {
		en.SetFault(stand.UnframedEmpty)
	}
	rq := fl.build(fl.instances[0], request{id: "id", route: "safe", key: testKey})
	rq.Method = http.MethodHead
	rs, err := http.DefaultTransport.RoundTrip(rq)
	if err != nil {
		tt.Fatal(err)
	}
	_ = rs.Body.Close()
	if diff := cmp.Diff(http.StatusOK, rs.StatusCode); diff != "" {
		tt.Error(diff)
	}
}

// TestResumedStreamWithoutEvents guards against a stream that broke off, whose resumption ends without a further event, being taken as complete.
func TestResumedStreamWithoutEvents(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
	for ix := range 40 {
		fl.send(fl.instances[0], request{id: fmt.Sprint("warm-", ix), route: "resume", key: testKey, prompt: 10, output: testEvents * testStride})
	}
	fl.models[0].SetFault(stand.Breaking)
	fl.models[1].SetFault(stand.UnframedEmpty)
	fl.models[2].SetFault(stand.UnframedEmpty)
	resumed := 0
	for ix := range 12 {
		id := fmt.Sprint("request-", ix)
		got := fl.send(fl.instances[0], request{id: id, route: "resume", key: testKey, prompt: 10, output: testEvents * testStride})
		if got.Status == http.StatusOK && got.Complete {
			tt.Errorf("%s got %d bytes as a complete stream, want an error", id, len(got.Body))
		}
		if got.Body == stand.Stream(id, testEvents/2) {
			resumed++
		}
	}
	if resumed == 0 {
		tt.Error("no stream broke off after its first events, so the test shows nothing")
	}
}

// TestStalledStreamWithComments guards against a stream that makes no progress but never ends, since its endpoint sends a comment now and then.
func TestStalledStreamWithComments(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
	for ix := range 20 {
		fl.send(fl.instances[0], request{id: fmt.Sprint("warm-", ix), route: "resume", key: testKey, prompt: 10, output: testEvents * testStride})
	}
	setFault := func(fault stand.EndpointFault) {
		for _, en := range fl.models {
			en.SetFault(fault)
		}
	}
	setFault(stand.Commenting)
	got := make(chan response, 1)
	go func() {
		got <- fl.send(fl.instances[0], request{id: "id", route: "resume", key: testKey, prompt: 10, output: testEvents * testStride})
	}()
	fl.await("the stream runs", func() bool { return len(fl.runsOf("id")) == 1 })
	setFault(stand.Healthy)
	rs := <-got
	rs.Body = strings.ReplaceAll(rs.Body, stand.Comment, "")
	if diff := cmp.Diff(response{Status: http.StatusOK, Body: stand.Stream("id", testEvents), Complete: true}, rs); diff != "" {
		tt.Error(diff)
	}
	if diff := cmp.Diff(2, len(fl.runsOf("id"))); diff != "" {
		tt.Errorf("runs of the request (-want +got):\n%s", diff)
	}
}

// TestSlowEndpointWithoutAlternative guards against a slow but sound response being given up although the request cannot be sent elsewhere:
// there is no other endpoint, or the retry budget is used up.
func TestSlowEndpointWithoutAlternative(tt *testing.T) {
	const slowEvents = 2
	cases := []struct {
		name   string
		others bool
	}{
		{"no other endpoint", false},
		{"no retry left", true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
			for ix := range 3 {
				fl.store.Put(wire.RegistrationTopic, fmt.Sprint("model-", ix), nil)
			}
			want := 1
			ids := []string{"slow-0"}
			if tc.others {
				want, ids = 2, append(ids, "slow-1")
			}
			for _, id := range ids {
				fl.models = append(fl.models, fl.addEndpoint(id, stand.EndpointConfig{
					ID: id, Service: "model", Domain: "zone-a", Slots: 32, Events: slowEvents, Pause: 1500 * time.Millisecond,
				}))
			}
			fl.await("the slow endpoints are known", func() bool { return fl.instances[0].edge.UsableEndpoints("model") == want })
			got := fl.send(fl.instances[0], request{id: "id", route: "resume", key: testKey, prompt: 10, output: slowEvents * testStride})
			if diff := cmp.Diff(response{Status: http.StatusOK, Body: stand.Stream("id", slowEvents), Complete: true}, got); diff != "" {
				tt.Error(diff)
			}
			if diff := cmp.Diff(1, len(fl.runsOf("id"))); diff != "" {
				tt.Errorf("runs of the request (-want +got):\n%s", diff)
			}
		})
	}
}
