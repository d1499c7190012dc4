package edge

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// deregisterTime is how long callers may still arrive: the platform takes an instance out after two checks, a second apart.
	deregisterTime = 2500 * time.Millisecond
	// drainPoll is the pause between looks for running requests.
	drainPoll = 50 * time.Millisecond
	// settleMargin is reserved for the last rows of the topic of grants before the process is killed.
	settleMargin = 600 * time.Millisecond
	// exitMargin is left between the last row and the end of the process.
	exitMargin = 200 * time.Millisecond
	// sweepInterval is the pause between clean-ups.
	sweepInterval = time.Second
)

// errDrained ends the loops after a drain.
var errDrained = eris.New("drained")

// runDrain waits for the end of ctx, lets running requests end, and returns unused grants.
func (ed *Edge) runDrain(ctx, loops context.Context) error {
	select {
	case <-ctx.Done():
	case <-loops.Done():
		return nil
	}
	begun := time.Now()
	ends := begun.Add(ed.config.Settings.Grace - settleMargin)
	ed.draining.Store(true)
	ed.config.Logger.Info("draining", "running", ed.servers.active.Load(), "grace", ed.config.Settings.Grace.Seconds())
	pause(loops, deregisterTime)
	// From here on what requests do not need goes back, and the few that still come borrow from peers.
	ed.quotas.Close()
	ed.stopsAt.Store(int64(ed.config.Clock() + time.Until(ends)))
	for ed.servers.active.Load() > 0 && time.Now().Before(ends) {
		pause(loops, drainPoll)
	}
	sctx, cancel := context.WithDeadline(loops, ends)
	defer cancel()
	ed.servers.shutdown(sctx)
	settled := ed.awaitSettled(loops, begun.Add(ed.config.Settings.Grace-exitMargin))
	ed.config.Logger.Info("drained", "took", time.Since(begun).Seconds(), "settled", settled)
	return errDrained
}

// awaitSettled waits until the topics hold the last rows, and reports whether they do.
func (ed *Edge) awaitSettled(ctx context.Context, ends time.Time) bool {
	for !ed.quotas.Settled() && time.Now().Before(ends) && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
	return ed.quotas.Settled()
}

// runSweep closes expired connections and forgets endpoints that are gone.
func (ed *Edge) runSweep(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		ed.pool.Sweep()
		ed.balancer.Prune(ed.roster.Contains)
	}
	return nil
}
