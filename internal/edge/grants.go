package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/quota"
)

const (
	// grantInterval is the pause between two steps of a grantSync: every step checks whether this instance's grant rows are due for renewal.
	// A request that waits for tokens ends the pause early. A grant row is a record that states a holder's grant of a team's tokens and its
	// ceiling. The ceiling must cover all spending until the next row, so it can be lower if the row is renewed often.
	grantInterval = 500 * time.Millisecond
	// holderInterval is the interval at which an instance with grants reads the rows of others while it has nothing to append.
	holderInterval = time.Second
	// borrowerInterval is the interval at which an instance without a row in the partition reads the rows of others. It is longer than
	// holderInterval, since such an instance reads the rows only to know from which holders it can borrow.
	borrowerInterval = 3 * time.Second
	// minGrantPause is the minimum pause between two appends, also while requests wait for tokens.
	minGrantPause = 60 * time.Millisecond
	// conflictPause bounds the random pause after a conflicting append while requests wait; an append takes the store a few milliseconds.
	conflictPause = 30 * time.Millisecond
	// idleConflictPause bounds the pause after a conflicting append while no request waits. It is longer, since each new row makes the other
	// holders write theirs.
	idleConflictPause = 300 * time.Millisecond
)

// grantSync keeps one shard of the quotas in step with its partition of the grant topic: it reads the rows of other instances and appends
// its own. The sync of the first partition also exchanges announcements and crash records.
type grantSync struct {
	edge      *Edge
	quota     *quota.Shard
	partition int
	view      *keyed.View
	outages   outageLog
	// readAt is the start of the last successful read, and era the number of the era of the store in which it was.
	readAt atomic.Int64
	era    atomic.Int64
	reads  *readSync
	// loaded is set after the first successful read of the partition.
	loaded atomic.Bool
	// announced is set by the first step that succeeds. In the first partition, it appends this instance's announcement or withdrawal.
	announced bool
	// announcedAt is the time of this instance's last announcement.
	announcedAt time.Duration
}

func newGrantSync(ed *Edge, sh *quota.Shard, partition int) *grantSync {
	name := shardName(ed.config.Platform.Grants, partition)
	gs := &grantSync{edge: ed, quota: sh, partition: partition, outages: outageLog{name: name, logger: ed.config.Logger}, reads: newReadSync()}
	gs.era.Store(keyed.Era(0).Number())
	gs.view = keyed.NewView(ed.topics[name], gs)
	return gs
}

func (gs *grantSync) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := gs.step(ctx)
		if gs.partition == 0 && !gs.edge.origins.builds.ready() {
			delay = min(delay, 2*minGrantPause)
		}
		gs.edge.transfers.returnSurplus(ctx, gs.quota)
		gs.edge.transfers.reportSpending(gs.quota)
		size := gs.edge.fleetSize(gs.edge.config.Clock())
		gs.edge.retryBudget.SetInstances(size)
		gs.edge.balancer.SetInstances(size)
		gs.await(ctx, delay)
	}
	return nil
}

// await waits for the delay, or until a request needs more tokens.
func (gs *grantSync) await(ctx context.Context, delay time.Duration) {
	pause(ctx, min(delay, minGrantPause))
	if delay <= minGrantPause {
		return
	}
	ti := time.NewTimer(delay - minGrantPause)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	case <-gs.quota.Urgent():
	case <-gs.reads.wake:
	}
}

// step reads the rows of other instances, appends this instance's rows, and returns the delay until the next step.
func (gs *grantSync) step(ctx context.Context) time.Duration {
	cf := gs.edge.config
	if gs.idle(cf.Clock()) {
		return grantInterval
	}
	if err := gs.read(ctx); err != nil {
		return retryPause
	}
	ba, err := gs.quota.Build(cf.Clock())
	if err != nil {
		cf.Logger.Error(err, "cannot encode grants")
		return grantInterval
	}
	gs.logRead()
	list, err := gs.addAnnouncement(ba.Records)
	if err != nil {
		cf.Logger.Error(err, "cannot encode the announcement")
	}
	var crashes []keyed.Record
	if gs.partition == 0 {
		crashes = gs.edge.quarantine.takeUnsent()
		list = append(list, crashes...)
		list = append(list, gs.edge.origins.builds.records(cf.Clock())...)
	}
	if len(list) == 0 {
		gs.recordAnnouncement()
		return grantInterval
	}
	err = gs.view.Append(ctx, list)
	if err != nil {
		gs.edge.quarantine.putBack(crashes)
	}
	switch {
	case err == nil:
		gs.recordAnnouncement()
		gs.quota.Confirm(cf.Clock(), ba)
		cf.Logger.Info("grants", "shard", gs.partition, "offset", gs.view.Next(), "era", gs.view.Era().Number(), "rows", ba.Summary())
		gs.logReclaims(ba.Reclaims)
		return grantInterval
	case errors.Is(err, keyed.ErrConflict):
		gs.quota.Discard(ba)
		return gs.conflictDelay()
	case errors.Is(err, keyed.ErrRestored):
		return minGrantPause
	case errors.Is(err, keyed.ErrRefused):
		gs.quota.Discard(ba)
	}
	// After an error other than a conflict or a refusal it is unknown whether the rows were appended. They stay pending until the records of
	// the topic show it.
	gs.outages.recordFailure(cf.Clock(), err)
	return retryPause
}

// logRead logs the rows of this instance that reading the topic put in force, and the takeovers.
func (gs *grantSync) logRead() {
	lo, era := gs.edge.config.Logger, gs.view.Era().Number()
	if list := gs.quota.TakeFound(); len(list) > 0 {
		gs.edge.metrics.Counter("weir_grant_rows_found_total").Add(len(list))
		lo.Info("grants found", "shard", gs.partition, "offset", gs.view.Next(), "era", era, "rows", list)
	}
	if list := gs.quota.TakeTakeovers(); len(list) > 0 {
		for _, ta := range list {
			gs.edge.metrics.Counter(fmt.Sprintf("weir_tokens_written_off_total{team=%q}", ta.Team)).AddInt64(ta.WrittenOff)
		}
		lo.Info("grants taken over", "shard", gs.partition, "era", era, "teams", list)
	}
}

// logReclaims logs what was taken back from silent instances.
func (gs *grantSync) logReclaims(list []quota.Reclaim) {
	if len(list) == 0 {
		return
	}
	for _, re := range list {
		gs.edge.metrics.Counter(fmt.Sprintf("weir_tokens_taken_back_total{team=%q}", re.Team)).AddInt64(re.Tokens)
	}
	gs.edge.config.Logger.Info("grants taken back", "shard", gs.partition, "offset", gs.view.Next(), "era", gs.view.Era().Number(), "grants", list)
}

// read reads the rows of other instances.
func (gs *grantSync) read(ctx context.Context) error {
	started := gs.edge.config.Clock()
	gs.reads.begin()
	err := gs.view.Poll(ctx, 0)
	now := gs.edge.config.Clock()
	if err != nil {
		gs.reads.end(false)
		gs.outages.recordFailure(now, err)
		return err
	}
	gs.readAt.Store(int64(started))
	gs.era.Store(gs.view.Era().Number())
	gs.reads.end(true)
	gs.loaded.Store(true)
	gs.outages.recordSuccess(now)
	gs.edge.recordEra(&gs.outages, gs.view)
	return nil
}

// idle reports whether there is nothing to read or to append now.
func (gs *grantSync) idle(now time.Duration) bool {
	return gs.view.Loaded() && now-gs.lastRead() < gs.idleInterval() && !gs.readWanted() && !gs.eraOutdated() && !gs.quota.Due(now) &&
		!gs.quota.ReadWanted(now, gs.lastRead()) &&
		!gs.announcementDue(now) && (gs.partition != 0 || !gs.edge.origins.builds.due(now))
}

// readWanted reports whether something waits for a new read: the resumption of a stream or, in the first partition, the first rows of builds.
func (gs *grantSync) readWanted() bool {
	return gs.reads.isWanted() || (gs.partition == 0 && !gs.edge.origins.builds.ready())
}

// lastRead returns the start of the last successful read.
func (gs *grantSync) lastRead() time.Duration { return time.Duration(gs.readAt.Load()) }

// awaitRead waits for a read that begins after the call and reports whether it succeeded.
func (gs *grantSync) awaitRead(ctx context.Context) bool { return gs.reads.await(ctx) }

// eraOutdated reports whether another topic was read in another era of the store than this one.
func (gs *grantSync) eraOutdated() bool { return gs.view.Era().Number() != gs.edge.storeEra.Load() }

// conflictDelay returns a random pause after an append that conflicted with the append of another instance.
func (gs *grantSync) conflictDelay() time.Duration {
	maxDelay := idleConflictPause
	if gs.quota.Waiting() {
		maxDelay = conflictPause
	}
	return time.Duration(rand.Int64N(int64(maxDelay)))
}

// idleInterval returns the interval at which the rows of others are read while this instance has nothing to append.
func (gs *grantSync) idleInterval() time.Duration {
	if gs.partition == 0 || gs.quota.HasRow() {
		return holderInterval
	}
	return borrowerInterval
}

// announcementDue reports whether this instance should make its first announcement or repeat it.
func (gs *grantSync) announcementDue(now time.Duration) bool {
	return !gs.announced || (gs.partition == 0 && now-gs.announcedAt >= mesh.AnnounceInterval)
}

// recordAnnouncement stores the time of the announcement if one was due. It is called after a step that appended it, or had nothing to
// append.
func (gs *grantSync) recordAnnouncement() {
	now := gs.edge.config.Clock()
	if gs.announcementDue(now) {
		gs.announced, gs.announcedAt = true, now
	}
}

// addAnnouncement adds this instance's announcement to the list if it is due. While the instance drains, it adds the withdrawal instead if
// the list is not empty.
func (gs *grantSync) addAnnouncement(list []keyed.Record) ([]keyed.Record, error) {
	switch {
	case gs.partition != 0:
		return list, nil
	case gs.edge.Draining() && len(list) > 0:
		return append(list, gs.edge.mesh.Withdrawal()), nil
	case !gs.announcementDue(gs.edge.config.Clock()):
		return list, nil
	}
	re, err := gs.edge.mesh.Announcement()
	if err != nil {
		return list, err
	}
	return append(list, re), nil
}

// Reset replaces all state by the newest records of the partition. Only the first one holds announcements and crash records.
func (gs *grantSync) Reset(sn keyed.Snapshot) {
	gs.quota.Reset(gs.edge.config.Clock(), sn)
	if sn.Restored {
		gs.edge.config.Logger.Info("grant rows missing", "shard", gs.partition, "era", sn.Era.Number(), "rows", gs.quota.LostRows())
	}
	if gs.partition != 0 {
		return
	}
	gs.edge.origins.builds.table.Reset(gs.edge.config.Clock(), sn)
	gs.edge.origins.shareMixed()
	if sn.Restored {
		// The store may have lost the announcement of this instance.
		gs.announced = false
		gs.edge.mesh.RestoreAnnouncements(sn.Records)
		gs.edge.quarantine.restore(sn.Records)
	} else {
		gs.edge.mesh.ApplyAnnouncements(sn.Records)
		gs.edge.quarantine.applyRecords(sn.Records)
	}
	gs.setMembers()
}

// Apply applies new records of the partition.
func (gs *grantSync) Apply(list []keyed.Record) {
	gs.quota.Apply(gs.edge.config.Clock(), list)
	if gs.partition != 0 {
		return
	}
	gs.edge.mesh.ApplyAnnouncements(list)
	gs.setMembers()
	gs.edge.quarantine.applyRecords(list)
	gs.edge.origins.builds.table.Apply(gs.edge.config.Clock(), list)
	gs.edge.origins.shareMixed()
}

// setMembers passes the names of all instances on.
func (gs *grantSync) setMembers() {
	members := gs.edge.mesh.Members()
	gs.edge.quotas.SetMembers(members)
	gs.edge.balancer.SetMembers(gs.edge.config.Settings.Name, members)
}
