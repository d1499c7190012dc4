package quota

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

func (fl *fleet) named(name string) *fleetInstance {
	return fl.instances[slices.IndexFunc(fl.instances, func(in *fleetInstance) bool { return in.name == name })]
}

func (in *fleetInstance) syncOf(sh *Shard) *fleetSync {
	return in.syncs[slices.IndexFunc(in.syncs, func(fs *fleetSync) bool { return fs.shard == sh })]
}

// turn runs a step of the loop if it is due, and returns surplus tokens.
func (fs *fleetSync) turn() {
	fl := fs.in.fleet
	urgent := false
	select {
	case <-fs.shard.Urgent():
		urgent = true
	default:
	}
	if fl.now < fs.pauseUntil || (fl.now < fs.nextAt && !urgent) {
		if urgent {
			fs.nextAt = fs.pauseUntil
		}
		return
	}
	fs.nextAt, fs.pauseUntil = fl.now+500*time.Millisecond, fl.now+60*time.Millisecond
	known := min(len(fl.instances), int(fl.now/fleetAnnounce))
	names := make([]string, 0, known)
	for _, in := range fl.instances[:known] {
		names = append(names, in.name)
	}
	if !slices.Contains(names, fs.in.name) {
		names = append(names, fs.in.name)
	}
	fs.shard.SetMembers(names)
	fs.step()
	for _, su := range fs.shard.ReleaseSurpluses(fl.now, fl.cut(), func(string) bool { return false }) {
		fl.returns++
		fl.named(su.Holder).set.Shard(su.Team).Receive(su.Team, su.Tokens)
	}
}

func (fs *fleetSync) step() {
	fl := fs.in.fleet
	interval := 3 * time.Second
	if fs.shard.HasRow() {
		interval = time.Second
	}
	if fs.view.Loaded() && fl.now-fs.readAt < interval && !fs.shard.Due(fl.now) && !fs.shard.ReadWanted(fl.now, fs.readAt) {
		return
	}
	if fs.view.Poll(context.Background(), 0) != nil {
		fs.nextAt = fl.now + 200*time.Millisecond
		return
	}
	fs.readAt = fl.now
	ba, err := fs.shard.Build(fl.now)
	if err != nil {
		fl.Fatal(err)
	}
	if ba.Empty() {
		return
	}
	// Of several appends in the same tick only one succeeds, as in a store that takes 4 ms for each.
	to := fl.topics[slices.Index(fs.in.syncs, fs)]
	if to.appendedAt == fl.now {
		to.nextFault = faultRefused
	}
	switch err := fs.view.Append(context.Background(), ba.Records); {
	case err == nil:
		to.appendedAt = fl.now
		fs.shard.Confirm(fl.now, ba)
	case eris.Is(err, keyed.ErrConflict), eris.Is(err, keyed.ErrRefused):
		fs.shard.Discard(ba)
		limit := 300
		if fs.shard.Waiting() {
			limit = 30
		}
		fs.nextAt = fl.now + time.Duration(fl.rd.IntN(limit))*time.Millisecond
		fs.pauseUntil = fs.nextAt
	}
}
