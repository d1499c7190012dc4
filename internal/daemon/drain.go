package daemon

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// settlePoll is how often the drain looks whether the log has confirmed everything.
const settlePoll = 20 * time.Millisecond

// drain fails the readiness check, lets every running request finish, settles and leaves.
func (da *Daemon) drain() error {
	lo := da.config.Logger
	lo.Info("draining", "event", "drainStarted")
	da.ready.Store(false)
	in := da.config.Settings.Instance
	time.Sleep(in.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), in.DrainTimeout)
	defer cancel()
	if err := da.incarnation.Load().engine.Drain(ctx); err != nil {
		lo.Info("requests still run", "event", "drainTimedOut")
	}
	da.servers.shutdownCallers(ctx)
	if !da.leave(ctx) {
		lo.Info("not settled", "event", "drainUnsettled")
		return nil
	}
	lo.Info("drained", "event", "drainFinished")
	return nil
}

// leave settles, returns the grants and closes the incarnation; it reports whether the log confirmed it.
func (da *Daemon) leave(ctx context.Context) bool {
	jo := da.incarnation.Load()
	jo.book.Drain()
	if !da.waitUntil(ctx, da.settled) {
		return false
	}
	if err := jo.writer.Submit(ctx, record.Record{Leave: &record.Leave{}}); err != nil {
		return false
	}
	return da.waitUntil(ctx, da.closed)
}

func (da *Daemon) settled() bool {
	jo := da.incarnation.Load()
	jo.writer.Wake()
	return jo.book.Settled() && !jo.writer.Pending()
}

func (da *Daemon) closed() bool {
	open := true
	da.replica.View(func(st *ledger.State) { _, open = st.Incarnation(da.number.Load()) })
	return !open
}

func (da *Daemon) waitUntil(ctx context.Context, done func() bool) bool {
	for !done() {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(settlePoll)
	}
	return true
}
