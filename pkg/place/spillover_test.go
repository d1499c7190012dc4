package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// spillRequest returns a request without a shared prefix.
func spillRequest(number int) Request {
	return Request{Prompt: 1000, Domain: "zone-a", TimeLeft: 2 * time.Second, Parts: []Part{{ID: uint64(number), Tokens: 1000}}}
}

// load makes all endpoints of the domain report a number of requests.
func load(ba *Balancer, now time.Duration, domain string, count int) {
	for _, st := range ba.states {
		if st.endpoint.Domain == domain {
			st.load, st.loadAt = Load{Running: min(8, count), Waiting: max(0, count-8), Slots: 8}, now
		}
	}
}

// TestLeavesDomain counts, after some seconds of each load, how many of 100 requests leave the domain: none may leave in calm, without need, or for endpoints
// of unknown load but a few; all must leave a domain whose endpoints refuse.
func TestLeavesDomain(tt *testing.T) {
	cases := []struct {
		name string
		// own and others are the numbers of requests at each endpoint of zone-a and of the other domains, -1 if they report nothing.
		own, others int
		refuse      bool
		least, top  int
		reason      string
	}{
		{"calm", 1, 1, false, 0, 0, ""},
		{"all equally busy", 14, 14, false, 0, 0, ""},
		{"a scarce domain", 9, 0, false, 10, 90, "pressure"},
		{"stale loads elsewhere", 12, -1, false, 1, 25, "pressure"},
		{"a domain that refuses", 0, 0, true, 100, 100, "no usable endpoint in the domain"},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ba, list, now, left := NewBalancer(), manyEndpoints(30), time.Second, 0
			ba.Pick(now, model, list, spillRequest(0))
			for number := range 600 {
				now += 20 * time.Millisecond
				load(ba, now, "zone-a", tc.own)
				for _, name := range []string{"zone-b", "zone-c"} {
					if tc.others >= 0 {
						load(ba, now, name, tc.others)
					}
				}
				if tc.refuse {
					for _, st := range ba.states {
						if st.endpoint.Domain == "zone-a" {
							st.refusesUntil = now + time.Second
						}
					}
				}
				de := ba.Pick(now, model, list, spillRequest(number))
				if de.Endpoint == nil {
					tt.Fatalf("refused: %s", de.Reason)
				}
				if number < 500 || de.LeftFor == "" {
					continue
				}
				left++
				if diff := cmp.Diff(tc.reason, de.LeftFor); diff != "" || de.Domain == "zone-a" {
					tt.Errorf("the request left for %s: %s", de.Domain, diff)
				}
			}
			if left < tc.least || left > tc.top {
				tt.Errorf("%d of 100 requests left the domain, want %d to %d", left, tc.least, tc.top)
			}
		})
	}
}

// TestLateLeaves checks that a request that would be refused in its own domain leaves it although the others are held back by the pressure.
func TestLateLeaves(tt *testing.T) {
	ba, list := NewBalancer(), manyEndpoints(30)
	ba.Pick(time.Second, model, list, spillRequest(0))
	now := time.Second
	refused := map[string]int{}
	for number := range 100 {
		now += 10 * time.Millisecond
		load(ba, now, "zone-b", 1)
		for _, st := range ba.states {
			if st.endpoint.Domain != "zone-b" {
				st.prefillBacklog = 12_000 // 200 ms at the usual rate, more than the 160 ms that rank 2 may wait
			}
		}
		rq := spillRequest(number)
		rq.Rank = 2
		refused[fmt.Sprint(ba.Pick(now, model, list, rq).Endpoint == nil)]++
	}
	if diff := cmp.Diff(map[string]int{"false": 100}, refused); diff != "" {
		tt.Error(diff)
	}
}

// TestPreferredEndpointElsewhere checks that requests with a long prefix still go to the endpoint that all instances prefer in calm, wherever it is.
func TestPreferredEndpointElsewhere(tt *testing.T) {
	ba, list, left := NewBalancer(), manyEndpoints(9), 0
	for number := range 90 {
		rq := longRequest(uint64(100+number), number)
		if de := ba.Pick(time.Second, model, list, rq); de.LeftFor == "cached prefix" {
			left++
		}
	}
	if left < 45 {
		tt.Errorf("%d of 90 requests left for the endpoint of their prefix, want about two thirds", left)
	}
}
