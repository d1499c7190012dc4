package edge

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// deregisterTime is the time after the start of a drain during which the platform may still send callers to this instance. The platform
	// removes an instance after two failed readiness checks, which are a second apart.
	deregisterTime = 2500 * time.Millisecond
	// drainPoll is the interval at which a drain checks for requests in flight and unsettled grants.
	drainPoll = 50 * time.Millisecond
	// settleMargin is the part of the grace period that is reserved for appending the last grant rows before the process is killed.
	settleMargin = 600 * time.Millisecond
	// answerMargin is the part of settleMargin in which the callers of the requests that are cut off are told.
	answerMargin = 150 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process, after it has appended the last grant rows.
	exitMargin = 200 * time.Millisecond
	// sweepInterval is the interval between two cleanups of expired connections and load state.
	sweepInterval = time.Second
)

// errDrained stops all loops after a completed drain; Run does not return it.
var errDrained = eris.New("drained")

// runDrain waits for the end of ctx, then lets requests in flight finish and returns unused grants.
func (ed *Edge) runDrain(ctx, loops context.Context) error {
	select {
	case <-ctx.Done():
	case <-loops.Done():
		return nil
	}
	begun := time.Now()
	grace := time.Duration(ed.grace.Load())
	ends := begun.Add(grace - settleMargin)
	ed.draining.Store(true)
	ed.config.Logger.Info("draining", "running", ed.servers.active.Load(), "relayed", ed.servers.relays.Active(), "grace", grace.Seconds())
	pause(loops, deregisterTime)
	// From here on all tokens that no request has reserved are returned, and the few requests that still arrive borrow from peers.
	ed.quotas.Close()
	ed.stopsAt.Store(int64(ed.config.Clock() + time.Until(ends)))
	defer time.AfterFunc(time.Until(ends), ed.stopServing).Stop()
	for ed.servers.active.Load()+ed.servers.relays.Active() > 0 && time.Now().Before(ends) {
		pause(loops, drainPoll)
	}
	sctx, cancel := context.WithDeadline(loops, ends.Add(answerMargin))
	defer cancel()
	ed.servers.shutdown(sctx)
	ed.origins.shareAll()
	for _, sh := range ed.quotas.Shards() {
		// The balance of an instance without a row is given back by a call, not by a row.
		ed.transfers.returnSurplus(sctx, sh)
		ed.transfers.reportSpending(sh)
	}
	settled := ed.awaitSettled(loops, begun.Add(grace-exitMargin))
	ed.config.Logger.Info("drained", "took", time.Since(begun).Seconds(), "settled", settled)
	return errDrained
}

// awaitSettled waits until the last grant rows are in the store, and reports whether they are.
func (ed *Edge) awaitSettled(ctx context.Context, ends time.Time) bool {
	for !ed.quotas.Settled() && time.Now().Before(ends) && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
	return ed.quotas.Settled()
}

// runSweep regularly closes expired connections and drops the load state of endpoints that are no longer registered.
func (ed *Edge) runSweep(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		ed.pool.Sweep()
		ed.balancer.Prune(ed.config.Clock(), ed.roster.Contains)
		ed.permits.prune(ed.config.Clock())
	}
	return nil
}
