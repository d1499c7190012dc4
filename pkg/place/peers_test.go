package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// TestPeerDispatch notes prompts of other instances: a busy endpoint is passed over until it has read them.
func TestPeerDispatch(tt *testing.T) {
	list := endpoints(2)
	rq := Request{Prompt: 600, Domain: "zone-a", TimeLeft: 3 * time.Second, Parts: []Part{{ID: 9, Tokens: 600}}}
	cases := []struct {
		name string
		told int64
		at   time.Duration
		want bool
	}{
		{"nothing was told", 0, time.Second, true},
		{"a long prompt was sent just now", 60_000, time.Second, false},
		{"it was read meanwhile", 60_000, 2500 * time.Millisecond, true},
		{"an absurd figure is forgotten in seconds", 1 << 62, 12 * time.Second, true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ba := NewBalancer()
			first := ba.Pick(time.Second, model, list, rq).Endpoint
			ba.RecordPeerDispatch(time.Second, first.ID, 0, tc.told)
			got := ba.Pick(tc.at, model, list, rq).Endpoint
			if diff := cmp.Diff(tc.want, got == first); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// openAttempt is one long request on its way through the replay.
type openAttempt struct {
	firstEventAt time.Duration
	attempt      *Attempt
}

// replayInstances plays long prompts through many instances before the same endpoints and returns the time that each waited for others.
func replayInstances(tell bool) []time.Duration {
	const instances, count, perSecond, length = 30, 60, 90, 20
	se := &plan.Service{Name: "model", Slots: 48, KVCapacityTokens: 500_000, KVCopyRate: 200_000}
	rd := rand.New(rand.NewPCG(7, 7))
	list := endpoints(count)
	boards := make([]*Balancer, instances)
	for ix := range boards {
		boards[ix] = NewBalancer()
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
		who := rd.IntN(instances)
		de := boards[who].Pick(now, se, list, rq)
		if de.Endpoint == nil {
			continue
		}
		waits = append(waits, max(0, freeAt[de.Endpoint.ID]-now))
		read := time.Duration(float64(de.UncachedTokens) / prefillRate * float64(time.Millisecond))
		freeAt[de.Endpoint.ID] = max(now, freeAt[de.Endpoint.ID]) + read
		open = append(open, openAttempt{firstEventAt: freeAt[de.Endpoint.ID], attempt: boards[who].Begin(now, se, rq, de)})
		for ix, ba := range boards {
			if tell && ix != who {
				ba.RecordPeerDispatch(now, de.Endpoint.ID, rq.PrefixID(), de.UncachedTokens)
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// TestManyInstances replays long prompts at a third of what the endpoints can read, through 30 instances that each see little of it: told
// of each other's prompts, they make one request in twenty wait for another for no more than a tenth of the shortest objective.
func TestManyInstances(tt *testing.T) {
	const mostWait = 50 * time.Millisecond
	alone, told := replayInstances(false), replayInstances(true)
	late := func(waits []time.Duration) time.Duration { return waits[len(waits)*95/100] }
	if late(told) > mostWait {
		tt.Errorf("told of each other, one request in twenty waits for more than %s", late(told))
	}
	if late(alone) <= mostWait {
		tt.Errorf("alone, the wait is %s: the load no longer shows what it is meant for", late(alone))
	}
}
