package quota

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
	if err := ho.view.Poll(context.Background(), 0); err != nil {
		tt.Fatal(err)
	}
	return ho
}

// TestBorrowerIsNotDue replays a quiet team at an instance that only borrows: it does not read the topic again and again for nothing.
func TestBorrowerIsNotDue(tt *testing.T) {
	ho := newBorrower(tt, 1000, Row{Granted: 900, Base: 900, Spent: 100, Delay: time.Minute, Incarnation: 1})
	if diff := cmp.Diff(false, ho.purse.Due(ho.world.now)); diff != "" {
		tt.Error(diff)
	}
}

// TestProminentIsDue replays a team whose callers all come to an instance without grants: it asks for its part of the total.
func TestProminentIsDue(tt *testing.T) {
	ho := newBorrower(tt, 1_000_000, Row{Granted: 900_000, Base: 900_000, Spent: 100, Delay: time.Minute, Incarnation: 1, Demand: 10_000})
	ho.purse.Receive(propertyTeam, 20_000)
	if got := ho.purse.Reserve(ho.world.now, propertyTeam, 20_000); got != Reserved {
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
		want  ReserveResult
	}{
		{"the holder has enough", 0, OverGrant},
		{"the holder has given it away", 880, Uncertain},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ho := newBorrower(tt, 1000, Row{Granted: 1000, Base: 1000, Spent: 100, NetLent: tc.moved, Delay: time.Minute, Incarnation: 1})
			if diff := cmp.Diff(tc.want, ho.purse.Reserve(ho.world.now, propertyTeam, 100)); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// TestSurplusGoesBack replays a borrower whose last request left tokens over: they go back to a holder once the team is near its end.
func TestSurplusGoesBack(tt *testing.T) {
	const total, taken, cost = 100_000, 2000, 500
	cases := []struct {
		name string
		// unused is what the holder has left.
		unused  int64
		resting bool
		want    []Surplus
	}{
		{"the team is near its end", 5000, false, []Surplus{{Team: propertyTeam, Tokens: taken - cost, Holder: "a"}}},
		{"the team has plenty", 50_000, false, nil},
		{"the holder does not answer", 5000, true, nil},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ho := newBorrower(tt, total, Row{Granted: total, Base: total, Spent: total - tc.unused, Delay: time.Minute, Incarnation: 1, Demand: 100_000, OwnDemand: 100_000})
			ho.purse.Receive(propertyTeam, taken)
			if got := ho.purse.Reserve(ho.world.now, propertyTeam, taken); got != Reserved {
				tt.Fatalf("what a peer gave is not covered: %d", got)
			}
			resting := func(string) bool { return tc.resting }
			if diff := cmp.Diff([]Surplus(nil), ho.purse.ReleaseSurpluses(ho.world.now, false, resting)); diff != "" {
				tt.Errorf("while the request runs: %s", diff)
			}
			ho.purse.Settle(ho.world.now, propertyTeam, taken, cost)
			if diff := cmp.Diff(tc.want, ho.purse.ReleaseSurpluses(ho.world.now, false, resting)); diff != "" {
				tt.Error(diff)
			}
			if tc.want != nil && ho.purse.Reserve(ho.world.now, propertyTeam, 1) == Reserved {
				tt.Error("what was sent back can still be spent")
			}
		})
	}
}

// TestStopInOutage stops a holder while the store is away: what its ceiling allows goes to another holder at once, and the rest as the
// ceiling rises, since its next life will count all of that as spent.
func TestStopInOutage(tt *testing.T) {
	const total = 100_000
	wo := &purseWorld{topic: &memTopic{cut: map[int]bool{}}, holders: make([]*holder, 2), total: total, most: total}
	wo.start(0, 0)
	wo.start(1, 0)
	names := []string{"instance-0", "instance-1"}
	for range 20 {
		wo.now += stepTime
		for _, ho := range wo.holders {
			ho.purse.SetMembers(names)
			ho.replayStep(tt)
		}
	}
	stopping, other := wo.holders[0], wo.holders[1]
	nobodyRests := func(string) bool { return false }
	if diff := cmp.Diff([]Surplus(nil), stopping.purse.ReleaseSurpluses(wo.now, true, nobodyRests)); diff != "" {
		tt.Errorf("before the end: %s", diff)
	}
	wo.topic.cut = map[int]bool{0: true, 1: true}
	stopping.purse.Close()
	moved := int64(0)
	for range 50 {
		wo.now += stepTime
		for _, su := range stopping.purse.ReleaseSurpluses(wo.now, true, nobodyRests) {
			if diff := cmp.Diff("instance-1", su.Holder); diff != "" {
				tt.Fatal(diff)
			}
			other.purse.Receive(su.Team, su.Tokens)
			moved += su.Tokens
		}
	}
	wo.topic.cut = map[int]bool{}
	wo.start(0, 0)
	wo.holders[0].replayStep(tt)
	// All that counts as spent at the next life was moved.
	lost := wo.holders[0].purse.Balance(wo.now, propertyTeam).WrittenOff
	if moved == 0 || lost-moved > leastSurplus {
		tt.Errorf("%d tokens count as spent, %d were moved", lost, moved)
	}
}

// TestWaiting reports waiting requests, for whose sake conflicts of appends are resolved faster.
func TestWaiting(tt *testing.T) {
	ho := newBorrower(tt, 1000, Row{Granted: 900, Base: 900, Delay: time.Minute, Incarnation: 1})
	var got []bool
	got = append(got, ho.purse.Waiting())
	ho.purse.AddWaiter(ho.world.now, propertyTeam, 100)
	got = append(got, ho.purse.Waiting())
	ho.purse.RemoveWaiter(propertyTeam, 100)
	got = append(got, ho.purse.Waiting())
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		tt.Error(diff)
	}
}
