package purse

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// newBorrower returns an instance that holds no grants, beside a holder with the given row.
func newBorrower(tt *testing.T, total int64, row Row) *holder {
	tt.Helper()
	wo := &purseWorld{topic: &memTopic{cut: map[int]bool{}}, holders: make([]*holder, 1), total: total, most: total}
	re, err := encodeRow(propertyTeam, "a", row)
	if err != nil {
		tt.Fatal(err)
	}
	wo.topic.add(0, []keyed.Record{re})
	wo.start(0, 0)
	ho := wo.holders[0]
	ho.purse.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "instance-0"})
	if ho.purse.isHome(propertyTeam, wo.now) {
		tt.Fatal("the instance is a home; the case needs one that is not")
	}
	if err := ho.view.Advance(context.Background(), 0); err != nil {
		tt.Fatal(err)
	}
	return ho
}

// TestBorrowerIsNotDue replays a quiet team at an instance that only borrows: it does not read the topic again and again for nothing.
func TestBorrowerIsNotDue(tt *testing.T) {
	ho := newBorrower(tt, 1000, Row{Granted: 900, Base: 900, Spent: 100, Delay: time.Minute, Life: 1})
	if diff := cmp.Diff(false, ho.purse.Due(ho.world.now)); diff != "" {
		tt.Error(diff)
	}
}

// TestProminentIsDue replays a team whose callers all come to an instance without grants: it asks for its part of the total.
func TestProminentIsDue(tt *testing.T) {
	ho := newBorrower(tt, 1_000_000, Row{Granted: 900_000, Base: 900_000, Spent: 100, Delay: time.Minute, Life: 1, Demand: 10_000})
	ho.purse.Take(propertyTeam, 20_000)
	if got := ho.purse.Reserve(ho.world.now, propertyTeam, 20_000); got != Covered {
		tt.Fatalf("what a peer gave is not covered: %d", got)
	}
	ho.purse.Settle(ho.world.now, propertyTeam, 20_000, 20_000)
	if diff := cmp.Diff([]bool{true, true}, []bool{ho.purse.isHome(propertyTeam, ho.world.now), ho.purse.Due(ho.world.now)}); diff != "" {
		tt.Error(diff)
	}
}

// TestMovedIsNotLeft replays a team whose holders have given nearly all to borrowers: a request is refused at once, and not as if only a
// top-up could help, since what borrowers hold may come back.
func TestMovedIsNotLeft(tt *testing.T) {
	cases := []struct {
		name  string
		moved int64
		want  Shortage
	}{
		{"the holder has enough", 0, Lacking},
		{"the holder has given it away", 880, Stranded},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ho := newBorrower(tt, 1000, Row{Granted: 1000, Base: 1000, Spent: 100, Moved: tc.moved, Delay: time.Minute, Life: 1})
			if diff := cmp.Diff(tc.want, ho.purse.Reserve(ho.world.now, propertyTeam, 100)); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
