package place

import (
	"math"
	"time"
)

const (
	// prefillFactor is the result of prefillWeight while no prompt waits. It is above 1 because the prefill also delays the other requests at
	// the endpoint.
	prefillFactor = 4
	// prefillWaitFactor raises the weight when prompts wait: weight = prefillFactor * (1 + prefillWaitFactor*seconds). Here seconds is the
	// queue time at the endpoint with the smallest prefill backlog.
	prefillWaitFactor = 60
)

// prefillWeight returns a factor for the cost of an endpoint. The time to prefill a shared prefix again is multiplied by it.
//
// The weight grows with the queues. When prompts wait at all endpoints, each token that is prefilled twice delays all of them. A request
// should then wait at the endpoint that has its prefix cached, rather than be prefilled at one that is slightly less busy.
func prefillWeight(now time.Duration, es *estimate, candidates []candidate, rq *Request) float64 {
	if rq.sharedTokens() == 0 {
		return prefillFactor
	}
	smallest := int64(math.MaxInt64)
	for _, ca := range candidates {
		smallest = min(smallest, ca.state.prefillBacklog+ca.state.peerBacklog(now))
	}
	if len(candidates) == 0 {
		return prefillFactor
	}
	return prefillFactor * (1 + prefillWaitFactor*es.prefillTime(smallest).Seconds())
}

// prefillPenalty returns the cost of prefilling a shared prefix again, less the prefill time itself, which is part of the expected time to
// the first event. The parameter weight is the result of prefillWeight.
func prefillPenalty(es *estimate, rq *Request, uncached int64, weight float64) time.Duration {
	if len(rq.Parts) < 2 {
		return 0
	}
	shared := max(0, uncached-rq.Parts[len(rq.Parts)-1].Tokens)
	return time.Duration((weight - 1) * float64(es.prefillTime(shared)))
}
