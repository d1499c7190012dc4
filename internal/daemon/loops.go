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
	listInterval   = time.Second
	listTimeout    = time.Second
	checkpointPoll = time.Second
	// checkpointStagger is the delay between the turns of the instances to write a checkpoint that is due: an instance's turn comes after
	// rank * checkpointStagger (see checkpointer.observe). So usually only the first instance writes it. An instance also waits this long
	// before it tries again.
	checkpointStagger = 10 * time.Second
	maxParallelPolls  = 64
)

// every calls fn immediately, and then once per interval until the context ends.
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

// membershipListener updates the peer links when an incarnation opens or closes.
type membershipListener struct {
	daemon *Daemon
}

// EntryApplied updates the links if the applied events open or close an incarnation.
func (ml *membershipListener) EntryApplied(st *ledger.State, events []ledger.Event) {
	for _, ev := range events {
		if ev.Kind == ledger.Joined || ev.Kind == ledger.Closed {
			ml.StateReplaced(st)
			return
		}
	}
}

// StateReplaced sets the links to the seeds and the addresses of all open incarnations.
func (ml *membershipListener) StateReplaced(st *ledger.State) {
	addresses := slices.Clone(ml.daemon.config.Settings.Platform.Seeds)
	for _, inc := range st.Incarnations() {
		addresses = append(addresses, inc.Address)
	}
	ml.daemon.links.SetAddresses(addresses)
}

// loadPoller polls the load of every endpoint.
type loadPoller struct {
	daemon *Daemon
}

// Loop polls the endpoints once per load interval until the context ends.
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

// listPoller polls the platform's instance list and marks the endpoints that it lists as leaving.
type listPoller struct {
	daemon *Daemon
}

// Loop polls the list once per listInterval until the context ends.
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
	lp.daemon.table.SetListedLeaving(func(ep ticket.Endpoint) bool { return leaving[ep.Address] })
}

// checkpointer writes a checkpoint when one is due and no other instance has written it.
type checkpointer struct {
	daemon *Daemon
	// dueAt is the time at which this instance may write the checkpoint that is due, or zero if none is due.
	dueAt time.Duration
	// savedOffset is the offset of the newest checkpoint recorded in the log. savedAt is the time at which this instance first saw it.
	savedOffset int64
	savedAt     time.Duration
}

// Loop checks once per checkpointPoll until the context ends whether a checkpoint is due.
func (cp *checkpointer) Loop(ctx context.Context) error {
	return every(ctx, checkpointPoll, cp.check)
}

// check writes a checkpoint if one is due and it is this instance's turn.
//
// A checkpoint is due after CheckpointEntries entries, or after CheckpointInterval if any entry was applied since the last checkpoint. This
// instance's turn comes rank * checkpointStagger after that; observe returns the rank. If another instance writes the checkpoint before the
// turn, this instance writes none.
func (cp *checkpointer) check(ctx context.Context) {
	now := cp.daemon.config.Clock()
	saved, offset, rank := cp.observe()
	if saved != cp.savedOffset || cp.savedAt == 0 {
		cp.savedOffset = saved
		cp.savedAt = now
		cp.dueAt = 0
	}
	cf := cp.daemon.config.Settings.Log
	due := offset-saved >= cf.CheckpointEntries || (now-cp.savedAt >= cf.CheckpointInterval && offset > saved)
	if !due {
		return
	}
	if cp.dueAt == 0 {
		cp.dueAt = now + time.Duration(rank)*checkpointStagger
	}
	if now >= cp.dueAt {
		cp.save(ctx)
		cp.dueAt = now + checkpointStagger
	}
}

// observe returns the offset of the newest checkpoint, the applied offset and the rank of this instance. The rank is the number of
// incarnations with a lower number that are not proven dead.
func (cp *checkpointer) observe() (saved, offset int64, rank int) {
	cp.daemon.replica.View(func(st *ledger.State) {
		saved, offset = st.CheckpointOffset(), st.Offset()
		for _, inc := range st.Incarnations() {
			if inc.Proof == ledger.PossiblyAlive && inc.Number < cp.daemon.number.Load() {
				rank++
			}
		}
	})
	return saved, offset, rank
}

func (cp *checkpointer) save(ctx context.Context) {
	lo := cp.daemon.config.Logger
	offset, err := oplog.SaveCheckpoint(ctx, cp.daemon.log, cp.daemon.replica)
	if err != nil {
		lo.Error(err, "checkpoint not written", "event", "checkpointFailed")
		return
	}
	_ = cp.daemon.incarnation.Load().writer.Submit(ctx, record.Record{CheckpointSaved: &record.CheckpointSaved{Offset: offset}})
	lo.Info("checkpoint written", "event", "checkpointWritten", "offset", offset)
}
