package gate

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics are the counters and histograms of a gate; they are safe for concurrent use.
type Metrics struct {
	set   *metrics.Set
	cache sync.Map
	// spills holds the spillMetrics by service.
	spills sync.Map
}

type series struct {
	service string
	status  int
}

type seriesMetrics struct {
	requests   *metrics.Counter
	tokens     *metrics.Counter
	duration   *metrics.Histogram
	firstEvent *metrics.Histogram
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Gauge registers a gauge whose value is computed when the metrics page is read.
func (me *Metrics) Gauge(name string, fn func() float64) { me.set.NewGauge(name, fn) }

// Counter returns the counter of the given name.
func (me *Metrics) Counter(name string) *metrics.Counter { return me.set.GetOrCreateCounter(name) }

// Write writes the metrics page in the Prometheus text format.
func (me *Metrics) Write(wr io.Writer) { me.set.WritePrometheus(wr) }

func (me *Metrics) countRetry(service string) {
	me.set.GetOrCreateCounter(fmt.Sprintf("weir_sends_again_total{service=%q}", service)).Inc()
}

func (me *Metrics) recordRequest(pr *proxyRequest, now time.Duration) {
	se := series{status: pr.entry.status}
	if pr.service != nil {
		se.service = pr.service.Name
	}
	sm := me.metricsOf(se)
	sm.requests.Inc()
	sm.duration.Update((now - pr.start).Seconds())
	if pr.entry.firstEventAt > 0 {
		sm.firstEvent.Update((pr.entry.firstEventAt - pr.start).Seconds())
	}
	sm.tokens.AddInt64(pr.cost)
}

func (me *Metrics) metricsOf(se series) *seriesMetrics {
	if sm, ok := me.cache.Load(se); ok {
		return sm.(*seriesMetrics)
	}
	labels := fmt.Sprintf("{service=%q,status=\"%d\"}", se.service, se.status)
	sm := &seriesMetrics{
		requests:   me.set.GetOrCreateCounter("weir_routed_requests_total" + labels),
		tokens:     me.set.GetOrCreateCounter("weir_routed_tokens_total" + labels),
		duration:   me.set.GetOrCreateHistogram("weir_routed_duration_seconds" + labels),
		firstEvent: me.set.GetOrCreateHistogram("weir_routed_first_event_seconds" + labels),
	}
	me.cache.Store(se, sm)
	return sm
}
