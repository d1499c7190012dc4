package place

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
	"github.com/clementineweir/clementineweir/pkg/spill"
)

const (
	// quadraticTime sets the quadratic part of the prefill time, which attention causes: uncached * prompt / 1e6 * quadraticTime. Here
	// uncached and prompt are numbers of tokens.
	quadraticTime = 250 * time.Microsecond
	// failurePenalty is added to the cost of an endpoint for each recent failure.
	failurePenalty = 300 * time.Millisecond
	// prefixMissShare is the part of a shared prefix that is assumed to be missing from the cache of its holder (see prefixHolder). If this
	// instance itself sent the whole prefix to the holder, nothing is assumed to be missing.
	prefixMissShare = 0.1
	// inactivityFactor is the weight of an endpoint's inactivity (see state.inactivity) in its cost: if an endpoint has sent nothing for some
	// time, a new request might wait for as long again.
	inactivityFactor = 2
	// maxJitter bounds the random part of the cost. Without it, instances with the same knowledge would all choose the same endpoint.
	maxJitter = 6 * time.Millisecond
	// localPrefixTokens is the minimum size of a shared prefix for which the preferred endpoint can be in another failure domain. Prefilling a
	// shorter prefix once more in each domain costs less than sending requests to another domain.
	localPrefixTokens = 600
)

// Balancer chooses endpoints by their load and their cached prefixes, as far as this instance knows them; it is safe for concurrent use.
type Balancer struct {
	mu sync.Mutex
	// states are the known endpoints by ID.
	states    map[string]*state
	locations prefixLocations
	// candidates are the endpoints of the current decision, and withheld the states of those that may get no request for lack of a permit; the
	// slices are reused by the next decision.
	candidates []candidate
	withheld   []*state
	// unwilling are the endpoints of the current decision that want no requests from this instance.
	unwilling []*state
	// limited is the number of endpoints of the current decision that have a rate limit.
	limited int
	limits  rateLimits
	fleet   fleet
	// brittle holds, by service, what an endpoint last said of its brittleness, and full is the number of endpoints of the current decision that have
	// no room.
	brittle map[string]brittleService
	full    int
	// estimates holds what is known of all endpoints of a service together, by service.
	estimates map[string]*estimate
	// lag is how late this instance itself runs.
	lag lag
	// indexes are kept indexes of lists of endpoints, and latest the one of the last list without one.
	indexes []*index
	latest  *index
	// epoch is the number of calls of ForgetLoad.
	epoch int
	// spillover decides which requests leave the failure domain.
	spillover spillover
}

// candidate is an endpoint that may get a request.
type candidate struct {
	endpoint *roster.Endpoint
	state    *state
	// position is the position of the endpoint in its list.
	position int
}

// NewBalancer returns a balancer that knows nothing of any endpoint.
func NewBalancer() *Balancer {
	return &Balancer{
		states: map[string]*state{}, limits: newRateLimits(), brittle: map[string]brittleService{}, estimates: map[string]*estimate{},
		fleet:     fleet{instances: 1, random: newRandom(""), usage: map[string]*usage{}},
		spillover: spillover{spill: spill.New(spill.DefaultConfig())},
	}
}

// Pick chooses one of the listed endpoints of a service for a request. It refuses the request if all endpoints were tried, or if no
// response is expected in time.
func (ba *Balancer) Pick(now time.Duration, se *plan.Service, list []*roster.Endpoint, rq Request) Decision {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if len(list) == 0 {
		return Decision{Reason: "no endpoint is registered", RetryAfter: maxRetryAfter / 2}
	}
	ba.spillover.change = spill.Change{}
	de := ba.choose(now, se, list, &rq)
	de.Spill = ba.spillover.change
	return de
}

// choose chooses one of the listed endpoints for a request; the caller holds the lock.
func (ba *Balancer) choose(now time.Duration, se *plan.Service, list []*roster.Endpoint, rq *Request) Decision {
	de, ok := Decision{}, false
	ix := ba.index(now, se, list)
	if len(ix.shuffled) > 0 {
		de, ok = ba.pickSampled(now, se, ix, rq)
	}
	if !ok {
		de = ba.pickFrom(now, se, ix, rq, false)
		if de.Endpoint == nil {
			de = ba.pickFrom(now, se, ix, rq, true)
		}
	}
	ba.askForPermit(now)
	if de.Endpoint == nil && len(ba.withheld) > 0 {
		return ba.refuseLimited(now, se, *rq, len(list))
	}
	if de.Endpoint == nil && ba.full > 0 {
		return ba.refuseFull(len(list))
	}
	if de.Endpoint == nil && len(ba.unwilling) > 0 {
		return ba.refuseUnwanted(now, len(list))
	}
	if de.Endpoint == nil {
		return Decision{Reason: "every endpoint was tried", RetryAfter: minRetryAfter, Candidates: len(list)}
	}
	return ba.takePermit(now, refuseLate(*rq, ba.leaveLate(now, se, ix, rq, de)))
}

// pickSampled chooses one of a sample of a long list. It returns false if all endpoints must be examined: because some have rate limits or are brittle, because
// no endpoint of the sample can get the request, or because none is expected to answer in time and the whole list was not examined recently.
func (ba *Balancer) pickSampled(now time.Duration, se *plan.Service, ix *index, rq *Request) (Decision, bool) {
	preferred := ix.preferredEndpoint(rq, false)
	holder := ba.prefixHolder(ix, preferred, rq)
	ba.collect(now, se, ix.sample(preferred, holder, rq.Domain), len(ix.list), rq, false)
	if ba.limited > 0 || ba.full > 0 {
		return Decision{}, false
	}
	de := ba.leastCost(now, se, ix, holder, rq, false)
	late := de.Endpoint != nil && refuseLate(*rq, de).Endpoint == nil
	return de, de.Endpoint != nil && (!late || (ix.scannedAt > 0 && now-ix.scannedAt < scanInterval))
}

// pickFrom chooses the endpoint with the lowest expected cost; with anyCircuit it also considers those whose circuit breaker is open.
func (ba *Balancer) pickFrom(now time.Duration, se *plan.Service, ix *index, rq *Request, anyCircuit bool) Decision {
	ix.scannedAt = now
	ba.collect(now, se, ix.entries, len(ix.list), rq, anyCircuit)
	preferred := ix.preferredEndpoint(rq, ba.limited > 0 && ba.limited < len(ix.list))
	return ba.leastCost(now, se, ix, ba.prefixHolder(ix, preferred, rq), rq, anyCircuit)
}

// leastCost chooses the collected candidate with the lowest expected cost.
func (ba *Balancer) leastCost(now time.Duration, se *plan.Service, ix *index, holder *candidate, rq *Request, anyCircuit bool) Decision {
	source := ba.copySource(now, se, holder, rq)
	es := ba.estimate(se.Name)
	weight := prefillWeight(now, es, ba.candidates, rq)
	ba.prepareSpill(now, se, ix, rq)
	best := Decision{Candidates: len(ix.list), Withheld: len(ba.withheld), Reason: "least expected time"}
	best.Examined = len(ba.candidates)
	if rq.Prompt > 0 {
		best.PrefillRate = es.rate
	}
	least := time.Duration(0)
	ix.best.count = 0
	for _, ca := range ba.candidates {
		en, st := ca.endpoint, ca.state
		if slices.Contains(rq.Tried, en.ID) || (!anyCircuit && !st.circuit.Allows(now)) {
			continue
		}
		held := holder != nil && st == holder.state
		cached := st.cachedTokens(rq, held)
		var cp copyPlan
		if !held {
			cp = source.plan(es, se, cached)
		}
		uncached := rq.Prompt - cached - cp.tokens
		toFirstEvent, queueTime := st.expect(now, se, rq, uncached)
		toFirstEvent += cp.time
		cost := toFirstEvent + time.Duration(st.recentFailures(now)*float64(failurePenalty)) + prefillPenalty(es, rq, uncached, weight) + cp.time
		cost += inactivityFactor*st.inactivity(now) + jitter(rq, st)
		ix.best.add(ca.position, cost)
		cost += ba.leavingCost(now, ix.domains[ca.position], rq, st, held)
		if best.Endpoint == nil || cost < least {
			best.Endpoint, best.TimeToFirstEvent, best.QueueTime, best.UncachedTokens, least = en, toFirstEvent, queueTime, uncached, cost
			best.Source, best.CopyTokens = cp.source, cp.tokens
		}
	}
	ba.leave(se, rq, &best, holder)
	return best
}

// cachedTokens returns the number of prompt tokens that the endpoint is expected to have cached; holder is true if the endpoint is the one
// returned by prefixHolder.
func (st *state) cachedTokens(rq *Request, holder bool) int64 {
	if rq.Prompt == 0 {
		return 0
	}
	cached := st.cache.prefixTokens(rq.Parts)
	if holder && len(rq.Parts) > 1 {
		cached = max(cached, int64((1-prefixMissShare)*float64(rq.sharedTokens())))
	}
	return cached
}

// slotsOf returns the number of requests that the endpoint runs at once, as registered or else as configured for the service.
func slotsOf(st *state, se *plan.Service) int {
	if st.endpoint.Slots > 0 {
		return st.endpoint.Slots
	}
	return max(1, se.Slots)
}

// jitter returns a pseudo-random addition to the cost of an endpoint for a request, so that endpoints of equal cost are chosen equally
// often.
func jitter(rq *Request, st *state) time.Duration {
	if len(rq.Parts) == 0 {
		return 0
	}
	return time.Duration(mix(st.hash^rq.Parts[len(rq.Parts)-1].ID) % uint64(maxJitter))
}

// mix is the finalizer of MurmurHash3, which spreads the entropy of a hash over all its bits.
func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}

func (ba *Balancer) state(now time.Duration, en *roster.Endpoint, se *plan.Service) *state {
	st, ok := ba.states[en.ID]
	if !ok || !st.endpoint.SameProcess(*en) {
		if ok {
			ba.dropIndexes()
		}
		st = newState(*en, se.KVCapacityTokens, ba.estimate(en.Service), &ba.lag)
		st.rateLimit = ba.limits.heard[en.Process()]
		delete(ba.limits.heard, en.Process())
		ba.states[en.ID] = st
	}
	ba.updateBrittleness(now, st)
	return st
}

// Prune removes the endpoints for which known returns false, except those with requests of this instance in flight and those that want no requests and may
// return.
func (ba *Balancer) Prune(now time.Duration, known func(id string) bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for id, st := range ba.states {
		if st.running == 0 && !st.refuses(now) && !known(id) {
			delete(ba.states, id)
			ba.dropIndexes()
		}
	}
}

// Health is the state of one endpoint as this instance knows it, for operators.
type Health struct {
	// ID is the ID of the endpoint.
	ID string
	// Running is the number of this instance's requests in flight at the endpoint.
	Running int
	// Failures is the count of recent failures, weighted by kind and by age.
	Failures float64
	// Slowness is the moving average of the ratio of measured to expected times to the first event.
	Slowness float64
}

// Health returns the state of each known endpoint, ordered by ID.
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
