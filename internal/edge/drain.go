package edge

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// leaveTime is how long callers may still arrive: the platform takes an instance out after two checks, a second apart.
	leaveTime = 2500 * time.Millisecond
	// drainPoll is the pause between looks for running requests.
	drainPoll = 50 * time.Millisecond
	// settleTime is reserved for the last rows of the topic of grants before the process is killed.
	settleTime = 600 * time.Millisecond
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
	ends := begun.Add(ed.config.Settings.Grace - settleTime)
	ed.draining.Store(true)
	ed.config.Logger.Info("draining", "running", ed.front.active.Load(), "grace", ed.config.Settings.Grace.Seconds())
	pause(loops, leaveTime)
	ed.stopsAt.Store(int64(ed.config.Clock() + time.Until(ends)))
	for ed.front.active.Load() > 0 && time.Now().Before(ends) {
		pause(loops, drainPoll)
	}
	sctx, cancel := context.WithDeadline(loops, ends)
	defer cancel()
	ed.front.shutdown(sctx)
	ed.purses.Close()
	pause(loops, settleTime/3)
	ed.config.Logger.Info("drained", "took", time.Since(begun).Seconds())
	return errDrained
}

// runSweep closes expired connections and forgets endpoints that are gone.
func (ed *Edge) runSweep(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		ed.pool.Sweep()
		ed.board.Keep(ed.roster.Knows)
	}
	return nil
}
