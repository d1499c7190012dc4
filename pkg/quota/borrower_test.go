package quota

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// newBorrower returns an instance that holds no grants, beside a holder with the given row.
func newBorrower(tt *testing.T, total int64, row Row) *testInstance {
	tt.Helper()
	si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 1), total: total, maxTotal: total}
	re, err := encodeRow(propertyTeam, "a", row)
	if err != nil {
		tt.Fatal(err)
	}
	si.topic.add(0, []keyed.Record{re})
	si.start(0, 0)
	in := si.instances[0]
	in.shard.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "instance-0"})
	if in.shard.isAssigned(propertyTeam, si.now) {
		tt.Fatal("the instance is a home; the case needs one that is not")
	}
	if err := in.view.Poll(context.Background(), 0); err != nil {
		tt.Fatal(err)
	}
	return in
}

// TestBorrowerIsNotDue replays a quiet team at an instance that only borrows: it does not read the topic again and again for nothing.
func TestBorrowerIsNotDue(tt *testing.T) {
	in := newBorrower(tt, 1000, Row{Granted: 900, Base: 900, Spent: 100, Delay: time.Minute, Incarnation: 1})
	if diff := cmp.Diff(false, in.shard.Due(in.sim.now)); diff != "" {
		tt.Error(diff)
	}
}

// TestHighDemandBorrowerIsDue replays a team whose callers all come to an instance without grants: it asks for its part of the total.
func TestHighDemandBorrowerIsDue(tt *testing.T) {
	in := newBorrower(tt, 1_000_000, Row{Granted: 900_000, Base: 900_000, Spent: 100, Delay: time.Minute, Incarnation: 1, Demand: 10_000})
	in.shard.Receive(propertyTeam, 20_000)
	if got := in.shard.Reserve(in.sim.now, propertyTeam, 20_000); got != Reserved {
		tt.Fatalf("what a peer gave is not covered: %d", got)
	}
	in.shard.Settle(in.sim.now, propertyTeam, 20_000, 20_000)
	if diff := cmp.Diff([]bool{true, true}, []bool{in.shard.isAssigned(propertyTeam, in.sim.now), in.shard.Due(in.sim.now)}); diff != "" {
		tt.Error(diff)
	}
}

// TestLentTokensAreUncertain replays a team whose holders have given nearly all to borrowers: a request is refused at once, and not as if only a
// top-up could help, since what borrowers hold may come back.
func TestLentTokensAreUncertain(tt *testing.T) {
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
			in := newBorrower(tt, 1000, Row{Granted: 1000, Base: 1000, Spent: 100, NetLent: tc.moved, Delay: time.Minute, Incarnation: 1})
			if diff := cmp.Diff(tc.want, in.shard.Reserve(in.sim.now, propertyTeam, 100)); diff != "" {
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
			in := newBorrower(tt, total, Row{Granted: total, Base: total, Spent: total - tc.unused, Delay: time.Minute, Incarnation: 1, Demand: 100_000, OwnDemand: 100_000})
			in.shard.Receive(propertyTeam, taken)
			if got := in.shard.Reserve(in.sim.now, propertyTeam, taken); got != Reserved {
				tt.Fatalf("what a peer gave is not covered: %d", got)
			}
			resting := func(string) bool { return tc.resting }
			if diff := cmp.Diff([]Surplus(nil), in.shard.ReleaseSurpluses(in.sim.now, false, resting)); diff != "" {
				tt.Errorf("while the request runs: %s", diff)
			}
			in.shard.Settle(in.sim.now, propertyTeam, taken, cost)
			if diff := cmp.Diff(tc.want, in.shard.ReleaseSurpluses(in.sim.now, false, resting)); diff != "" {
				tt.Error(diff)
			}
			if tc.want != nil && in.shard.Reserve(in.sim.now, propertyTeam, 1) == Reserved {
				tt.Error("what was sent back can still be spent")
			}
		})
	}
}

// TestStopInOutage stops a holder while the store is away: what its ceiling allows goes to another holder at once, and the rest as the
// ceiling rises, since its next life will count all of that as spent.
func TestStopInOutage(tt *testing.T) {
	const total = 100_000
	si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 2), total: total, maxTotal: total}
	si.start(0, 0)
	si.start(1, 0)
	names := []string{"instance-0", "instance-1"}
	for range 20 {
		si.now += stepTime
		for _, in := range si.instances {
			in.shard.SetMembers(names)
			in.replayStep(tt)
		}
	}
	stopping, other := si.instances[0], si.instances[1]
	nobodyRests := func(string) bool { return false }
	if diff := cmp.Diff([]Surplus(nil), stopping.shard.ReleaseSurpluses(si.now, true, nobodyRests)); diff != "" {
		tt.Errorf("before the end: %s", diff)
	}
	si.topic.unreachable = map[int]bool{0: true, 1: true}
	stopping.shard.Close()
	moved := int64(0)
	for range 50 {
		si.now += stepTime
		for _, su := range stopping.shard.ReleaseSurpluses(si.now, true, nobodyRests) {
			if diff := cmp.Diff("instance-1", su.Holder); diff != "" {
				tt.Fatal(diff)
			}
			other.shard.Receive(su.Team, su.Tokens)
			moved += su.Tokens
		}
	}
	si.topic.unreachable = map[int]bool{}
	si.start(0, 0)
	si.instances[0].replayStep(tt)
	// All that counts as spent at the next life was moved.
	lost := si.instances[0].shard.Balance(si.now, propertyTeam).WrittenOff
	if moved == 0 || lost-moved > minSurplus {
		tt.Errorf("%d tokens count as spent, %d were moved", lost, moved)
	}
}

// TestWaiting reports waiting requests, for whose sake conflicts of appends are resolved faster.
func TestWaiting(tt *testing.T) {
	in := newBorrower(tt, 1000, Row{Granted: 900, Base: 900, Delay: time.Minute, Incarnation: 1})
	var got []bool
	got = append(got, in.shard.Waiting())
	in.shard.AddWaiter(in.sim.now, propertyTeam, 100)
	got = append(got, in.shard.Waiting())
	in.shard.RemoveWaiter(propertyTeam, 100)
	got = append(got, in.shard.Waiting())
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		tt.Error(diff)
	}
}
