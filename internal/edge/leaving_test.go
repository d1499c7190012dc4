package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/wire"
)

// callers is the number of callers of press.
const callers = 12

// press sends requests through all instances until the time is over, and returns the responses that are not 200.
func (fl *fleet) press(name string, length time.Duration) []response {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed []response
	ends := time.Now().Add(length)
	for caller := range callers {
		group.Go(func() {
			for number := 0; time.Now().Before(ends); number++ {
				rq := streamRequest(fmt.Sprintf("%s-%d-%d", name, caller, number), caller*1000+number)
				// Short prompts can all be served by one endpoint.
				rq.prompt = 60
				if got := fl.send(fl.instances[number%len(fl.instances)], rq); got.Status != http.StatusOK {
					mu.Lock()
					failed = append(failed, got)
					mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return failed
}

// TestLeavingEndpointGetsRequests lets two of five endpoints say that they leave, while their registrations do not change. From the first response on, they get
// no requests; the allowed time is that of a registration.
func TestLeavingEndpointGetsRequests(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 3, prepaid: 50_000_000, versions: []string{"v1", "v1", "v1", "v1", "v1"}})
	fl.press("before", time.Second)
	leaving := fl.models[:2]
	for _, en := range leaving {
		en.SetLeaving(true)
	}
	fl.press("meanwhile", 2*time.Second)
	counts := []int{}
	for _, en := range leaving {
		counts = append(counts, len(en.Arrivals()))
	}
	if failed := fl.press("after", 2*time.Second); len(failed) > 0 {
		tt.Errorf("%d requests failed, want none: three endpoints serve; the first: %+v", len(failed), failed[0])
	}
	for ix, en := range leaving {
		if late := len(en.Arrivals()) - counts[ix]; late > 0 {
			tt.Errorf("%d requests reached an endpoint that has said for two seconds that it leaves, want none", late)
		}
	}
	for _, en := range fl.models[2:] {
		if len(en.Arrivals()) == 0 {
			tt.Error("an endpoint that stays got no request")
		}
	}
}

// TestRefusingEndpointsGetRequests lets endpoints refuse all requests with 503 and a Retry-After delay. Until its end, each instance may send two requests to
// each of them, apart from those that are under way.
func TestRefusingEndpointsGetRequests(tt *testing.T) {
	const (
		seconds  = 4
		underWay = 500 * time.Millisecond
	)
	cases := []struct {
		name     string
		refusing int
	}{{"all", 3}, {"two of three", 2}}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			fl := newFleet(tt, fleetConfig{instances: 3, prepaid: 50_000_000})
			fl.press("before", 500*time.Millisecond)
			for _, en := range fl.models[:tc.refusing] {
				en.SetRetryAfter(strconv.Itoa(seconds))
			}
			begun := time.Now()
			failed := fl.press("meanwhile", (seconds-1)*time.Second)
			for _, en := range fl.models[:tc.refusing] {
				late := 0
				for _, ar := range en.Refusals() {
					if ar.At.Sub(begun) > underWay+200*time.Millisecond {
						late++
					}
				}
				if most := 2 * len(fl.instances); late > most {
					tt.Errorf("%d requests reached an endpoint that wants none, want at most %d", late, most)
				}
			}
			for _, rs := range failed {
				delay, err := strconv.ParseFloat(rs.RetryAfter, 64)
				if rs.Status != http.StatusServiceUnavailable || err != nil || delay > seconds+1 {
					tt.Fatalf("a request got %+v, want 503 with the time that is left", rs)
				}
			}
			// Requests that were under way may have been refused twice, which is all attempts.
			if tc.refusing < len(fl.models) && len(failed) > callers {
				tt.Errorf("%d requests failed although an endpoint serves, want at most %d; the last: %+v", len(failed), callers, failed[len(failed)-1])
			}
			for _, en := range fl.models {
				en.SetRetryAfter("")
			}
			time.Sleep(2 * time.Second)
			if failed := fl.press("after", time.Second); len(failed) > 0 {
				tt.Errorf("%d requests failed after the end of the time; the first: %+v", len(failed), failed[0])
			}
		})
	}
}

// TestLeavingHoldsUntilRestart lets an endpoint say once that it leaves; it gets requests again when it is registered with another start.
func TestLeavingHoldsUntilRestart(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: 50_000_000, versions: []string{"v1"}})
	in := fl.instances[0]
	en := fl.models[0]
	en.SetLeaving(true)
	fl.send(in, streamRequest("first", 1))
	en.SetLeaving(false)
	if got := fl.send(in, streamRequest("second", 2)); got.Status != http.StatusServiceUnavailable {
		tt.Errorf("status %d after the endpoint has said that it leaves, want 503", got.Status)
	}
	en.Replace(en.ID(), "v1")
	fl.store.Put(wire.RegistrationTopic, en.ID(), en.Registration(fl.addresses[en.ID()], "ready", 1))
	fl.await("the endpoint is used again", func() bool { return fl.send(in, streamRequest("again", 3)).Status == http.StatusOK })
}
