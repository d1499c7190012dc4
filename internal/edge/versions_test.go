package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// twoVersions are the versions of the endpoints of a service in the middle of a release.
var twoVersions = []string{"v1", "v2", "v1", "v2"}

// brokenStream sends a request for a stream to an instance and returns its ID and the number of events that arrived. All endpoints break streams off.
func (fl *fleet) brokenStream(in *instance, number int) (id string, events int) {
	id = fmt.Sprint("begun-", number)
	rs := fl.send(in, streamRequest(id, number))
	return id, strings.Count(rs.Body, "\n\n")
}

func streamRequest(id string, number int) request {
	// Different parts spread the requests over the endpoints.
	parts := []string{"aa", fmt.Sprintf("%x", 1000+number), fmt.Sprintf("%x", 9_000_000+number)}
	return request{id: id, route: "resume", key: testKey, prompt: 3000, output: testEvents * testStride, parts: parts}
}

// beganAt returns the software version of the endpoint that began the stream of a request.
func (fl *fleet) beganAt(id string) string {
	for _, ru := range fl.runsOf(id) {
		if ru.LastEvent == "" {
			return ru.Version
		}
	}
	fl.tt.Fatalf("request %s ran nowhere", id)
	return ""
}

// setFaults sets the fault of all model endpoints.
func (fl *fleet) setFaults(fault stand.EndpointFault) {
	for _, en := range fl.models {
		en.SetFault(fault)
	}
}

// TestStreamGoesOnAtAnotherVersion breaks streams off while two versions of the endpoints' software serve side by side. What follows must come from
// the version that began the stream, whether the instance resumes it in the same response or the caller at another instance.
func TestStreamGoesOnAtAnotherVersion(tt *testing.T) {
	const count = 30
	fl := newFleet(tt, fleetConfig{instances: 3, prepaid: 50_000_000, versions: twoVersions})
	fl.setFaults(stand.Breaking)
	for _, in := range fl.instances[1:] {
		fl.await("the instance knows its peers", func() bool { return len(in.edge.Members()) == len(fl.instances) })
	}
	type begun struct {
		id     string
		events int
	}
	var list []begun
	for number := range count {
		id, events := fl.brokenStream(fl.instances[0], number)
		list = append(list, begun{id, events})
	}
	fl.setFaults(stand.Healthy)
	crossed, resumed := 0, 0
	for number, be := range list {
		version := fl.beganAt(be.id)
		rq := streamRequest(fmt.Sprint("resumed-", number), number)
		rq.header = map[string]string{stand.HeaderLastEvent: fmt.Sprint(be.events), stand.HeaderResumes: be.id}
		if got := fl.send(fl.instances[1+number%2], rq); got.Status == http.StatusOK && got.Complete {
			resumed++
		}
		for _, ru := range append(fl.runsOf(be.id), fl.runsOf(rq.id)...) {
			if ru.Version != version {
				crossed++
			}
		}
	}
	if crossed > 0 {
		tt.Errorf("%d runs went on at another version than the one that began their streams, want none", crossed)
	}
	if resumed < count {
		tt.Errorf("%d of %d streams were resumed by their callers, want all: two endpoints of each version serve", resumed, count)
	}
}

// TestResumedStreamOfUnknownVersion resumes streams whose beginning no instance knows. With several versions they are refused before they run; with one
// version they go on.
func TestResumedStreamOfUnknownVersion(tt *testing.T) {
	cases := []struct {
		name     string
		versions []string
		resumes  string
		want     int
	}{
		{"several versions", twoVersions, "unknown", http.StatusServiceUnavailable},
		{"several versions, the beginning is not named", twoVersions, "", http.StatusServiceUnavailable},
		{"one version", []string{"v1", "v1"}, "unknown", http.StatusOK},
		{"one version, the beginning is not named", []string{"v1", "v1"}, "", http.StatusOK},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			fl := newFleet(tt, fleetConfig{instances: 1, prepaid: 50_000_000, versions: tc.versions})
			rq := streamRequest("resumed", 1)
			rq.header = map[string]string{stand.HeaderLastEvent: "2"}
			if tc.resumes != "" {
				rq.header[stand.HeaderResumes] = tc.resumes
			}
			got := fl.send(fl.instances[0], rq)
			if got.Status != tc.want {
				tt.Errorf("status %d, want %d", got.Status, tc.want)
			}
			if got.Status != http.StatusOK && (got.RetryAfter == "" || len(fl.runsOf(rq.id)) > 0) {
				tt.Errorf("refused with Retry-After %q after %d runs, want a delay and no run", got.RetryAfter, len(fl.runsOf(rq.id)))
			}
		})
	}
}

// TestStreamGoesOnAfterItsInstanceStops stops the instance that began streams. The others must know their versions.
func TestStreamGoesOnAfterItsInstanceStops(tt *testing.T) {
	const count = 20
	fl := newFleet(tt, fleetConfig{instances: 4, prepaid: 50_000_000, versions: twoVersions})
	for _, in := range fl.instances {
		fl.await("the instance knows its peers", func() bool { return len(in.edge.Members()) == len(fl.instances) })
	}
	fl.setFaults(stand.Breaking)
	events := make([]int, count)
	for number := range count {
		_, events[number] = fl.brokenStream(fl.instances[0], number)
	}
	fl.instances[0].stop()
	<-fl.instances[0].done
	fl.setFaults(stand.Healthy)
	resumed := 0
	for number := range count {
		id := fmt.Sprint("begun-", number)
		rq := streamRequest(fmt.Sprint("resumed-", number), number)
		rq.header = map[string]string{stand.HeaderLastEvent: fmt.Sprint(events[number]), stand.HeaderResumes: id}
		if got := fl.send(fl.instances[1+number%3], rq); got.Status == http.StatusOK && got.Complete {
			resumed++
		}
		for _, ru := range fl.runsOf(rq.id) {
			if version := fl.beganAt(id); ru.Version != version {
				tt.Errorf("stream %s went on at version %s, want %s", id, ru.Version, version)
			}
		}
	}
	// Datagrams may be lost, and each stream has two holders.
	if resumed < count*9/10 {
		tt.Errorf("%d of %d streams were resumed, want nine tenths", resumed, count)
	}
}

// TestResumedStreamBeginsAtTheWrongEvent resumes a stream at an endpoint that ignores the last event and sends the stream from its beginning. The caller
// must not get events that it has.
func TestResumedStreamBeginsAtTheWrongEvent(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: 50_000_000, versions: []string{"v1"}})
	fl.setFaults(stand.Unframed)
	rq := streamRequest("resumed", 1)
	rq.header = map[string]string{stand.HeaderLastEvent: "2", stand.HeaderResumes: "begun"}
	if got := fl.send(fl.instances[0], rq); got.Body != "" && got.Status == http.StatusOK {
		tt.Errorf("the caller got %q, want no event", got.Body)
	}
}
