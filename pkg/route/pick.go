package route

import (
	"slices"
	"time"
)

const (
	// fullScanLimit is the maximum size of a pool in which all candidates are compared.
	fullScanLimit = 64
	// sampleSize is the number of random candidates that are compared in larger pools.
	sampleSize = 16
	// defaultServiceTime is the expected duration of a request on an endpoint without samples.
	defaultServiceTime = time.Second
	// prefillPerBlock is the expected time to process one prompt block that is not cached.
	prefillPerBlock = 20 * time.Millisecond
	// triedDomainPenalty is added to the cost of endpoints in a failure domain in which the request already failed.
	triedDomainPenalty = 5 * time.Second
	// maxLoadPercent limits the load of an endpoint: it gets no more requests once load >= slots * maxLoadPercent / percent.
	maxLoadPercent = 125
	percent        = 100
)

// Query describes the request to place.
type Query struct {
	// Model is the model to run; it is not used if Service is set.
	Model string
	// Service is the plain service to call, or empty.
	Service string
	// Tried are the endpoints on which the request already failed.
	Tried []string
	// TriedDomains are the failure domains of Tried.
	TriedDomains []string
	// Prefix holds the hashes of the prompt's prefixes; see PrefixHashes.
	Prefix []uint64
	// Suspect is set if requests with this content are suspected of crashing endpoints.
	Suspect bool
	// Random breaks ties between endpoints of equal cost and seeds the sampling of large pools.
	Random uint64
}

// Choice is the decision for one request.
type Choice struct {
	// Endpoint is the name of the chosen endpoint.
	Endpoint string
	// Cost is the expected time to the response, with penalties; see candidate.cost.
	Cost time.Duration
	// CachedBlocks is the number of leading prompt blocks expected in the prefix cache of the endpoint.
	CachedBlocks int
	// Reason explains the choice to operators.
	Reason string
}

// pool holds the candidates for one model or service and the queue of requests that wait for capacity.
type pool struct {
	list  []*candidate
	queue queue
}

// pick returns the cheapest usable candidate, or nil.
//
// Endpoints on which the request failed are allowed again once it failed on all of them. If no candidate is usable and most
// circuits are open, open circuits are ignored.
func (po *pool) pick(now time.Duration, qu Query) (*candidate, Choice) {
	if po.allTried(qu) {
		qu.Tried = nil
	}
	best, choice := po.pickFrom(now, qu, false)
	if best == nil && po.mostCircuitsOpen(now) {
		best, choice = po.pickFrom(now, qu, true)
		choice.Reason = "most circuit breakers are open, so they are ignored"
	}
	return best, choice
}

func (po *pool) pickFrom(now time.Duration, qu Query, ignoreCircuits bool) (*candidate, Choice) {
	var best *candidate
	choice := Choice{Reason: "shortest expected response time"}
	count := len(po.list)
	tries := count
	if count > fullScanLimit {
		tries = sampleSize
	}
	random := qu.Random
	for ix := range tries {
		ca := po.candidateAt(ix, count, &random)
		if !ca.usable(now, qu, ignoreCircuits) {
			continue
		}
		cost, hits := ca.cost(qu)
		if best == nil || cost < choice.Cost {
			best = ca
			choice.Cost = cost
			choice.CachedBlocks = hits
			choice.Endpoint = ca.endpoint.Name
		}
	}
	return best, choice
}

// allTried reports whether the request already failed on every endpoint that is not leaving.
func (po *pool) allTried(qu Query) bool {
	if len(qu.Tried) == 0 {
		return false
	}
	for _, ca := range po.list {
		if !ca.leaving() && !slices.Contains(qu.Tried, ca.endpoint.Name) {
			return false
		}
	}
	return true
}

// candidateAt returns the next candidate to compare. In pools up to fullScanLimit these are all candidates in turn from a random
// start, in larger pools random ones.
func (po *pool) candidateAt(ix, count int, random *uint64) *candidate {
	if count <= fullScanLimit {
		return po.list[(ix+int(*random%uint64(count)))%count]
	}
	// One step of the 64-bit linear congruential generator with the constants of Knuth's MMIX.
	*random = *random*6364136223846793005 + 1442695040888963407
	return po.list[(*random>>33)%uint64(count)]
}

// mostCircuitsOpen reports whether more than half of the circuits are open, which points to a fault shared by all endpoints.
func (po *pool) mostCircuitsOpen(now time.Duration) bool {
	open := 0
	for _, ca := range po.list {
		if !ca.circuit.Allows(now) {
			open++
		}
	}
	return 2*open > len(po.list)
}

func (ca *candidate) usable(now time.Duration, qu Query, ignoreCircuits bool) bool {
	if ca.leaving() || slices.Contains(qu.Tried, ca.endpoint.Name) {
		return false
	}
	if !ignoreCircuits && !ca.circuit.Allows(now) {
		return false
	}
	if qu.Suspect && ca.suspectRequests > 0 {
		return false
	}
	return ca.load()*percent < ca.endpoint.Slots*maxLoadPercent
}

// cost returns the cost of sending the request to this endpoint, and the number of prompt blocks expected in its prefix cache.
//
// The cost is the sum of
//   - service * load / slots, the time for the requests that the endpoint already has;
//   - service * over / slots, if the new request makes the load exceed the slots by over;
//   - service / ewmaWeight, which favors the faster of two idle endpoints;
//   - prefillPerBlock for each prompt block that is not cached;
//   - triedDomainPenalty, if the request already failed in the endpoint's failure domain.
func (ca *candidate) cost(qu Query) (time.Duration, int) {
	service := ca.serviceTime.value
	if service == 0 {
		service = defaultServiceTime
	}
	slots := max(1, ca.endpoint.Slots)
	load := ca.load()
	cost := service * time.Duration(load) / time.Duration(slots)
	if over := load + 1 - slots; over > 0 {
		cost += service * time.Duration(over) / time.Duration(slots)
	}
	cost += service / ewmaWeight
	hits := ca.cache.hits(qu.Prefix)
	cost += prefillPerBlock * time.Duration(len(qu.Prefix)-hits)
	if slices.Contains(qu.TriedDomains, ca.endpoint.Domain) {
		cost += triedDomainPenalty
	}
	return cost, hits
}
