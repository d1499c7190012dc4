package gate

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/spill"
)

// spillMetrics counts what leaves the failure domain of this instance for the endpoints of a service.
type spillMetrics struct {
	requests *metrics.Counter
	bytes    *metrics.Counter
}

// spillOf returns the metrics of a service.
func (me *Metrics) spillOf(service string, board *place.Balancer) *spillMetrics {
	if sm, ok := me.spills.Load(service); ok {
		return sm.(*spillMetrics)
	}
	labels := fmt.Sprintf("{service=%q}", service)
	sm := &spillMetrics{
		requests: me.set.GetOrCreateCounter("weir_requests_left_domain_total" + labels),
		bytes:    me.set.GetOrCreateCounter("weir_bytes_left_domain_total" + labels),
	}
	me.set.GetOrCreateGauge("weir_spill_cost_seconds"+labels, func() float64 { return board.SpillCost(service).Seconds() })
	me.spills.Store(service, sm)
	return sm
}

// recordSpill counts an attempt that leaves the failure domain.
func (pr *proxyRequest) recordSpill(de place.Decision) {
	cf := pr.gate.config
	sm := cf.Metrics.spillOf(pr.service.Name, cf.Board)
	if de.LeftFor != "" {
		sm.requests.Inc()
		sm.bytes.AddInt64(int64(len(pr.body)))
	}
}

// logSpill logs a change of the share of requests that leave the failure domain. The changes of a service are at least 100 ms apart.
func (pr *proxyRequest) logSpill(ch spill.Change) {
	if ch == (spill.Change{}) {
		return
	}
	cf := pr.gate.config
	cf.Logger.Info("spill", "service", pr.service.Name, "domain", cf.Domain, "before", ch.Before, "share", ch.After, "wait", seconds(ch.Wait),
		"cost", seconds(ch.Surcharge), "noneUsable", ch.Lost)
}
