package gate

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// stallRecheck is the interval at which a stalled attempt looks for an alternative after the first time.
const stallRecheck = 200 * time.Millisecond

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
