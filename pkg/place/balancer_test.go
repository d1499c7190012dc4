package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

var model = &plan.Service{Name: "model", Slots: 8, KVCapacityTokens: 400_000}

func endpoints(count int) []*roster.Endpoint {
	list := make([]*roster.Endpoint, 0, count)
	for ix := range count {
		list = append(list, &roster.Endpoint{ID: fmt.Sprint("endpoint-", ix), Service: "model", Domain: "zone-a", Slots: 8})
	}
	return list
}

// longRequest returns a request with a long prompt, whose shared prefix has the given ID.
func longRequest(prefix uint64, number int) Request {
	return Request{
		Prompt: 12_000, Output: 400, Domain: "zone-a", TimeLeft: 3 * time.Second,
		Parts: []Part{{ID: 1, Tokens: 500}, {ID: prefix, Tokens: 5000}, {ID: uint64(1e6 + number), Tokens: 6500}},
	}
}

// TestPrefixesStayAtPreferredEndpoints sends requests with few shared prefixes through many instances at a low load. Each prefix should be
// prefilled at about one endpoint, not at a different one for each instance.
func TestPrefixesStayAtPreferredEndpoints(tt *testing.T) {
	const instances, prefixes, rounds = 12, 10, 20
	list := endpoints(9)
	used := map[uint64]map[string]bool{}
	now := time.Second
	balancers := make([]*Balancer, instances)
	for ix := range balancers {
		balancers[ix] = NewBalancer()
	}
	for round := range rounds {
		for ix, ba := range balancers {
			prefix := uint64(100 + (round*instances+ix)%prefixes)
			rq := longRequest(prefix, round*instances+ix)
			de := ba.Pick(now, model, list, rq)
			at := ba.Begin(now, model, rq, de)
			now += 20 * time.Millisecond
			at.RecordFirstEvent(now + 200*time.Millisecond)
			at.End(now+400*time.Millisecond, Answered)
			if used[prefix] == nil {
				used[prefix] = map[string]bool{}
			}
			used[prefix][de.Endpoint.ID] = true
		}
	}
	prefills := 0
	for _, ids := range used {
		prefills += len(ids)
	}
	if prefills > prefixes*3/2 {
		tt.Errorf("%d prefixes were prefilled at %d endpoints, summed over the prefixes; want at most 1.5 for each prefix", prefixes, prefills)
	}
}

// TestPick checks one choice between two endpoints, or one refusal, in each case.
func TestPick(tt *testing.T) {
	cases := []struct {
		name    string
		prepare func(ba *Balancer, list []*roster.Endpoint)
		rq      Request
		// excluded are the endpoints that must not be chosen; refused is true if the request must be refused.
		excluded []string
		refused  bool
	}{
		{"an inactive endpoint with requests in flight is avoided", func(ba *Balancer, list []*roster.Endpoint) {
			ba.Begin(0, model, Request{Prompt: 100, Parts: []Part{{ID: 5, Tokens: 100}}}, Decision{Endpoint: list[0]})
			ba.Begin(0, model, Request{Prompt: 100, Parts: []Part{{ID: 5, Tokens: 100}}}, Decision{Endpoint: list[1]}).
				RecordActivity(1900 * time.Millisecond)
		}, Request{Prompt: 100, Domain: "zone-a", TimeLeft: time.Second, Parts: []Part{{ID: 5, Tokens: 100}}}, []string{"endpoint-0"}, false},
		{"an endpoint with incomplete responses is avoided", func(ba *Balancer, list []*roster.Endpoint) {
			for range 3 {
				ba.Begin(time.Second, model, Request{}, Decision{Endpoint: list[0]}).End(time.Second, Incomplete)
			}
		}, Request{Domain: "zone-a", TimeLeft: time.Second}, []string{"endpoint-0"}, false},
		{"an unreachable endpoint is avoided", func(ba *Balancer, list []*roster.Endpoint) {
			ba.Begin(2*time.Second, model, Request{}, Decision{Endpoint: list[1]}).End(2*time.Second, Unreachable)
		}, Request{Domain: "zone-a", TimeLeft: time.Second}, []string{"endpoint-1"}, false},
		{
			"endpoints that were tried before are not chosen", func(*Balancer, []*roster.Endpoint) {},
			Request{Domain: "zone-a", TimeLeft: time.Second, Tried: []string{"endpoint-0", "endpoint-1"}},
			nil, true,
		},
		{"a request that cannot be served in time is refused", func(ba *Balancer, list []*roster.Endpoint) {
			for range 40 {
				for _, en := range list {
					rq := Request{Prompt: 20_000, TimeLeft: time.Minute}
					ba.Begin(2*time.Second, model, rq, Decision{Endpoint: en, UncachedTokens: 20_000})
				}
			}
		}, Request{Prompt: 1000, Domain: "zone-a", TimeLeft: 2 * time.Second}, nil, true},
		{
			"a long prompt alone is no reason to refuse", func(*Balancer, []*roster.Endpoint) {},
			Request{Prompt: 54_000, Domain: "zone-a", TimeLeft: 3200 * time.Millisecond},
			nil, false,
		},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ba, list := NewBalancer(), endpoints(2)
			tc.prepare(ba, list)
			de := ba.Pick(2*time.Second, model, list, tc.rq)
			if diff := cmp.Diff(tc.refused, de.Endpoint == nil); diff != "" {
				tt.Fatalf("Pick, with reason %q, refused or not against expectation (-want +got): %s", de.Reason, diff)
			}
			for _, id := range tc.excluded {
				if de.Endpoint.ID == id {
					tt.Errorf("Pick chose %s, which is excluded in this case", id)
				}
			}
			if tc.refused && de.RetryAfter <= 0 {
				tt.Error("the refusal has no RetryAfter")
			}
		})
	}
}

// BenchmarkPickDomains measures a decision among endpoints in three failure domains while time passes, so that the domains are observed.
func BenchmarkPickDomains(bb *testing.B) {
	for _, count := range []int{90, 1000} {
		bb.Run(fmt.Sprint("endpoints=", count), func(bb *testing.B) {
			ba, list, rq := NewBalancer(), manyEndpoints(count), longRequest(7, 1)
			bb.ReportAllocs()
			for number := uint64(0); bb.Loop(); number++ {
				rq.Parts[1].ID = 100 + number%500
				ba.Pick(time.Second+time.Duration(number)*5*time.Millisecond, model, list, rq)
			}
		})
	}
}

// BenchmarkPick measures a decision among various numbers of endpoints.
func BenchmarkPick(bb *testing.B) {
	for _, count := range []int{9, 21, 60, 1000} {
		bb.Run(fmt.Sprint("endpoints=", count), func(bb *testing.B) {
			ba, list, rq := NewBalancer(), endpoints(count), longRequest(7, 1)
			bb.ReportAllocs()
			for number := uint64(0); bb.Loop(); number++ {
				rq.Parts[1].ID = 100 + number%500
				ba.Pick(time.Second, model, list, rq)
			}
		})
	}
}
