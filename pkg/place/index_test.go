package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
)

// manyEndpoints returns endpoints in three failure domains.
func manyEndpoints(count int) []*roster.Endpoint {
	list := endpoints(count)
	for ix, en := range list {
		en.Domain = fmt.Sprint("zone-", string(rune('a'+ix%3)))
	}
	return list
}

// busyBalancer returns a balancer that knows of random backlogs at all endpoints but the free ones.
func busyBalancer(list []*roster.Endpoint, least, spread int64, free int) *Balancer {
	ba, rd := NewBalancer(), rand.New(rand.NewPCG(5, 5))
	for ix, en := range list {
		if ix != free {
			ba.Begin(time.Second, model, Request{Prompt: 1}, Decision{Endpoint: en, UncachedTokens: least + rd.Int64N(spread)})
		}
	}
	return ba
}

// TestPickDoesNotAllocate guards against decisions whose cost grows with the number of requests a second by garbage, at any number of endpoints.
func TestPickDoesNotAllocate(tt *testing.T) {
	for _, count := range []int{9, 100, 1000} {
		list, rq := manyEndpoints(count), longRequest(7, 1)
		ba := busyBalancer(list, 0, 5000, -1)
		for range 3 {
			ba.Pick(time.Second, model, list, rq)
		}
		if got := testing.AllocsPerRun(200, func() { ba.Pick(time.Second, model, list, rq) }); got != 0 {
			tt.Errorf("a decision among %d endpoints allocates %.1f times, want 0", count, got)
		}
	}
}

// TestSampledDecisions compares decisions among 1,000 endpoints with random backlogs, which examine a sample, with those that examine all. The mean expected
// time may be longer by a tenth.
func TestSampledDecisions(tt *testing.T) {
	list := manyEndpoints(1000)
	ba := busyBalancer(list, 500, 40_000, -1)
	now, sampled, complete := time.Second, time.Duration(0), time.Duration(0)
	for number := range 600 {
		now += time.Millisecond
		rq := longRequest(uint64(100+number%50), number)
		rq.TimeLeft = 0
		ix := ba.index(now, model, list)
		best, scannedAt := ix.best, ix.scannedAt
		complete += ba.pickFrom(now, model, ix, &rq, false).TimeToFirstEvent
		ix.best, ix.scannedAt = best, scannedAt
		de := ba.Pick(now, model, list, rq)
		if de.Endpoint == nil {
			tt.Fatalf("request %d was refused: %s", number, de.Reason)
		}
		sampled += de.TimeToFirstEvent
		ba.Begin(now, model, rq, de)
	}
	if sampled > complete*11/10 {
		tt.Errorf("sampled decisions expect %s on average, complete ones %s", sampled/600, complete/600)
	}
	tt.Logf("sampled decisions expect %s on average, complete ones %s", sampled/600, complete/600)
}

// TestOnlyFreeEndpoint checks that the only free one of 1,000 endpoints, which no sample may contain, is found before a request is refused.
func TestOnlyFreeEndpoint(tt *testing.T) {
	list := manyEndpoints(1000)
	ba := busyBalancer(list, 400_000, 1, 777)
	for number := range 5 {
		now := time.Second + time.Duration(number)*2*scanInterval
		if de := ba.Pick(now, model, list, longRequest(7, number)); de.Endpoint != list[777] {
			tt.Errorf("request %d: %+v, want %s", number, de, list[777].ID)
		}
	}
}

// TestIndexFollowsChanges checks that decisions among many endpoints see processes that were replaced, and endpoints that were removed.
func TestIndexFollowsChanges(tt *testing.T) {
	list, rq := manyEndpoints(200), longRequest(7, 1)
	ba := NewBalancer()
	for range 3 {
		ba.Pick(time.Second, model, list, rq)
	}
	first := ba.Pick(time.Second, model, list, rq).Endpoint
	next := *first
	next.StartedMillis++
	for ix := range list {
		if list[ix] == first {
			list[ix] = &next
		}
	}
	de := ba.Pick(time.Second, model, list, rq)
	if de.Endpoint != &next {
		tt.Fatalf("%s of the old process or another one was chosen", de.Endpoint.ID)
	}
	ba.Begin(time.Second, model, rq, de).End(time.Second, Unreachable)
	ba.Prune(time.Second, func(id string) bool { return id != next.ID })
	if ba.Pick(time.Second, model, list, rq).Endpoint != &next {
		tt.Error("the state of an endpoint that was removed and has come back is still used")
	}
}

// TestPreferredEndpointOfManyPrefixes checks that the preferred endpoint of a prefix is the same when it is looked up again, after other prefixes and from
// other failure domains, as the one that a balancer finds that has seen nothing else. Otherwise the instances would prefill a prefix at different endpoints.
func TestPreferredEndpointOfManyPrefixes(tt *testing.T) {
	list := manyEndpoints(300)
	kept := NewBalancer()
	kept.index(0, model, list)
	ix, fresh := kept.index(0, model, list), NewBalancer().index(0, model, list)
	for number := range 6000 {
		rq := Request{
			Prompt: 1000, Domain: fmt.Sprint("zone-", string(rune('a'+number%3))),
			Parts: []Part{{ID: uint64(number * 7 % 2000), Tokens: int64(500 + number%2*200)}, {ID: 1, Tokens: 300}},
		}
		rq.Prompt = rq.Parts[0].Tokens + rq.Parts[1].Tokens
		if got, want := ix.preferredEndpoint(&rq, false), fresh.preferredEndpoint(&rq, false); got.endpoint != want.endpoint {
			tt.Fatalf("request %d: %s, want %s", number, got.endpoint.ID, want.endpoint.ID)
		}
	}
}
