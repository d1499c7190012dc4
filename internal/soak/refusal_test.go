package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	// refusalWork is the time that an endpoint works on a request after it has written an earlier refusal once more.
	refusalWork = 60 * time.Millisecond
	// refusalCallers is the number of concurrent callers, each of which sends refusalRequests requests.
	refusalCallers  = 6
	refusalRequests = 12
)

// refusingEndpoint refuses every second request of a connection, and writes the refusal once more before it answers the next one.
type refusingEndpoint struct {
	*rawEndpoint
	refusal stand.RawRefusal
	// sameID is set if a request is refused only once, and its refusal is written again when the request comes a second time.
	sameID bool
	mu     sync.Mutex
	// refused is the ID of the last refused request by connection.
	refused map[net.Conn]string
	// repeated is the number of refusals written again.
	repeated int
	// known holds the IDs of all requests, and resent is the number of those that came once more.
	known  map[string]bool
	resent int
}

func (re *refusingEndpoint) answer(nc net.Conn, rq *http.Request, _ int) bool {
	id := rq.Header.Get(stand.HeaderRequestID)
	re.mu.Lock()
	earlier, again := re.refused[nc]
	refuse := !again
	if re.sameID {
		refuse = !re.known[id]
		again = earlier == id
	}
	if re.known[id] {
		re.resent++
	}
	re.known[id] = true
	if refuse {
		re.refused[nc] = id
	} else {
		delete(re.refused, nc)
	}
	re.mu.Unlock()
	if refuse {
		_, err := fmt.Fprintf(nc, stand.RawRefusals[0].Text, id)
		return err == nil
	}
	if again {
		text := strings.ReplaceAll(re.refusal.Text, "%s", earlier)
		re.mu.Lock()
		re.repeated++
		re.mu.Unlock()
		if _, err := io.WriteString(nc, text); err != nil {
			return false
		}
	}
	re.begin(rq)
	time.Sleep(refusalWork)
	if again && re.refusal.Ends {
		return false
	}
	_, err := io.WriteString(nc, stand.RawResponse(rq, eventsPerStream))
	return err == nil
}

// TestRepeatedRefusals guards against a refusal that an endpoint writes once more on a kept connection being taken for the response to another request,
// or to the same one sent again: its caller would be told that the request has not run, or it would run at a second endpoint.
func TestRepeatedRefusals(tt *testing.T) {
	cases := []struct {
		name    string
		service string
		routes  []string
		sameID  bool
		cut     bool
	}{
		{"another request, plain", "plain", []string{"safe", "unsafe"}, false, false},
		{"another request, streams", "model", []string{"stream", "resume"}, false, false},
		{"another request through a peer", "plain", []string{"safe", "unsafe"}, false, true},
		{"the same request, plain", "plain", []string{"unsafe"}, true, false},
		{"the same request, streams", "model", []string{"stream"}, true, false},
		{"the same request through a peer", "plain", []string{"unsafe"}, true, true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tt.Parallel()
			wo, no := newRawWorld(tt, tc.service, tc.cut)
			for _, rr := range stand.RawRefusals {
				wo.playRefusals(tt, no, rr, tc.service, tc.routes, tc.sameID, tc.cut)
			}
		})
	}
}

// playRefusals sends requests to two endpoints that repeat their refusals, and checks what their callers are told.
func (wo *world) playRefusals(tt *testing.T, no *node, rr stand.RawRefusal, service string, routes []string, sameID, cut bool) {
	tt.Helper()
	kind := strings.ReplaceAll(rr.Name, " ", "-")
	var list []*refusingEndpoint
	var raws []*rawEndpoint
	for ix := range 2 {
		re := &refusingEndpoint{refusal: rr, sameID: sameID, refused: map[net.Conn]string{}, known: map[string]bool{}}
		re.rawEndpoint = wo.addRaw(fmt.Sprint(kind, "-", ix), service, re.answer)
		list, raws = append(list, re), append(raws, re.rawEndpoint)
		defer wo.store.Put(wire.RegistrationTopic, fmt.Sprint(kind, "-", ix), nil)
	}
	number := 0
	wo.await("the endpoints are known", func() bool {
		number++
		id := fmt.Sprint(kind, "-first-", number)
		wo.sendLate(no, lateRequest{id: id, route: routes[0], client: &http.Client{}})
		return runsOf(raws, id) > 0 || sameID && list[0].known[id]
	})
	var group sync.WaitGroup
	for caller := range refusalCallers {
		group.Go(func() {
			for ix := range refusalRequests {
				lr := lateRequest{id: fmt.Sprint(kind, "-", caller, "-", ix), route: routes[(caller+ix)%len(routes)], client: &http.Client{}}
				got := wo.sendLate(no, lr)
				refused := got.Status == http.StatusServiceUnavailable || got.Status == http.StatusTooManyRequests
				if refused && runsOf(raws, lr.id) > 0 {
					tt.Errorf("%s: request %s was refused with %d (not run), but runs", rr.Name, lr.id, got.Status)
				}
				if sameID && refused {
					got = wo.sendLate(no, lr)
					if runs := runsOf(raws, lr.id); got.Status == http.StatusServiceUnavailable && runs > 0 {
						tt.Errorf("%s: request %s was refused with 503 (not run) when it was sent again, but ran %d times", rr.Name, lr.id, runs)
					}
				}
				if runs := runsOf(raws, lr.id); (lr.route == "unsafe" || lr.route == "stream") && runs > 1 {
					tt.Errorf("%s: request %s ran %d times, want at most once", rr.Name, lr.id, runs)
				}
			}
		})
	}
	group.Wait()
	repeated := list[0].repeated + list[1].repeated
	tt.Logf("%s: %d refusals were repeated", rr.Name, repeated)
	switch {
	case sameID && list[0].resent+list[1].resent == 0:
		tt.Errorf("%s: no endpoint got a request that it had refused, so the test shows nothing", rr.Name)
	case !sameID && !cut && repeated == 0:
		tt.Errorf("%s: no refusal was written again, so the test shows nothing", rr.Name)
	}
}
