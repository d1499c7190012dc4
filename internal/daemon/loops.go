package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/internal/plat"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/route"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	listInterval      = time.Second
	checkpointPoll    = time.Second
	checkpointStagger = 10 * time.Second
	maxParallelPolls  = 64
)

// every calls the function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, fn func(ctx context.Context)) error {
	ti := time.NewTicker(interval)
	defer ti.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ti.C:
		}
	}
}

// membershipListener keeps the links in step with the open incarnations.
type membershipListener struct {
	daemon *Daemon
}

// Applied updates the links after a change of membership.
func (mw *membershipListener) Applied(st *ledger.State, events []ledger.Event) {
	for _, ev := range events {
		if ev.Kind == ledger.Joined || ev.Kind == ledger.Closed {
			mw.StateReplaced(st)
			return
		}
	}
}

// StateReplaced updates the links from the whole state.
func (mw *membershipListener) StateReplaced(st *ledger.State) {
	addresses := slices.Clone(mw.daemon.config.Settings.Platform.Seeds)
	for _, inc := range st.Incarnations() {
		addresses = append(addresses, inc.Address)
	}
	mw.daemon.links.SetAddresses(addresses)
}

// loadPoller asks the endpoints for their load.
type loadPoller struct {
	daemon *Daemon
}

func (lp *loadPoller) Loop(ctx context.Context) error {
	return every(ctx, lp.daemon.config.Settings.Endpoints.LoadInterval, lp.pollAll)
}

func (lp *loadPoller) pollAll(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelPolls)
	for _, ep := range lp.endpoints() {
		slots <- struct{}{}
		wg.Go(func() {
			lp.poll(ctx, ep)
			<-slots
		})
	}
	wg.Wait()
}

func (lp *loadPoller) endpoints() []ticket.Endpoint {
	var list []ticket.Endpoint
	lp.daemon.replica.View(func(st *ledger.State) { list = st.Endpoints() })
	return slices.DeleteFunc(list, func(ep ticket.Endpoint) bool { return ep.Removed })
}

func (lp *loadPoller) poll(ctx context.Context, ep ticket.Endpoint) {
	lo, err := lp.daemon.runner.Load(ctx, ep)
	if err != nil {
		return
	}
	lp.daemon.table.Observe(ep.Name, route.Report{
		Running: lo.Running, Queued: lo.Queued, Leaving: lo.Leaving, At: lp.daemon.config.Clock(),
	})
}

// listPoller follows the platform's list of live and leaving instances.
type listPoller struct {
	daemon *Daemon
}

func (lp *listPoller) Loop(ctx context.Context) error {
	return every(ctx, listInterval, lp.poll)
}

func (lp *listPoller) poll(ctx context.Context) {
	lctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := lp.daemon.list.Instances(lctx)
	if err != nil {
		return
	}
	leaving := map[string]bool{}
	for _, li := range list {
		leaving[li.Address] = li.State == plat.StateLeaving
	}
	lp.daemon.table.SetGone(func(ep ticket.Endpoint) bool { return leaving[ep.Address] })
}

// checkpointer writes a checkpoint when one is due and no other instance has.
type checkpointer struct {
	daemon      *Daemon
	dueAt       time.Duration
	savedOffset int64
	savedAt     time.Duration
}

func (ch *checkpointer) Loop(ctx context.Context) error {
	return every(ctx, checkpointPoll, ch.check)
}

func (ch *checkpointer) check(ctx context.Context) {
	now := ch.daemon.config.Clock()
	saved, offset, rank := ch.observe()
	if saved != ch.savedOffset || ch.savedAt == 0 {
		ch.savedOffset = saved
		ch.savedAt = now
		ch.dueAt = 0
	}
	cf := ch.daemon.config.Settings.Log
	due := offset-saved >= cf.CheckpointEntries || (now-ch.savedAt >= cf.CheckpointInterval && offset > saved)
	if !due {
		return
	}
	if ch.dueAt == 0 {
		ch.dueAt = now + time.Duration(rank)*checkpointStagger
	}
	if now >= ch.dueAt {
		ch.save(ctx)
		ch.dueAt = now + checkpointStagger
	}
}

// observe returns the saved offset, the folded offset and the rank of this instance among the open ones.
func (ch *checkpointer) observe() (saved, offset int64, rank int) {
	ch.daemon.replica.View(func(st *ledger.State) {
		saved, offset = st.CheckpointOffset(), st.Offset()
		for _, inc := range st.Incarnations() {
			if inc.Proof == ledger.PossiblyAlive && inc.Number < ch.daemon.number.Load() {
				rank++
			}
		}
	})
	return saved, offset, rank
}

func (ch *checkpointer) save(ctx context.Context) {
	lo := ch.daemon.config.Logger
	offset, err := oplog.SaveCheckpoint(ctx, ch.daemon.log, ch.daemon.replica)
	if err != nil {
		lo.Error(err, "checkpoint not written", "event", "checkpointFailed")
		return
	}
	_ = ch.daemon.incarnation.Load().writer.Submit(ctx, record.Record{CheckpointSaved: &record.CheckpointSaved{Offset: offset}})
	lo.Info("checkpoint written", "event", "checkpointWritten", "offset", offset)
}
