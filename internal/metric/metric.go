package metric

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

// Recorder counts the requests of one instance; it is safe for concurrent use.
type Recorder struct {
	set    *metrics.Set
	logger logr.Logger
	cache  sync.Map
}

// series is a set of metric labels: the verdict, the class and the team of a request.
type series struct {
	verdict string
	class   string
	team    string
}

// seriesMetrics caches the metrics that share the labels of one series, to avoid looking them up by name.
type seriesMetrics struct {
	requests *metrics.Counter
	retries  *metrics.Counter
	// refusals counts false refusals: requests that were refused although the budget would have covered them.
	refusals *metrics.Counter
	tokens   *metrics.Counter
	duration *metrics.Histogram
	// first is the time to the first chunk of the response.
	first *metrics.Histogram
}

// NewRecorder returns a recorder without any counts.
func NewRecorder(logger logr.Logger) *Recorder {
	return &Recorder{set: metrics.NewSet(), logger: logger}
}

// Gauge registers a gauge whose value is computed when the metrics page is read.
func (re *Recorder) Gauge(name string, fn func() float64) {
	re.set.NewGauge(name, fn)
}

// Write writes the metrics page in the Prometheus text format.
func (re *Recorder) Write(wr io.Writer) { re.set.WritePrometheus(wr) }

// Finished is called when a request has finished; it counts the request and writes a log message.
func (re *Recorder) Finished(su engine.RequestSummary) {
	rq := su.Request
	verdict, kind := verdictOf(su.Err)
	sm := re.metricsOf(series{verdict: verdict, class: rq.Class, team: rq.Team})
	sm.requests.Inc()
	sm.duration.Update(su.Total.Seconds())
	if su.FirstChunk > 0 {
		sm.first.Update(su.FirstChunk.Seconds())
	}
	if su.Attempts > 1 {
		sm.retries.Add(su.Attempts - 1)
	}
	if su.FalseRefusal {
		sm.refusals.Inc()
	}
	if su.Err == nil {
		sm.tokens.AddInt64(su.Usage.Tokens())
		re.logger.V(1).Info("request answered", "event", "requestAnswered", "request", rq.ID, "team", rq.Team,
			"class", rq.Class, "endpoint", su.Endpoint, "attempts", su.Attempts, "duration", su.Total.String(), "tokens", su.Usage.Tokens())
		return
	}
	re.logger.Info("request failed", "event", "requestFailed", "request", rq.ID, "team", rq.Team, "class", rq.Class,
		"endpoint", su.Endpoint, "attempts", su.Attempts, "duration", su.Total.String(), "verdict", verdict,
		"kind", kind, "error", su.Err.Error())
}

// verdictOf returns the verdict of a finished request and the number of its kind of failure, which is zero without a failure.
func verdictOf(err error) (string, int) {
	if err == nil {
		return fault.Ran.String(), 0
	}
	var fa *fault.Error
	if !errors.As(err, &fa) {
		return fault.MayHaveRun.String(), 0
	}
	return fa.Verdict().String(), int(fa.Kind())
}

// metricsOf returns the metrics of a series, from the cache if they are there.
func (re *Recorder) metricsOf(se series) *seriesMetrics {
	if sm, ok := re.cache.Load(se); ok {
		return sm.(*seriesMetrics)
	}
	sm := &seriesMetrics{
		requests: re.counter("weir_requests_total{verdict=%q,class=%q,team=%q}", se.verdict, se.class, se.team),
		retries:  re.counter("weir_retries_total{class=%q}", se.class),
		refusals: re.counter("weir_false_refusals_total{team=%q}", se.team),
		tokens:   re.counter("weir_answered_tokens_total{team=%q}", se.team),
		duration: re.histogram("weir_request_duration_seconds{class=%q}", se.class),
		first:    re.histogram("weir_first_chunk_duration_seconds{class=%q}", se.class),
	}
	re.cache.Store(se, sm)
	return sm
}

func (re *Recorder) counter(format string, args ...any) *metrics.Counter {
	return re.set.GetOrCreateCounter(fmt.Sprintf(format, args...))
}

func (re *Recorder) histogram(format string, args ...any) *metrics.Histogram {
	return re.set.GetOrCreateHistogram(fmt.Sprintf(format, args...))
}
