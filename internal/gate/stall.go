package gate

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// firstEventTimeoutFactor gives the timeout for the first event of a resumable stream: firstEventTimeoutFactor * the estimated time to the
	// first event, at least minStallTimeout. After the timeout the stream is retried on another endpoint.
	firstEventTimeoutFactor = 6
	// minStallTimeout is the minimum timeout for each event of a resumable stream: a busy endpoint may take this long.
	minStallTimeout = 1200 * time.Millisecond
	// eventTimeoutFactor gives the timeout for each later event of a resumable stream: eventTimeoutFactor * the route's InterEventTarget, at
	// least minStallTimeout. After the timeout the stream resumes on another endpoint.
	eventTimeoutFactor = 4
	// plainTimeoutFactor gives the timeout of an attempt of an idempotent request: plainTimeoutFactor * the route's LatencyTarget, at least
	// minTimeLeft. After the timeout the request is retried.
	plainTimeoutFactor = 1
	// stallRecheck is the interval at which a stalled attempt looks for an alternative after the first time.
	stallRecheck = 200 * time.Millisecond
)

// stallWatch cancels an attempt whose endpoint sends nothing for too long, if the request can be sent elsewhere. Otherwise the attempt goes on,
// since a slow response is better than none.
type stallWatch struct {
	forwarder *forwarder
	// ctx is the context of the attempt, and cancel cancels it.
	ctx    context.Context //nolint:containedctx // lives as long as one attempt
	cancel context.CancelFunc
	// tried are the endpoints tried so far, including that of the attempt.
	tried []string
	timer atomic.Pointer[time.Timer]
}

// stallTimeout returns how long an attempt waits for a response before the request is retried on another endpoint. It returns zero, which
// means no such timeout, if the attempt is the last one allowed or the route is neither resumable nor idempotent.
func (fw *forwarder) stallTimeout(de place.Decision) time.Duration {
	pr := fw.request
	if fw.attempts+1 >= pr.route.MaxAttempts {
		return 0
	}
	switch pr.route.RetrySafety {
	case plan.Resumable:
		return max(minStallTimeout, firstEventTimeoutFactor*de.TimeToFirstEvent)
	case plan.Idempotent:
		return max(plainTimeoutFactor*pr.route.LatencyTarget, minTimeLeft)
	default:
		return 0
	}
}

// eventTimeout returns the maximum gap between the events of a started stream. After a longer gap the attempt is canceled, and a resumable
// stream continues on another endpoint. A stream that is not resumable may pause until its deadline.
func (fw *forwarder) eventTimeout() time.Duration {
	pr := fw.request
	if pr.route.RetrySafety != plan.Resumable {
		return pr.timeLeft() + writeGrace
	}
	return max(minStallTimeout, eventTimeoutFactor*pr.route.InterEventTarget)
}

// watchStall starts the watch of an attempt.
func (fw *forwarder) watchStall(ctx context.Context, timeout time.Duration, cancel context.CancelFunc) *stallWatch {
	sw := &stallWatch{forwarder: fw, ctx: ctx, cancel: cancel, tried: slices.Clone(fw.tried)}
	sw.timer.Store(time.AfterFunc(timeout, sw.expired))
	return sw
}

// expired is called when the endpoint has sent nothing within the timeout.
func (sw *stallWatch) expired() {
	if sw.ctx.Err() != nil {
		return
	}
	de, ok := sw.forwarder.planRetry(sw.tried)
	if !ok {
		sw.reset(stallRecheck)
		return
	}
	sw.forwarder.next.Store(&de)
	sw.forwarder.stalled.Store(true)
	sw.cancel()
}

// reset restarts the timeout; a nil watch has none.
func (sw *stallWatch) reset(timeout time.Duration) {
	if sw == nil {
		return
	}
	if ti := sw.timer.Load(); ti != nil {
		ti.Reset(timeout)
	}
}

// stop ends the watch; a nil watch needs no end.
func (sw *stallWatch) stop() {
	if sw == nil {
		return
	}
	if ti := sw.timer.Load(); ti != nil {
		ti.Stop()
	}
}

// planRetry chooses the endpoint of the next attempt while the current one still runs, and counts it against the retry budget.
func (fw *forwarder) planRetry(tried []string) (place.Decision, bool) {
	pr := fw.request
	cf := pr.gate.config
	de := fw.pick(tried)
	if de.Endpoint == nil {
		return de, false
	}
	if !cf.Allowance.AllowRetry(pr.now(), pr.service.Name) {
		cf.Board.Release(de)
		return de, false
	}
	return de, true
}
