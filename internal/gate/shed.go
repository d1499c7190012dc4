package gate

import (
	"math"
	"net/http"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/shed"
)

// Shedder decides whether this instance, which may be overloaded itself, takes new requests.
type Shedder interface {
	// Admit decides whether a new request is served here.
	Admit(now time.Duration, rq shed.Request) shed.Verdict
	// Begin records that an admitted request begins.
	Begin(now time.Duration)
	// End records that an admitted request has ended.
	End(now time.Duration)
	// RecordWrite records that a number of bytes was written to the link, and for how long the write blocked.
	RecordWrite(now time.Duration, bytes int, blocked time.Duration)
	// Elsewhere reports whether a request that seems to have no chance here should be retried at another instance, and after which delay.
	Elsewhere(timeLeft time.Duration) (time.Duration, bool)
}

// unlimited is a Shedder that takes all requests.
type unlimited struct{}

func (unlimited) Admit(time.Duration, shed.Request) shed.Verdict { return shed.Verdict{Admitted: true} }

func (unlimited) Begin(time.Duration) {}

func (unlimited) End(time.Duration) {}

func (unlimited) RecordWrite(time.Duration, int, time.Duration) {}

func (unlimited) Elsewhere(time.Duration) (time.Duration, bool) { return 0, false }

// checkLoad refuses the request if this instance is overloaded, so that its caller retries at another one. It is called before the body is read and tokens are
// reserved.
func (pr *proxyRequest) checkLoad() error {
	now := pr.now()
	ve := pr.gate.config.Shedder.Admit(now, shed.Request{
		Rank: pr.route.Priority, TimeLeft: pr.deadline - now, Resumed: pr.route.Stream && pr.info.LastEvent > 0,
	})
	if ve.Admitted {
		pr.admitted = true
		pr.gate.config.Shedder.Begin(now)
		return nil
	}
	pr.entry.shed = ve
	pr.gate.config.Metrics.Counter("weir_shed_requests_total").Inc()
	return fault.New(fault.Overloaded, fault.NotRun, "this instance is overloaded").WithRetryAfter(ve.RetryAfter)
}

// shedFields returns the decision of the shedder as fields of the log message if it refused the request.
func (pr *proxyRequest) shedFields() []any {
	ve := pr.entry.shed
	if ve.Reason == "" {
		return nil
	}
	return []any{"shedFor", ve.Reason, "lag", seconds(ve.Lag), "level", math.Round(ve.Level*1000) / 1000}
}

// endLoad is called at the end of each request.
func (pr *proxyRequest) endLoad() {
	if pr.admitted {
		pr.gate.config.Shedder.End(pr.now())
	}
}

// write writes a part of the response to the caller; flush is false if more follows at once.
func (pr *proxyRequest) write(data []byte, flush bool) error {
	begun := pr.now()
	_, err := pr.writer.Write(data)
	if err == nil && flush {
		err = http.NewResponseController(pr.writer).Flush()
	}
	now := pr.now()
	pr.gate.config.Shedder.RecordWrite(now, len(data), now-begun)
	return err
}
