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
	// firstBase is the time to a first event without any prompt.
	firstBase = 8 * time.Millisecond
	// readRate is how many prompt tokens an endpoint reads in a millisecond; the measured slowness corrects it.
	readRate = 60
	// pairTime is the additional time to read a prompt of a million tokens squared.
	pairTime = 250 * time.Microsecond
	// plainTime is the expected time of a plain service before any was measured.
	plainTime = 20 * time.Millisecond
	// runningTime is what each running request adds to the others' steps, over the steps of a first event.
	runningTime = 400 * time.Microsecond
	// domainTime is what another failure domain costs: the way there and back, and the bytes between.
	domainTime = 5 * time.Millisecond
	// failureTime is what a recent failure adds to the expected time.
	failureTime = 300 * time.Millisecond
	// homeShare is the part of the shared prompt that the home of its parts is not expected to hold when this instance has not sent it there.
	homeShare = 0.1
	// silenceFactor weighs an endpoint's unusual silence: whoever joins those that wait may wait for as long again.
	silenceFactor = 2
	// spreadTime is the most by which the order of alike endpoints differs from request to request: instances that know the same must not all
	// choose the same endpoint.
	spreadTime = 6 * time.Millisecond
	// localTokens is the size of a shared prompt up to which reading it again is cheaper than another failure domain.
	localTokens = 600
	// waitingTokens is what a request that waits at an endpoint is assumed to have unread.
	waitingTokens = 1500
)

// Balancer is what this instance knows of all endpoints; it is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	states map[string]*state
	where  whereabouts
	// weighed are the states of the endpoints of one decision, kept for the next one.
	weighed []*state
}

// NewBalancer returns a board that knows nothing.
func NewBalancer() *Balancer { return &Balancer{states: map[string]*state{}} }

// Pick weighs the endpoints of a service for a request.
func (bo *Balancer) Pick(now time.Duration, se *plan.Service, list []*roster.Endpoint, rq Request) Decision {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if len(list) == 0 {
		return Decision{Reason: "no endpoint is registered", RetryAfter: mostRetryAfter / 2}
	}
	de := bo.pickFrom(now, se, list, rq, false)
	if de.Endpoint == nil {
		de = bo.pickFrom(now, se, list, rq, true)
	}
	if de.Endpoint == nil {
		return Decision{Reason: "every endpoint was tried", RetryAfter: leastRetryAfter, Candidates: len(list)}
	}
	return refuseLate(rq, de)
}

// pickFrom returns the endpoint with the least expected time; with anyCircuit, also those that recently failed.
func (bo *Balancer) pickFrom(now time.Duration, se *plan.Service, list []*roster.Endpoint, rq Request, anyCircuit bool) Decision {
	home := homeOf(list, rq)
	holder := bo.holderOf(list, home, rq)
	source := bo.sourceOf(now, se, holder, rq)
	bo.weighed = bo.weighed[:0]
	for _, en := range list {
		bo.weighed = append(bo.weighed, bo.state(en, se))
	}
	price := rereadPrice(now, bo.weighed, rq)
	best := Decision{Candidates: len(list), Reason: "least expected time"}
	least := time.Duration(0)
	for ix, en := range list {
		st := bo.weighed[ix]
		if slices.Contains(rq.Tried, en.ID) || (!anyCircuit && !st.circuit.Allows(now)) {
			continue
		}
		hold := st.holding(rq, en == holder)
		var co copying
		if en != holder {
			co = source.copying(se, hold)
		}
		unread := rq.Prompt - hold - co.tokens
		first, wait := st.expect(now, se, rq, unread)
		first += co.time
		cost := first + time.Duration(st.recentFailures(now)*float64(failureTime)) + rereadTime(rq, unread, price) + co.time
		cost += silenceFactor*st.silence(now) + spread(rq, en)
		if en.Domain != rq.Domain {
			cost += domainTime
		}
		if best.Endpoint == nil || cost < least {
			best.Endpoint, best.TimeToFirstEvent, best.QueueTime, best.UncachedTokens, least = en, first, wait, unread, cost
			best.Source, best.CopyTokens = co.source, co.tokens
		}
	}
	return best
}

// holding returns the prompt tokens that the endpoint is expected to hold; holder says that its shared parts are believed to be there.
func (st *state) holding(rq Request, holder bool) int64 {
	if rq.Prompt == 0 {
		return 0
	}
	hold := st.cache.held(rq.Parts)
	if holder && len(rq.Parts) > 1 {
		hold = max(hold, int64((1-homeShare)*float64(rq.shared())))
	}
	return hold
}

// expect returns the expected time to the first event, or to the answer of a plain service, and the part of it in which the endpoint reads
// the prompts of others.
func (st *state) expect(now time.Duration, se *plan.Service, rq Request, unread int64) (first, wait time.Duration) {
	load := st.running + st.others(now)
	if rq.Prompt == 0 {
		return st.expectPlain(load), 0
	}
	ahead := max(st.unread+st.toldUnread(now), int64(st.waiting(now))*waitingTokens)
	wait = time.Duration(float64(ahead) / readRate * float64(time.Millisecond))
	read := time.Duration(float64(unread) / readRate * float64(time.Millisecond))
	read += time.Duration(float64(unread) * float64(rq.Prompt) / 1e6 * float64(pairTime))
	first = firstBase + wait + read + time.Duration(load)*runningTime
	if over := load + 1 - slotsOf(st, se); over > 0 {
		first += time.Duration(over) * plainTime
	}
	return time.Duration(float64(first) * st.slowness), time.Duration(float64(wait) * st.slowness)
}

func (st *state) expectPlain(load int) time.Duration {
	latency := st.latency
	if latency == 0 {
		latency = plainTime
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

// homeOf returns the endpoint that all instances take for requests with the same shared parts, by rendezvous hashing; short ones have a home in each failure domain.
func homeOf(list []*roster.Endpoint, rq Request) *roster.Endpoint {
	if len(rq.Parts) < 2 {
		return nil
	}
	subject := rq.Parts[len(rq.Parts)-2].ID
	shared := rq.shared()
	var best *roster.Endpoint
	var most uint64
	for _, en := range list {
		if shared < localTokens && en.Domain != rq.Domain {
			continue
		}
		if weight := mix(xxhash.Sum64String(en.ID) ^ subject); best == nil || weight > most {
			best, most = en, weight
		}
	}
	return best
}

// spread returns a preference among endpoints that differs from request to request.
func spread(rq Request, en *roster.Endpoint) time.Duration {
	if len(rq.Parts) == 0 {
		return 0
	}
	return time.Duration(mix(xxhash.Sum64String(en.ID)^rq.Parts[len(rq.Parts)-1].ID) % uint64(spreadTime))
}

// mix spreads a hash over all bits.
func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}

func (bo *Balancer) state(en *roster.Endpoint, se *plan.Service) *state {
	st, ok := bo.states[en.ID]
	if !ok || !st.endpoint.SameProcess(*en) {
		st = newState(*en, se.KVCapacityTokens)
		bo.states[en.ID] = st
	}
	return st
}

// Prune forgets all endpoints but those that the function names.
func (bo *Balancer) Prune(known func(id string) bool) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	for id, st := range bo.states {
		if st.running == 0 && !known(id) {
			delete(bo.states, id)
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
func (bo *Balancer) Health(now time.Duration) []Health {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	list := make([]Health, 0, len(bo.states))
	for id, st := range bo.states {
		list = append(list, Health{ID: id, Running: st.running, Failures: st.recentFailures(now), Slowness: st.slowness})
	}
	slices.SortFunc(list, func(aa, bb Health) int { return strings.Compare(aa.ID, bb.ID) })
	return list
}
