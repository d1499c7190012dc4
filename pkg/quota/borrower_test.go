package quota

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// newBorrower returns an instance that holds no grant, after it has read the given row of another instance.
func newBorrower(tt *testing.T, total int64, row Row) *testInstance {
	tt.Helper()
	si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 1), total: total, maxTotal: total}
	re, err := encodeRow(testTeam, "a", row)
	if err != nil {
		tt.Fatal(err)
	}
	si.topic.add(0, []keyed.Record{re})
	si.start(0, 0)
	in := si.instances[0]
	in.shard.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "instance-0"})
	if in.shard.isAssigned(testTeam, si.now) {
		tt.Fatal("the instance is an assigned holder; the test needs one that is not")
	}
	if err := in.view.Poll(context.Background(), 0); err != nil {
		tt.Fatal(err)
	}
	return in
}

// TestBorrowerIsNotDue checks that no row is due at an instance that only borrows. Otherwise it would poll the topic needlessly.
func TestBorrowerIsNotDue(tt *testing.T) {
	in := newBorrower(tt, 1000, Row{Granted: 900, Base: 900, Spent: 100, Delay: time.Minute, Incarnation: 1})
	if diff := cmp.Diff(false, in.shard.Due(in.sim.now)); diff != "" {
		tt.Error(diff)
	}
}

// TestHighDemandBorrowerIsDue checks that an instance without a grant becomes an assigned holder, and writes a row, when all callers of a
// team come to it.
func TestHighDemandBorrowerIsDue(tt *testing.T) {
	in := newBorrower(tt, 1_000_000, Row{Granted: 900_000, Base: 900_000, Spent: 100, Delay: time.Minute, Incarnation: 1, Demand: 10_000})
	in.shard.Receive(testTeam, 20_000)
	if got := in.shard.Reserve(in.sim.now, testTeam, 20_000); got != Reserved {
		tt.Fatalf("Reserve of borrowed tokens: got result %d, want Reserved", got)
	}
	in.shard.Settle(in.sim.now, testTeam, 20_000, 20_000)
	if diff := cmp.Diff([]bool{true, true}, []bool{in.shard.isAssigned(testTeam, in.sim.now), in.shard.Due(in.sim.now)}); diff != "" {
		tt.Error(diff)
	}
}

// TestLentTokensAreUncertain reserves tokens of a team whose holder has lent nearly all of them to other instances. The result must be
// Uncertain: the request can only be served if those instances return tokens. With Exhausted it would be refused although they may, and
// with OverGrant it would try to borrow from the holder, which has too few tokens left.
func TestLentTokensAreUncertain(tt *testing.T) {
	cases := []struct {
		name    string
		netLent int64
		want    ReserveResult
	}{
		{"the holder has enough", 0, OverGrant},
		{"the holder has lent it", 880, Uncertain},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			in := newBorrower(tt, 1000, Row{Granted: 1000, Base: 1000, Spent: 100, NetLent: tc.netLent, Delay: time.Minute, Incarnation: 1})
			if diff := cmp.Diff(tc.want, in.shard.Reserve(in.sim.now, testTeam, 100)); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// TestSurplusGoesBack checks that a borrower returns the unused tokens of its last request to a holder, but only if the team's tokens are
// scarce.
func TestSurplusGoesBack(tt *testing.T) {
	const total, borrowed, cost = 100_000, 2000, 500
	cases := []struct {
		name string
		// unused is the unused grant of the holder.
		unused    int64
		inBackoff bool
		want      []Surplus
	}{
		{"the team's tokens are scarce", 5000, false, []Surplus{{Team: testTeam, Tokens: borrowed - cost, Holder: "a"}}},
		{"the team has plenty", 50_000, false, nil},
		{"the holder is in backoff", 5000, true, nil},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			in := newBorrower(tt, total, Row{
				Granted: total, Base: total, Spent: total - tc.unused, Delay: time.Minute, Incarnation: 1, Demand: 100_000, OwnDemand: 100_000,
			})
			in.shard.Receive(testTeam, borrowed)
			if got := in.shard.Reserve(in.sim.now, testTeam, borrowed); got != Reserved {
				tt.Fatalf("Reserve of borrowed tokens: got result %d, want Reserved", got)
			}
			inBackoff := func(string) bool { return tc.inBackoff }
			if diff := cmp.Diff([]Surplus(nil), in.shard.ReleaseSurpluses(in.sim.now, false, inBackoff)); diff != "" {
				tt.Errorf("surplus tokens released while the request is in flight (-want +got): %s", diff)
			}
			in.shard.Settle(in.sim.now, testTeam, borrowed, cost)
			if diff := cmp.Diff(tc.want, in.shard.ReleaseSurpluses(in.sim.now, false, inBackoff)); diff != "" {
				tt.Error(diff)
			}
			if tc.want != nil && in.shard.Reserve(in.sim.now, testTeam, 1) == Reserved {
				tt.Error("Reserve succeeded with tokens that were already released as a surplus")
			}
		})
	}
}

// TestStopInOutage closes a holder while the store is unreachable. It sends all tokens up to its ceiling to another holder, and more as the
// ceiling rises. The next incarnation counts all tokens up to the ceiling as spent, so those that were not sent would be lost to the team.
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
	inBackoff := func(string) bool { return false }
	if diff := cmp.Diff([]Surplus(nil), stopping.shard.ReleaseSurpluses(si.now, true, inBackoff)); diff != "" {
		tt.Errorf("surplus released before the instance is closed (-want +got): %s", diff)
	}
	si.topic.unreachable = map[int]bool{0: true, 1: true}
	stopping.shard.Close()
	sent := int64(0)
	for range 50 {
		si.now += stepTime
		for _, su := range stopping.shard.ReleaseSurpluses(si.now, true, inBackoff) {
			if diff := cmp.Diff("instance-1", su.Holder); diff != "" {
				tt.Fatal(diff)
			}
			other.shard.Receive(su.Team, su.Tokens)
			sent += su.Tokens
		}
	}
	si.topic.unreachable = map[int]bool{}
	si.start(0, 0)
	si.instances[0].replayStep(tt)
	// All tokens that the next incarnation writes off must have been sent.
	writtenOff := si.instances[0].shard.Balance(si.now, testTeam).WrittenOff
	if sent == 0 || writtenOff-sent > minSurplus {
		tt.Errorf("%d tokens were written off, but only %d were sent to the other holder", writtenOff, sent)
	}
}

// TestWaiting checks the result of Waiting before, during and after the wait of a request. Append conflicts are retried sooner while it is
// true.
func TestWaiting(tt *testing.T) {
	in := newBorrower(tt, 1000, Row{Granted: 900, Base: 900, Delay: time.Minute, Incarnation: 1})
	var got []bool
	got = append(got, in.shard.Waiting())
	in.shard.AddWaiter(in.sim.now, testTeam, 100)
	got = append(got, in.shard.Waiting())
	in.shard.RemoveWaiter(testTeam, 100)
	got = append(got, in.shard.Waiting())
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		tt.Error(diff)
	}
}
