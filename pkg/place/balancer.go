package place

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// firstEventBase is the time to a first event without any prompt.
	firstEventBase = 8 * time.Millisecond
	// prefillRate is how many prompt tokens an endpoint reads in a millisecond; the measured slowness corrects it.
	prefillRate = 60
	// quadraticTime is the additional time to read a prompt of a million tokens squared.
	quadraticTime = 250 * time.Microsecond
	// defaultLatency is the expected time of a plain service before any was measured.
	defaultLatency = 20 * time.Millisecond
	// perRequestTime is what each running request adds to the others' steps, over the steps of a first event.
	perRequestTime = 400 * time.Microsecond
	// crossDomainTime is what another failure domain costs: the way there and back, and the bytes between.
	crossDomainTime = 5 * time.Millisecond
	// failurePenalty is what a recent failure adds to the expected time.
	failurePenalty = 300 * time.Millisecond
	// preferredMissShare is the part of the shared prompt that the home of its parts is not expected to hold when this instance has not sent it there.
	preferredMissShare = 0.1
	// inactivityFactor weighs an endpoint's unusual silence: whoever joins those that wait may wait for as long again.
	inactivityFactor = 2
	// maxJitter is the most by which the order of alike endpoints differs from request to request: instances that know the same must not all
	// choose the same endpoint.
	maxJitter = 6 * time.Millisecond
	// localPrefixTokens is the size of a shared prompt up to which reading it again is cheaper than another failure domain.
	localPrefixTokens = 600
	// queuedPromptTokens is what a request that waits at an endpoint is assumed to have unread.
	queuedPromptTokens = 1500
)

// Balancer is what this instance knows of all endpoints; it is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	states    map[string]*state
	locations prefixLocations
	// candidates are the states of the endpoints of one decision, kept for the next one.
	candidates []*state
}

// NewBalancer returns a board that knows nothing.
func NewBalancer() *Balancer { return &Balancer{states: map[string]*state{}} }

// Pick weighs the endpoints of a service for a request.
func (ba *Balancer) Pick(now time.Duration, se *plan.Service, list []*roster.Endpoint, rq Request) Decision {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if len(list) == 0 {
		return Decision{Reason: "no endpoint is registered", RetryAfter: maxRetryAfter / 2}
	}
	de := ba.pickFrom(now, se, list, rq, false)
	if de.Endpoint == nil {
		de = ba.pickFrom(now, se, list, rq, true)
	}
	if de.Endpoint == nil {
		return Decision{Reason: "every endpoint was tried", RetryAfter: minRetryAfter, Candidates: len(list)}
	}
	return refuseLate(rq, de)
}

// pickFrom returns the endpoint with the least expected time; with anyCircuit, also those that recently failed.
func (ba *Balancer) pickFrom(now time.Duration, se *plan.Service, list []*roster.Endpoint, rq Request, anyCircuit bool) Decision {
	home := preferredEndpoint(list, rq)
	holder := ba.prefixHolder(list, home, rq)
	source := ba.copySource(now, se, holder, rq)
	ba.candidates = ba.candidates[:0]
	for _, en := range list {
		ba.candidates = append(ba.candidates, ba.state(en, se))
	}
	price := prefillWeight(now, ba.candidates, rq)
	best := Decision{Candidates: len(list), Reason: "least expected time"}
	least := time.Duration(0)
	for ix, en := range list {
		st := ba.candidates[ix]
		if slices.Contains(rq.Tried, en.ID) || (!anyCircuit && !st.circuit.Allows(now)) {
			continue
		}
		hold := st.cachedTokens(rq, en == holder)
		var co copyPlan
		if en != holder {
			co = source.plan(se, hold)
		}
		unread := rq.Prompt - hold - co.tokens
		first, wait := st.expect(now, se, rq, unread)
		first += co.time
		cost := first + time.Duration(st.recentFailures(now)*float64(failurePenalty)) + prefillPenalty(rq, unread, price) + co.time
		cost += inactivityFactor*st.inactivity(now) + jitter(rq, en)
		if en.Domain != rq.Domain {
			cost += crossDomainTime
		}
		if best.Endpoint == nil || cost < least {
			best.Endpoint, best.TimeToFirstEvent, best.QueueTime, best.UncachedTokens, least = en, first, wait, unread, cost
			best.Source, best.CopyTokens = co.source, co.tokens
		}
	}
	return best
}

// cachedTokens returns the prompt tokens that the endpoint is expected to hold; holder says that its shared parts are believed to be there.
func (st *state) cachedTokens(rq Request, holder bool) int64 {
	if rq.Prompt == 0 {
		return 0
	}
	hold := st.cache.prefixTokens(rq.Parts)
	if holder && len(rq.Parts) > 1 {
		hold = max(hold, int64((1-preferredMissShare)*float64(rq.sharedTokens())))
	}
	return hold
}

// expect returns the expected time to the first event, or to the answer of a plain service, and the part of it in which the endpoint reads
// the prompts of others.
func (st *state) expect(now time.Duration, se *plan.Service, rq Request, unread int64) (first, wait time.Duration) {
	load := st.running + st.otherRequests(now)
	if rq.Prompt == 0 {
		return st.expectLatency(load), 0
	}
	ahead := max(st.prefillBacklog+st.peerBacklog(now), int64(st.waiting(now))*queuedPromptTokens)
	wait = time.Duration(float64(ahead) / prefillRate * float64(time.Millisecond))
	read := time.Duration(float64(unread) / prefillRate * float64(time.Millisecond))
	read += time.Duration(float64(unread) * float64(rq.Prompt) / 1e6 * float64(quadraticTime))
	first = firstEventBase + wait + read + time.Duration(load)*perRequestTime
	if over := load + 1 - slotsOf(st, se); over > 0 {
		first += time.Duration(over) * defaultLatency
	}
	return time.Duration(float64(first) * st.slowness), time.Duration(float64(wait) * st.slowness)
}

func (st *state) expectLatency(load int) time.Duration {
	latency := st.latency
	if latency == 0 {
		latency = defaultLatency
	}
	slots := max(1, st.endpoint.Slots)
	return latency * time.Duration(slots+max(0, load+1-slots)) / time.Duration(slots) * time.Duration(8+load) / 8
}

func slotsOf(st *state, se *plan.Service) int {
	if st.endpoint.Slots > 0 {
		return st.endpoint.Slots
	}
	return max(1, se.Slots)
}

// preferredEndpoint returns the endpoint that all instances take for requests with the same shared parts, by rendezvous hashing; short ones have a home in each failure domain.
func preferredEndpoint(list []*roster.Endpoint, rq Request) *roster.Endpoint {
	if len(rq.Parts) < 2 {
		return nil
	}
	subject := rq.Parts[len(rq.Parts)-2].ID
	shared := rq.sharedTokens()
	var best *roster.Endpoint
	var most uint64
	for _, en := range list {
		if shared < localPrefixTokens && en.Domain != rq.Domain {
			continue
		}
		if weight := mix(xxhash.Sum64String(en.ID) ^ subject); best == nil || weight > most {
			best, most = en, weight
		}
	}
	return best
}

// jitter returns a preference among endpoints that differs from request to request.
func jitter(rq Request, en *roster.Endpoint) time.Duration {
	if len(rq.Parts) == 0 {
		return 0
	}
	return time.Duration(mix(xxhash.Sum64String(en.ID)^rq.Parts[len(rq.Parts)-1].ID) % uint64(maxJitter))
}

// mix spreads a hash over all bits.
func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}

func (ba *Balancer) state(en *roster.Endpoint, se *plan.Service) *state {
	st, ok := ba.states[en.ID]
	if !ok || !st.endpoint.SameProcess(*en) {
		st = newState(*en, se.KVCapacityTokens)
		ba.states[en.ID] = st
	}
	return st
}

// Prune forgets all endpoints but those that the function names.
func (ba *Balancer) Prune(known func(id string) bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for id, st := range ba.states {
		if st.running == 0 && !known(id) {
			delete(ba.states, id)
		}
	}
}

// Health is what the board knows of one endpoint, for operators.
type Health struct {
	ID       string
	Running  int
	Failures float64
	Slowness float64
}

// Health returns what the board knows, by ascending ID.
func (ba *Balancer) Health(now time.Duration) []Health {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	list := make([]Health, 0, len(ba.states))
	for id, st := range ba.states {
		list = append(list, Health{ID: id, Running: st.running, Failures: st.recentFailures(now), Slowness: st.slowness})
	}
	slices.SortFunc(list, func(aa, bb Health) int { return strings.Compare(aa.ID, bb.ID) })
	return list
}
