package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// TestCopyFromBusyEndpoint replays one subject in demand: its home has long prompts before it, so the request runs elsewhere and copies the
// subject from the home's memory, unless the home cannot be relied on or endpoints do not copy.
func TestCopyFromBusyEndpoint(tt *testing.T) {
	type result struct {
		AtHome bool
		Copies bool
		// Reads is whether the shared parts are read again.
		Reads bool
	}
	cases := []struct {
		name     string
		copyRate int64
		prepare  func(ba *Balancer, se *plan.Service, home Decision)
		want     result
	}{
		{"an idle home runs it", 200_000, func(*Balancer, *plan.Service, Decision) {}, result{AtHome: true}},
		{"a busy home is copied", 200_000, func(ba *Balancer, se *plan.Service, home Decision) {
			ba.Begin(time.Second, se, longRequest(8, 1), Decision{Endpoint: home.Endpoint, UncachedTokens: 30_000})
		}, result{Copies: true}},
		{"endpoints that do not copy read again", 0, func(ba *Balancer, se *plan.Service, home Decision) {
			ba.Begin(time.Second, se, longRequest(8, 1), Decision{Endpoint: home.Endpoint, UncachedTokens: 60_000})
		}, result{Reads: true}},
		{"a home that failed is not copied", 200_000, func(ba *Balancer, se *plan.Service, home Decision) {
			ba.Begin(time.Second, se, longRequest(8, 1), Decision{Endpoint: home.Endpoint, UncachedTokens: 60_000})
			ba.Begin(time.Second, se, longRequest(9, 2), home).End(time.Second, Incomplete)
		}, result{Reads: true}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			se := &plan.Service{Name: "model", Slots: 8, KVCapacityTokens: 400_000, KVCopyRate: tc.copyRate}
			ba, list := NewBalancer(), endpoints(6)
			rq := longRequest(7, 3)
			home := ba.Pick(time.Second, se, list, rq)
			tc.prepare(ba, se, home)
			de := ba.Pick(time.Second, se, list, rq)
			got := result{AtHome: de.Endpoint == home.Endpoint, Copies: de.Source == home.Endpoint, Reads: de.UncachedTokens > rq.Parts[2].Tokens+rq.Parts[1].Tokens/2}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Errorf("%+v: %s", de, diff)
			}
		})
	}
}
