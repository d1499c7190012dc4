package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// minCopyTokens is the number of tokens below which reading them again is as quick as a copy.
	minCopyTokens = 256
	// copyOverhead is the time that a copy takes however small it is: a connection between two endpoints.
	copyOverhead = 3 * time.Millisecond
	// maxSourceFailures is how much recent failure an endpoint may have as a source: a copy from one that is gone costs its whole timeout.
	maxSourceFailures = 0.5
)

// source is an endpoint that is expected to hold the shared parts of a prompt.
type source struct {
	endpoint *roster.Endpoint
	tokens   int64
}

// copyPlan is a copy from one endpoint to another; the zero value copies nothing.
type copyPlan struct {
	source *roster.Endpoint
	tokens int64
	time   time.Duration
}

// prefixHolder returns the endpoint that is believed to hold the request's shared parts: where they were sent last, as far as this instance
// knows, else their home.
func (ba *Balancer) prefixHolder(list []*roster.Endpoint, home *roster.Endpoint, rq Request) *roster.Endpoint {
	id, ok := ba.locations.find(rq.PrefixID())
	if home == nil || !ok || id == home.ID {
		return home
	}
	for _, en := range list {
		if en.ID == id {
			return en
		}
	}
	return home
}

// copySource returns the holder of the request's shared parts if others may copy from it.
//
// It answers the load of one subject in demand: what its home has no room for runs elsewhere without reading the subject again.
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

// plan returns what an endpoint that holds the given tokens copies from the source.
func (so source) plan(se *plan.Service, hold int64) copyPlan {
	tokens := so.tokens - hold
	if so.endpoint == nil || tokens < minCopyTokens {
		return copyPlan{}
	}
	return copyPlan{source: so.endpoint, tokens: tokens, time: copyOverhead + time.Duration(tokens)*time.Second/time.Duration(se.KVCopyRate)}
}
