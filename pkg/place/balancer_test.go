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

// longRequest is a long request about one subject.
func longRequest(subject uint64, number int) Request {
	return Request{
		Prompt: 12_000, Output: 400, Domain: "zone-a", TimeLeft: 3 * time.Second,
		Parts: []Part{{ID: 1, Tokens: 500}, {ID: subject, Tokens: 5000}, {ID: uint64(1e6 + number), Tokens: 6500}},
	}
}

// TestPrefixesStayAtPreferredEndpoints replays many instances with requests about few subjects at a load that leaves room: shared parts are
// read about once for each subject, not once for each instance.
func TestPrefixesStayAtPreferredEndpoints(tt *testing.T) {
	const instances, subjects, rounds = 12, 10, 20
	list := endpoints(9)
	places := map[uint64]map[string]bool{}
	now := time.Second
	boards := make([]*Balancer, instances)
	for ix := range boards {
		boards[ix] = NewBalancer()
	}
	for round := range rounds {
		for ix, ba := range boards {
			subject := uint64(100 + (round*instances+ix)%subjects)
			rq := longRequest(subject, round*instances+ix)
			de := ba.Pick(now, model, list, rq)
			sd := ba.Begin(now, model, rq, de)
			now += 20 * time.Millisecond
			sd.RecordFirstEvent(now + 200*time.Millisecond)
			sd.End(now+400*time.Millisecond, Answered)
			if places[subject] == nil {
				places[subject] = map[string]bool{}
			}
			places[subject][de.Endpoint.ID] = true
		}
	}
	reads := 0
	for _, at := range places {
		reads += len(at)
	}
	if reads > subjects*3/2 {
		tt.Errorf("%d subjects were read at %d places", subjects, reads)
	}
}

// TestPick weighs endpoints in situations that each answer one load pattern.
func TestPick(tt *testing.T) {
	cases := []struct {
		name    string
		prepare func(ba *Balancer, list []*roster.Endpoint)
		rq      Request
		// not are endpoints that must not be chosen, and refused is whether none must be.
		not     []string
		refused bool
	}{
		{"an endpoint that went silent with requests on it gets no more", func(ba *Balancer, list []*roster.Endpoint) {
			ba.Begin(0, model, Request{Prompt: 100, Parts: []Part{{ID: 5, Tokens: 100}}}, Decision{Endpoint: list[0]})
			ba.Begin(0, model, Request{Prompt: 100, Parts: []Part{{ID: 5, Tokens: 100}}}, Decision{Endpoint: list[1]}).RecordActivity(1900 * time.Millisecond)
		}, Request{Prompt: 100, Domain: "zone-a", TimeLeft: time.Second, Parts: []Part{{ID: 5, Tokens: 100}}}, []string{"endpoint-0"}, false},
		{"an endpoint that breaks answers off gets less", func(ba *Balancer, list []*roster.Endpoint) {
			for range 3 {
				ba.Begin(time.Second, model, Request{}, Decision{Endpoint: list[0]}).End(time.Second, Incomplete)
			}
		}, Request{Domain: "zone-a", TimeLeft: time.Second}, []string{"endpoint-0"}, false},
		{"an endpoint without a connection is passed over", func(ba *Balancer, list []*roster.Endpoint) {
			ba.Begin(2*time.Second, model, Request{}, Decision{Endpoint: list[1]}).End(2*time.Second, Unreachable)
		}, Request{Domain: "zone-a", TimeLeft: time.Second}, []string{"endpoint-1"}, false},
		{
			"endpoints that were tried are not tried again", func(*Balancer, []*roster.Endpoint) {},
			Request{Domain: "zone-a", TimeLeft: time.Second, Tried: []string{"endpoint-0", "endpoint-1"}},
			nil, true,
		},
		{"what cannot be answered in time is refused at once", func(ba *Balancer, list []*roster.Endpoint) {
			for range 40 {
				for _, en := range list {
					rq := Request{Prompt: 20_000, TimeLeft: time.Minute}
					ba.Begin(2*time.Second, model, rq, Decision{Endpoint: en, UncachedTokens: 20_000})
				}
			}
		}, Request{Prompt: 1000, Domain: "zone-a", TimeLeft: 2 * time.Second}, nil, true},
		{
			"a long request is not refused for its length alone", func(*Balancer, []*roster.Endpoint) {},
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
				tt.Fatalf("refused (%s): %s", de.Reason, diff)
			}
			for _, id := range tc.not {
				if de.Endpoint.ID == id {
					tt.Errorf("chose %s", id)
				}
			}
			if tc.refused && de.RetryAfter <= 0 {
				tt.Error("a refusal without an advice when to return")
			}
		})
	}
}

// BenchmarkPick measures a decision by the number of endpoints.
func BenchmarkPick(bb *testing.B) {
	for _, count := range []int{9, 21, 60, 1000} {
		bb.Run(fmt.Sprint("endpoints=", count), func(bb *testing.B) {
			ba, list, rq := NewBalancer(), endpoints(count), longRequest(7, 1)
			bb.ReportAllocs()
			for bb.Loop() {
				ba.Pick(time.Second, model, list, rq)
			}
		})
	}
}
