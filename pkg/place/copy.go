package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// minCopyTokens is the minimum number of tokens to copy.
	minCopyTokens = 256
	// copyOverhead is the fixed time of a copy, for the connection between the endpoints.
	copyOverhead = 3 * time.Millisecond
	// maxSourceFailures is the maximum count of recent failures, weighted by kind and by age, of an endpoint from which others copy cached
	// prompts. A copy from a dead endpoint fails only when it times out.
	maxSourceFailures = 0.5
)

// source is an endpoint from which a shared prefix can be copied; the zero value means that there is none.
type source struct {
	endpoint *roster.Endpoint
	// tokens is the number of tokens of the prefix that the endpoint is expected to have cached.
	tokens int64
}

// copyPlan describes a copy from the prefix cache of the source to another endpoint; the zero value means no copy.
type copyPlan struct {
	source *roster.Endpoint
	tokens int64
	// time is the expected duration of the copy.
	time time.Duration
}

// prefixHolder returns the endpoint that is assumed to have the request's shared prefix cached: the endpoint to which the prefix was last
// sent, if this instance knows it, otherwise the preferred endpoint.
func (ba *Balancer) prefixHolder(ix *index, preferred *candidate, rq *Request) *candidate {
	id, ok := ba.locations.find(rq.PrefixID())
	if preferred == nil || !ok || id == preferred.endpoint.ID {
		return preferred
	}
	if st, ok := ba.states[id]; ok {
		if ca := ix.find(st); ca != nil {
			return ca
		}
	}
	return preferred
}

// copySource returns the holder of the request's shared prefix (see prefixHolder) as a source of copies. There is no source if the holder is
// unhealthy or the endpoints of the service cannot copy.
//
// When many requests share one prefix and its holder is busy, some run on other endpoints, which copy the prefix instead of prefilling it.
func (ba *Balancer) copySource(now time.Duration, se *plan.Service, holder *candidate, rq *Request) source {
	if holder == nil || se.KVCopyRate <= 0 {
		return source{}
	}
	st := holder.state
	if !st.circuit.Allows(now) || st.recentFailures(now) > maxSourceFailures || st.inactivity(now) > 0 {
		return source{}
	}
	return source{endpoint: holder.endpoint, tokens: st.cachedTokens(rq, true)}
}

// plan returns the copy from the source to an endpoint; cached is the number of prompt tokens that this endpoint already has. Nothing is copied if the
// endpoints of the service prefill the tokens in less time.
func (so source) plan(es *estimate, se *plan.Service, cached int64) copyPlan {
	tokens := so.tokens - cached
	if so.endpoint == nil || tokens < minCopyTokens {
		return copyPlan{}
	}
	length := copyOverhead + time.Duration(tokens)*time.Second/time.Duration(se.KVCopyRate)
	if length > es.prefillTime(tokens) {
		return copyPlan{}
	}
	return copyPlan{source: so.endpoint, tokens: tokens, time: length}
}
