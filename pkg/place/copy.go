package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// minCopyTokens is the number of tokens below which another prefill is as fast as a copy.
	minCopyTokens = 256
	// copyOverhead is the time that even the smallest copy takes, for the connection between the endpoints.
	copyOverhead = 3 * time.Millisecond
	// maxSourceFailures bounds the recent failures of the source of a copy, since a copy from a dead endpoint costs its whole timeout.
	maxSourceFailures = 0.5
)

// source is an endpoint that is expected to have the given number of tokens of a shared prefix cached; the zero value is none.
type source struct {
	endpoint *roster.Endpoint
	tokens   int64
}

// copyPlan describes a copy from the cache of one endpoint to another; the zero value copies nothing.
type copyPlan struct {
	source *roster.Endpoint
	tokens int64
	time   time.Duration
}

// prefixHolder returns the endpoint that is believed to have the request's shared prefix cached: the one to which the prefix was sent
// last, if this instance knows it, or else the preferred endpoint.
func (ba *Balancer) prefixHolder(list []*roster.Endpoint, preferred *roster.Endpoint, rq Request) *roster.Endpoint {
	id, ok := ba.locations.find(rq.PrefixID())
	if preferred == nil || !ok || id == preferred.ID {
		return preferred
	}
	for _, en := range list {
		if en.ID == id {
			return en
		}
	}
	return preferred
}

// copySource returns the holder of the request's shared prefix as a source of copies, if it is healthy and endpoints copy at all.
//
// When many requests share one prefix, those for which its holder has no room run elsewhere, without another prefill of the prefix.
func (ba *Balancer) copySource(now time.Duration, se *plan.Service, holder *roster.Endpoint, rq Request) source {
	if holder == nil || se.KVCopyRate <= 0 {
		return source{}
	}
	st := ba.state(holder, se)
	if !st.circuit.Allows(now) || st.recentFailures(now) > maxSourceFailures || st.inactivity(now) > 0 {
		return source{}
	}
	return source{endpoint: holder, tokens: st.cachedTokens(rq, true)}
}

// plan returns the copy from the source to an endpoint that already has the given number of prompt tokens cached.
func (so source) plan(se *plan.Service, cached int64) copyPlan {
	tokens := so.tokens - cached
	if so.endpoint == nil || tokens < minCopyTokens {
		return copyPlan{}
	}
	return copyPlan{source: so.endpoint, tokens: tokens, time: copyOverhead + time.Duration(tokens)*time.Second/time.Duration(se.KVCopyRate)}
}
