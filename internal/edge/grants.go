package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/quota"
)

const (
	// grantInterval is how often rows are read and renewed without need; the older a row, the more its ceiling must allow.
	grantInterval = 500 * time.Millisecond
	// holderInterval is how often rows of others are read by a holder that has nothing to append.
	holderInterval = time.Second
	// borrowerInterval is the same for an instance without grants in the partition: it only needs to know whom to ask.
	borrowerInterval = 3 * time.Second
	// minGrantPause is the least pause between appends when requests wait for tokens.
	minGrantPause = 60 * time.Millisecond
	// conflictPause spreads instances that append at the same moment while requests wait; one append takes the store some milliseconds.
	conflictPause = 30 * time.Millisecond
	// idleConflictPause is the same while no request waits: each new row is a reason for the other holders to write theirs.
	idleConflictPause = 300 * time.Millisecond
)

// grantSync keeps one purse and its partition of the topic of grantSync together.
type grantSync struct {
	edge    *Edge
	quota   *quota.Shard
	shard   int
	view    *keyed.View
	outages outageLog
	readAt  time.Duration
	// announced is whether the topic names this instance, announcedAt when it last said so.
	announced   bool
	announcedAt time.Duration
}

func newGrantSync(ed *Edge, sh *quota.Shard, shard int) *grantSync {
	name := shardName(ed.config.Platform.Grants, shard)
	gs := &grantSync{edge: ed, quota: sh, shard: shard, outages: outageLog{name: name, logger: ed.config.Logger}}
	gs.view = keyed.NewView(ed.topics[name], gs)
	return gs
}

func (gs *grantSync) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := gs.step(ctx)
		gs.edge.transfers.returnSurplus(ctx, gs.quota)
		gs.edge.retryBudget.SetInstances(gs.edge.fleetSize(gs.edge.config.Clock()))
		gs.await(ctx, delay)
	}
	return nil
}

// await waits for the delay, or for a request that lacks tokens.
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
	}
}

// step reads what others have appended, appends the own rows, and returns the delay until the next step.
func (gs *grantSync) step(ctx context.Context) time.Duration {
	cf := gs.edge.config
	if now := cf.Clock(); gs.view.Loaded() && now-gs.readAt < gs.idleInterval() && !gs.quota.Due(now) && !gs.announcementDue(now) {
		return grantInterval
	}
	if err := gs.view.Poll(ctx, 0); err != nil {
		gs.outages.recordFailure(cf.Clock(), err)
		return retryPause
	}
	gs.readAt = cf.Clock()
	gs.outages.recordSuccess(gs.readAt)
	ba, err := gs.quota.Build(cf.Clock())
	if err != nil {
		cf.Logger.Error(err, "grants not encoded")
		return grantInterval
	}
	list, err := gs.addAnnouncement(ba.Records)
	if err != nil {
		cf.Logger.Error(err, "announcement not encoded")
	}
	var crashes []keyed.Record
	if gs.shard == 0 {
		crashes = gs.edge.quarantine.takeUnsent()
		list = append(list, crashes...)
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
		cf.Logger.Info("grants", "shard", gs.shard, "offset", gs.view.Next(), "rows", ba.Summary())
		return grantInterval
	case errors.Is(err, keyed.ErrConflict):
		gs.quota.Discard(ba)
		return gs.conflictDelay()
	case errors.Is(err, keyed.ErrRefused):
		gs.quota.Discard(ba)
	}
	// Without a clear answer the rows may still be appended, so they stay pending until the topic shows what became of them.
	gs.outages.recordFailure(cf.Clock(), err)
	return retryPause
}

// conflictDelay returns the pause after another instance has appended at the same moment.
func (gs *grantSync) conflictDelay() time.Duration {
	most := idleConflictPause
	if gs.quota.Waiting() {
		most = conflictPause
	}
	return time.Duration(rand.Int64N(int64(most)))
}

// applyMembers takes the announcements of instances, which stand in the first partition.
func (gs *grantSync) applyMembers(list []keyed.Record) {
	if gs.shard == 0 {
		gs.edge.mesh.ApplyAnnouncements(list)
		gs.edge.quotas.SetMembers(gs.edge.mesh.Members())
	}
}

func (gs *grantSync) idleInterval() time.Duration {
	if gs.shard == 0 || gs.quota.HasRow() {
		return holderInterval
	}
	return borrowerInterval
}

// announcementDue reports whether this instance should make itself known to its peers, at first or once more.
func (gs *grantSync) announcementDue(now time.Duration) bool {
	return !gs.announced || (gs.shard == 0 && now-gs.announcedAt >= mesh.AnnounceInterval)
}

func (gs *grantSync) recordAnnouncement() {
	now := gs.edge.config.Clock()
	if gs.announcementDue(now) {
		gs.announced, gs.announcedAt = true, now
	}
}

// addAnnouncement adds the record that makes this instance known to its peers, or unknown when it leaves.
func (gs *grantSync) addAnnouncement(list []keyed.Record) ([]keyed.Record, error) {
	switch {
	case gs.shard != 0:
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

// Reset takes the newest row of every instance.
func (gs *grantSync) Reset(list []keyed.Record) {
	gs.quota.Reset(gs.edge.config.Clock(), list)
	gs.applyMembers(list)
	if gs.shard == 0 {
		gs.edge.quarantine.applyRecords(list)
	}
}

// Apply takes new rows.
func (gs *grantSync) Apply(list []keyed.Record) {
	gs.quota.Apply(gs.edge.config.Clock(), list)
	gs.applyMembers(list)
	if gs.shard == 0 {
		gs.edge.quarantine.applyRecords(list)
	}
}
