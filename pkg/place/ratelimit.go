package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/limit"
)

// RecordRateLimit records what the endpoint's response says about its rate limit. It returns what this instance believed before, and reports
// whether that has changed.
func (at *Attempt) RecordRateLimit(now time.Duration, st limit.Statement) (limit.Statement, bool) {
	at.balancer.mu.Lock()
	defer at.balancer.mu.Unlock()
	before := at.state.rateLimit
	at.state.rateLimit = before.WithResponse(now, at.startedAt, st)
	return before.Statement, at.state.rateLimit.Statement != before.Statement
}
