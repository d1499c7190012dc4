package daemon

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// settlePoll is the interval at which the drain checks whether the log has confirmed all records.
	settlePoll = 20 * time.Millisecond
	// answerTimeout bounds the time in which the callers of requests that are ended receive their responses.
	answerTimeout = time.Second
)

// drain makes the readiness check fail, waits for the requests in flight, settles the budgets and closes the incarnation.
func (da *Daemon) drain() error {
	lo := da.config.Logger
	lo.Info("draining", "event", "drainStarted")
	da.ready.Store(false)
	in := da.config.Settings.Instance
	en := da.incarnation.Load().engine
	en.ScheduleStop(da.config.Clock() + in.DrainGrace + in.DrainTimeout)
	time.Sleep(in.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), in.DrainTimeout)
	defer cancel()
	sctx := ctx
	if err := en.Drain(ctx); err != nil {
		lo.Info("drain timed out with requests in flight", "event", "drainTimedOut")
		en.Stop()
		actx, acancel := context.WithTimeout(context.Background(), answerTimeout)
		defer acancel()
		sctx = actx
	}
	da.servers.shutdownCallers(sctx)
	if !da.leave(ctx) {
		lo.Info("the log did not confirm the settlement before the drain timeout", "event", "drainUnsettled")
		return nil
	}
	lo.Info("drained", "event", "drainFinished")
	return nil
}

// leave settles the budgets, returns the grants and closes the incarnation. It reports whether the log has confirmed all of these records.
func (da *Daemon) leave(ctx context.Context) bool {
	inc := da.incarnation.Load()
	inc.book.Drain()
	if !da.waitUntil(ctx, da.settled) {
		return false
	}
	if err := inc.writer.Submit(ctx, record.Record{Leave: &record.Leave{}}); err != nil {
		return false
	}
	return da.waitUntil(ctx, da.closed)
}

// settled wakes the writer and reports whether the log has confirmed every settlement and return.
func (da *Daemon) settled() bool {
	inc := da.incarnation.Load()
	inc.writer.Wake()
	return inc.book.Settled() && !inc.writer.Pending()
}

// closed reports whether this instance's incarnation is closed in the log.
func (da *Daemon) closed() bool {
	open := true
	da.replica.View(func(st *ledger.State) { _, open = st.Incarnation(da.number.Load()) })
	return !open
}

// waitUntil polls done and reports whether it became true before the context ended.
func (da *Daemon) waitUntil(ctx context.Context, done func() bool) bool {
	for !done() {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(settlePoll)
	}
	return true
}
