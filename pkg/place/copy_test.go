package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// TestCopyFromBusyEndpoint places a request whose preferred endpoint has a backlog of long prompts. It should run on another endpoint,
// which copies the shared prefix from the preferred one. Nothing is copied if the preferred one failed, or if the endpoints of the service
// cannot copy (KVCopyRate is zero).
func TestCopyFromBusyEndpoint(tt *testing.T) {
	type result struct {
		AtPreferred bool
		Copies      bool
		// Prefills is true if the shared prefix is prefilled again.
		Prefills bool
	}
	cases := []struct {
		name     string
		copyRate int64
		prepare  func(ba *Balancer, se *plan.Service, preferred Decision)
		want     result
	}{
		{"an idle preferred endpoint is chosen", 200_000, func(*Balancer, *plan.Service, Decision) {}, result{AtPreferred: true}},
		{"the prefix is copied from a busy preferred endpoint", 200_000, func(ba *Balancer, se *plan.Service, preferred Decision) {
			ba.Begin(time.Second, se, longRequest(8, 1), Decision{Endpoint: preferred.Endpoint, UncachedTokens: 30_000})
		}, result{Copies: true}},
		{"without copies the prefix is prefilled again", 0, func(ba *Balancer, se *plan.Service, preferred Decision) {
			ba.Begin(time.Second, se, longRequest(8, 1), Decision{Endpoint: preferred.Endpoint, UncachedTokens: 60_000})
		}, result{Prefills: true}},
		{"nothing is copied from a preferred endpoint that failed", 200_000, func(ba *Balancer, se *plan.Service, preferred Decision) {
			ba.Begin(time.Second, se, longRequest(8, 1), Decision{Endpoint: preferred.Endpoint, UncachedTokens: 60_000})
			ba.Begin(time.Second, se, longRequest(9, 2), preferred).End(time.Second, Incomplete)
		}, result{Prefills: true}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			se := &plan.Service{Name: "model", Slots: 8, KVCapacityTokens: 400_000, KVCopyRate: tc.copyRate}
			ba, list := NewBalancer(), endpoints(6)
			rq := longRequest(7, 3)
			preferred := ba.Pick(time.Second, se, list, rq)
			tc.prepare(ba, se, preferred)
			de := ba.Pick(time.Second, se, list, rq)
			got := result{
				AtPreferred: de.Endpoint == preferred.Endpoint, Copies: de.Source == preferred.Endpoint,
				Prefills: de.UncachedTokens > rq.Parts[2].Tokens+rq.Parts[1].Tokens/2,
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Errorf("decision %+v (-want +got): %s", de, diff)
			}
		})
	}
}
