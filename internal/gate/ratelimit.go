package gate

import (
	"github.com/clementineweir/clementineweir/pkg/limit"
	"github.com/clementineweir/clementineweir/pkg/place"
)

// recordRateLimit records what a response says about the rate limit of its endpoint, and logs a change.
func (fw *forwarder) recordRateLimit(de place.Decision, at *place.Attempt, st limit.Statement) {
	pr := fw.request
	now := pr.now()
	before, changed := at.RecordRateLimit(now, st)
	if !changed {
		return
	}
	pr.gate.config.Metrics.Counter("weir_rate_limit_changes_total").Inc()
	pr.gate.config.Logger.Info("rate limit", "endpoint", de.Endpoint.ID, "process", de.Endpoint.Process(), "limited", st.Limited,
		"perSecond", st.PerSecond, "wasLimited", before.Limited, "was", before.PerSecond, "source", "own", "request", pr.info.ID,
		"sentBefore", seconds(now-fw.sentAt))
}
