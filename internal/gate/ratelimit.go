package gate

import (
	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/pkg/limit"
	"github.com/clementineweir/clementineweir/pkg/place"
)

// recordRateLimit records what a response says about the rate limit of its endpoint, and notifies the peers of it.
func (fw *forwarder) recordRateLimit(de place.Decision, at *place.Attempt, st limit.Statement) {
	pr := fw.request
	cf := pr.gate.config
	now := pr.now()
	ch := at.RecordRateLimit(now, st)
	process := de.Endpoint.Process()
	if ch.Notify {
		cf.Notifier.NotifyRateLimit(process, st)
	}
	if ch.Changed {
		LogRateLimit(cf.Logger, cf.Metrics, process, st, ch, "source", "own", "request", pr.info.ID, "sentBefore", seconds(now-fw.sentAt))
	}
}

// LogRateLimit counts and logs a change of what this instance believes of a rate limit; source says where it learned it.
func LogRateLimit(lo logr.Logger, me *Metrics, process string, st limit.Statement, ch place.RateLimitChange, source ...any) {
	me.Counter("weir_rate_limit_changes_total").Inc()
	lo.Info("rate limit", append([]any{
		"process", process, "limited", st.Limited, "perSecond", st.PerSecond, "wasLimited", ch.Before.Limited, "was", ch.Before.PerSecond,
	}, source...)...)
}
