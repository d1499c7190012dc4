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
	// grantLeast is the least pause between appends when requests wait for tokens.
	grantLeast = 60 * time.Millisecond
	// conflictPause spreads instances that append at the same moment while requests wait; one append takes the store some milliseconds.
	conflictPause = 30 * time.Millisecond
	// calmConflictPause is the same while no request waits: each new row is a reason for the other holders to write theirs.
	calmConflictPause = 300 * time.Millisecond
)

// grants keeps one purse and its partition of the topic of grants together.
type grants struct {
	edge    *Edge
	purse   *quota.Shard
	shard   int
	view    *keyed.View
	contact contact
	readAt  time.Duration
	// announced is whether the topic names this instance, announcedAt when it last said so.
	announced   bool
	announcedAt time.Duration
}

func newGrants(ed *Edge, pu *quota.Shard, shard int) *grants {
	name := shardName(ed.config.Platform.Grants, shard)
	gr := &grants{edge: ed, purse: pu, shard: shard, contact: contact{name: name, logger: ed.config.Logger}}
	gr.view = keyed.NewView(ed.topics[name], gr)
	return gr
}

func (gr *grants) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := gr.step(ctx)
		gr.edge.lender.returnSurplus(ctx, gr.purse)
		gr.edge.allowance.SetInstances(gr.edge.fleetSize(gr.edge.config.Clock()))
		gr.await(ctx, delay)
	}
	return nil
}

// await waits for the delay, or for a request that lacks tokens.
func (gr *grants) await(ctx context.Context, delay time.Duration) {
	pause(ctx, min(delay, grantLeast))
	if delay <= grantLeast {
		return
	}
	ti := time.NewTimer(delay - grantLeast)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	case <-gr.purse.Urgent():
	}
}

// step reads what others have appended, appends the own rows, and returns the delay until the next step.
func (gr *grants) step(ctx context.Context) time.Duration {
	cf := gr.edge.config
	if now := cf.Clock(); gr.view.Loaded() && now-gr.readAt < gr.idleInterval() && !gr.purse.Due(now) && !gr.mustAnnounce(now) {
		return grantInterval
	}
	if err := gr.view.Poll(ctx, 0); err != nil {
		gr.contact.failed(cf.Clock(), err)
		return retryPause
	}
	gr.readAt = cf.Clock()
	gr.contact.reached(gr.readAt)
	ba, err := gr.purse.Build(cf.Clock())
	if err != nil {
		cf.Logger.Error(err, "grants not encoded")
		return grantInterval
	}
	list, err := gr.withAnnouncement(ba.Records)
	if err != nil {
		cf.Logger.Error(err, "announcement not encoded")
	}
	var crashes []keyed.Record
	if gr.shard == 0 {
		crashes = gr.edge.guard.take()
		list = append(list, crashes...)
	}
	if len(list) == 0 {
		gr.noteAnnounced()
		return grantInterval
	}
	err = gr.view.Append(ctx, list)
	if err != nil {
		gr.edge.guard.putBack(crashes)
	}
	switch {
	case err == nil:
		gr.noteAnnounced()
		gr.purse.Confirm(cf.Clock(), ba)
		cf.Logger.Info("grants", "shard", gr.shard, "offset", gr.view.Next(), "rows", ba.Summary())
		return grantInterval
	case errors.Is(err, keyed.ErrConflict):
		gr.purse.Discard(ba)
		return gr.conflictDelay()
	case errors.Is(err, keyed.ErrRefused):
		gr.purse.Discard(ba)
	}
	// Without a clear answer the rows may still be appended, so they stay pending until the topic shows what became of them.
	gr.contact.failed(cf.Clock(), err)
	return retryPause
}

// conflictDelay returns the pause after another instance has appended at the same moment.
func (gr *grants) conflictDelay() time.Duration {
	most := calmConflictPause
	if gr.purse.Waiting() {
		most = conflictPause
	}
	return time.Duration(rand.Int64N(int64(most)))
}

// readMembers takes the announcements of instances, which stand in the first partition.
func (gr *grants) readMembers(list []keyed.Record) {
	if gr.shard == 0 {
		gr.edge.mesh.ApplyAnnouncements(list)
		gr.edge.purses.SetMembers(gr.edge.mesh.Members())
	}
}

func (gr *grants) idleInterval() time.Duration {
	if gr.shard == 0 || gr.purse.HasRow() {
		return holderInterval
	}
	return borrowerInterval
}

// mustAnnounce reports whether this instance should make itself known to its peers, at first or once more.
func (gr *grants) mustAnnounce(now time.Duration) bool {
	return !gr.announced || (gr.shard == 0 && now-gr.announcedAt >= mesh.AnnounceInterval)
}

func (gr *grants) noteAnnounced() {
	now := gr.edge.config.Clock()
	if gr.mustAnnounce(now) {
		gr.announced, gr.announcedAt = true, now
	}
}

// withAnnouncement adds the record that makes this instance known to its peers, or unknown when it leaves.
func (gr *grants) withAnnouncement(list []keyed.Record) ([]keyed.Record, error) {
	switch {
	case gr.shard != 0:
		return list, nil
	case gr.edge.Draining() && len(list) > 0:
		return append(list, gr.edge.mesh.Withdrawal()), nil
	case !gr.mustAnnounce(gr.edge.config.Clock()):
		return list, nil
	}
	re, err := gr.edge.mesh.Announcement()
	if err != nil {
		return list, err
	}
	return append(list, re), nil
}

// Reset takes the newest row of every instance.
func (gr *grants) Reset(list []keyed.Record) {
	gr.purse.Reset(gr.edge.config.Clock(), list)
	gr.readMembers(list)
	if gr.shard == 0 {
		gr.edge.guard.read(list)
	}
}

// Apply takes new rows.
func (gr *grants) Apply(list []keyed.Record) {
	gr.purse.Apply(gr.edge.config.Clock(), list)
	gr.readMembers(list)
	if gr.shard == 0 {
		gr.edge.guard.read(list)
	}
}
