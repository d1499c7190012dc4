package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// TestPeerDispatch records a prompt that a peer sent to an endpoint, which should then be avoided until it has prefilled the prompt.
func TestPeerDispatch(tt *testing.T) {
	list := endpoints(2)
	rq := Request{Prompt: 600, Domain: "zone-a", TimeLeft: 3 * time.Second, Parts: []Part{{ID: 9, Tokens: 600}}}
	cases := []struct {
		name     string
		uncached int64
		at       time.Duration
		want     bool
	}{
		{"no peer sent anything", 0, time.Second, true},
		{"a peer just sent a long prompt", 60_000, time.Second, false},
		{"the prompt was prefilled meanwhile", 60_000, 2500 * time.Millisecond, true},
		{"an absurd number of tokens has an effect for seconds only", 1 << 62, 12 * time.Second, true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ba := NewBalancer()
			first := ba.Pick(time.Second, model, list, rq).Endpoint
			ba.RecordPeerDispatch(time.Second, first.ID, 0, tc.uncached)
			got := ba.Pick(tc.at, model, list, rq).Endpoint
			if diff := cmp.Diff(tc.want, got == first); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// openAttempt is an attempt in flight in the simulation.
type openAttempt struct {
	firstEventAt time.Duration
	attempt      *Attempt
}

// replayInstances simulates long prompts that arrive at many instances with the same endpoints. It returns the sorted times that the
// requests waited for the prefill of others. If notify is true, the instances notify each other of their prompts.
func replayInstances(notify bool) []time.Duration {
	const instances, count, perSecond, length = 30, 60, 90, 20
	se := &plan.Service{Name: "model", Slots: 48, KVCapacityTokens: 500_000, KVCopyRate: 200_000}
	rd := rand.New(rand.NewPCG(7, 7))
	list := endpoints(count)
	balancers := make([]*Balancer, instances)
	for ix := range balancers {
		balancers[ix] = NewBalancer()
	}
	freeAt := map[string]time.Duration{}
	var waits []time.Duration
	var open []openAttempt
	now := time.Second
	for number := range perSecond * length {
		now += time.Duration(rd.ExpFloat64() * float64(time.Second) / perSecond)
		open = slices.DeleteFunc(open, func(ar openAttempt) bool {
			if ar.firstEventAt > now {
				return false
			}
			ar.attempt.RecordFirstEvent(ar.firstEventAt)
			ar.attempt.End(ar.firstEventAt, Answered)
			return true
		})
		own := int64(500 + rd.ExpFloat64()*6000)
		rq := Request{
			Prompt: 5500 + own, Output: 400, Domain: "zone-a", TimeLeft: 3 * time.Second,
			Parts: []Part{{ID: 1, Tokens: 500}, {ID: uint64(100 + rd.IntN(700)), Tokens: 5000}, {ID: uint64(1e6 + number), Tokens: own}},
		}
		origin := rd.IntN(instances)
		de := balancers[origin].Pick(now, se, list, rq)
		if de.Endpoint == nil {
			continue
		}
		waits = append(waits, max(0, freeAt[de.Endpoint.ID]-now))
		prefill := time.Duration(float64(de.UncachedTokens) / initialPrefillRate * float64(time.Millisecond))
		freeAt[de.Endpoint.ID] = max(now, freeAt[de.Endpoint.ID]) + prefill
		open = append(open, openAttempt{firstEventAt: freeAt[de.Endpoint.ID], attempt: balancers[origin].Begin(now, se, rq, de)})
		for ix, ba := range balancers {
			if notify && ix != origin {
				ba.RecordPeerDispatch(now, de.Endpoint.ID, rq.PrefixID(), de.UncachedTokens)
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// TestManyInstances simulates 30 instances, each of which sees a small part of the load, at a third of the endpoints' prefill capacity. If
// the instances notify each other of their prompts, at most one request in twenty waits for others longer than maxWait, a tenth of the
// shortest latency target. Without notifications, more requests do.
func TestManyInstances(tt *testing.T) {
	const maxWait = 50 * time.Millisecond
	alone, notified := replayInstances(false), replayInstances(true)
	late := func(waits []time.Duration) time.Duration { return waits[len(waits)*95/100] }
	if late(notified) > maxWait {
		tt.Errorf("with notifications, the 95th percentile of the waits is %s, above maxWait", late(notified))
	}
	if late(alone) <= maxWait {
		tt.Errorf("without notifications, the 95th percentile of the waits is only %s, so the test does not show their effect", late(alone))
	}
}
