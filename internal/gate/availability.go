package gate

import (
	"net/http"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// recordAvailability records that the endpoint has said in its response that it leaves, or wants no requests for some time.
func (fw *forwarder) recordAvailability(de place.Decision, at *place.Attempt, ri ResponseInfo) {
	pr := fw.request
	cf := pr.gate.config
	if ri.Leaving {
		process := de.Endpoint.Process()
		if cf.Roster.RecordLeaving(process) {
			cf.Metrics.Counter("weir_endpoints_leaving_total").Inc()
			cf.Logger.Info("endpoint leaves", "process", process, "request", pr.info.ID, "source", "own")
			cf.Notifier.NotifyLeaving(process)
		}
	}
	if ri.RefusalTime > 0 {
		at.RecordRefusalTime(pr.now(), ri.RefusalTime)
		cf.Metrics.Counter("weir_refusal_times_total").Inc()
		cf.Logger.Info("endpoint wants no requests", "endpoint", de.Endpoint.ID, "for", ri.RefusalTime.Seconds(), "request", pr.info.ID)
	}
}

// recordRejection records that a brittle endpoint had no room for the request, and notifies the peers.
func (fw *forwarder) recordRejection(de place.Decision, at *place.Attempt, status int) {
	cf := fw.request.gate.config
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	if at.RecordRejection(fw.request.now()) {
		cf.Metrics.Counter("weir_brittle_rejections_total").Inc()
		cf.Notifier.NotifyRejection(de.Endpoint.Process())
	}
}
