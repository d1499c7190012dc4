package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/limit"
)

// nameLimit makes the balancer believe that an endpoint has a rate limit.
func nameLimit(ba *Balancer, now time.Duration, process string, perSecond float64) {
	ba.RecordPeerRateLimit(now, process, limit.Statement{Limited: true, PerSecond: perSecond})
}

// TestLimitedEndpointNeedsPermit sends requests whose preferred endpoint names a rate limit. They go to the other endpoints at once, and to the
// limited one as often as there are permits.
func TestLimitedEndpointNeedsPermit(tt *testing.T) {
	ba, list := NewBalancer(), endpoints(3)
	now := time.Second
	rq := longRequest(100, 1)
	limited := NewBalancer().index(now, model, list).preferredEndpoint(&rq, false).endpoint
	nameLimit(ba, now, limited.Process(), 2)
	pick := func(number int) Decision {
		de := ba.Pick(now, model, list, longRequest(100, number))
		ba.Begin(now, model, longRequest(100, number), de).End(now, Answered)
		return de
	}
	first := pick(1)
	if first.Endpoint == limited || first.Withheld != 1 {
		tt.Errorf("without a permit %s was chosen with %d endpoints withheld, want another one than %s and 1", first.Endpoint.ID, first.Withheld, limited.ID)
	}
	for number := range 20 {
		if de := pick(2 + number); de.Endpoint != first.Endpoint {
			tt.Fatalf("request %d went to %s, want the endpoint that holds the prefix, %s", number, de.Endpoint.ID, first.Endpoint.ID)
		}
	}
	asks := ba.TakeAsks()
	if diff := cmp.Diff([]limit.Ask{{Process: limited.Process(), PerSecond: 2, Permits: 1}}, asks); diff != "" {
		tt.Fatalf("asks (-want +got): %s", diff)
	}
	ba.AnswerAsk(now, now, asks[0], "issuer", limit.Grant{Permits: 1, Wait: 200 * time.Millisecond})
	if de := pick(50); de.PermitFrom != "" {
		tt.Error("a permit was used before it was valid")
	}
	now += 300 * time.Millisecond
	used := 0
	for number := range 5 {
		rq := longRequest(0, 60+number)
		rq.Parts = rq.Parts[2:]
		rq.Tried = []string{"endpoint-0", "endpoint-1", "endpoint-2"}
		rq.Tried = append(rq.Tried[:0], without(rq.Tried, limited.ID)...)
		if de := ba.Pick(now, model, list, rq); de.Endpoint != nil {
			used++
			if number == 0 {
				ba.Release(de)
				used--
			}
		}
	}
	if used != 1 {
		tt.Errorf("the limited endpoint got %d requests, want 1 for the permit that was released once", used)
	}
}

// without returns the list without one element.
func without(list []string, one string) []string {
	var out []string
	for _, el := range list {
		if el != one {
			out = append(out, el)
		}
	}
	return out
}

// TestAllEndpointsLimited checks that requests are refused at once if all endpoints of a service are at their rate limits, and that the callers are
// told to return no sooner than this instance's share of the limits allows, each team in its turn.
func TestAllEndpointsLimited(tt *testing.T) {
	ba, list := NewBalancer(), endpoints(4)
	ba.SetInstances(2)
	now := time.Second
	for _, en := range list {
		nameLimit(ba, now, en.Process(), 0.5)
	}
	refuse := func(team string) time.Duration {
		rq := longRequest(100, 1)
		rq.Team = team
		de := ba.Pick(now, model, list, rq)
		if de.Endpoint != nil {
			tt.Fatalf("a request was sent to %s without a permit", de.Endpoint.ID)
		}
		return de.RetryAfter
	}
	// Four endpoints with half a request a second each, over two instances, take one a second here.
	got := []time.Duration{refuse("large"), refuse("large"), refuse("large"), refuse("small"), refuse("large")}
	want := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 2 * time.Second, 5 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		tt.Errorf("delays of the callers (-want +got): %s", diff)
	}
	if asks := ba.TakeAsks(); len(asks) != 4 {
		tt.Errorf("%d asks for permits, want 4, one for each endpoint", len(asks))
	}
}

// TestLimitEndsWithProcess checks that a limit is kept for an endpoint that this instance has not used yet, and not for its next process.
func TestLimitEndsWithProcess(tt *testing.T) {
	ba, list := NewBalancer(), endpoints(1)
	now := time.Second
	nameLimit(ba, now, list[0].Process(), 2)
	if de := ba.Pick(now, model, list, longRequest(1, 1)); de.Endpoint != nil {
		tt.Error("a request was sent to a limited endpoint without a permit")
	}
	next := *list[0]
	next.StartedMillis++
	list[0] = &next
	if de := ba.Pick(now, model, list, longRequest(1, 2)); de.Endpoint == nil {
		tt.Errorf("the new process got no request: %s", de.Reason)
	}
}

// TestStaleWithdrawalIsNotAnnounced checks that a response without a limit, to a request from before the limit was named, is neither believed nor passed
// on to peers.
func TestStaleWithdrawalIsNotAnnounced(tt *testing.T) {
	ba, list := NewBalancer(), endpoints(1)
	begin := func(now time.Duration) *Attempt {
		rq := longRequest(1, 1)
		return ba.Begin(now, model, rq, ba.Pick(now, model, list, rq))
	}
	early, later := begin(time.Second), begin(2*time.Second)
	named := limit.Statement{Limited: true, PerSecond: 2}
	if ch := later.RecordRateLimit(3*time.Second, named); !ch.Changed || !ch.Notify {
		tt.Errorf("the limit was named: %+v, want a change and a notice", ch)
	}
	if ch := early.RecordRateLimit(10*time.Second, limit.Statement{}); ch.Changed || ch.Notify {
		tt.Errorf("a response to an earlier request has no limit: %+v, want neither a change nor a notice", ch)
	}
	if diff := cmp.Diff(map[string]float64{list[0].Process(): 2}, ba.RateLimits()); diff != "" {
		tt.Errorf("limits (-want +got): %s", diff)
	}
}
