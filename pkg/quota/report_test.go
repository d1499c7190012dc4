package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// TestSpendingOfBorrowers guards against a team whose total is spent, mostly by instances without a row, and that still seems to have tokens left: its
// requests were refused with the advice to come back, again and again, instead of as exhausted.
func TestSpendingOfBorrowers(tt *testing.T) {
	const total, loan = 10_000, 9_000
	cases := []struct {
		name string
		// copies is the number of times that each report arrives.
		copies int
		want   ReserveResult
	}{
		{"the reports arrive", 1, Exhausted},
		{"the reports are lost", 0, Uncertain},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 3), total: total, maxTotal: total}
			for ix := range 6 {
				si.members = append(si.members, fmt.Sprint("instance-", ix))
			}
			holder := si.startHolder(tt)
			si.start(1, 0)
			borrower := si.instances[1]
			borrower.poll(tt)
			lent, _ := holder.shard.Lend(si.now, testTeam, loan)
			if lent < loan/2 {
				tt.Fatalf("%d tokens were lent, want at least half of %d", lent, int64(loan))
			}
			borrower.shard.Receive(testTeam, lent)
			if got := borrower.shard.Reserve(si.now, testTeam, lent); got != Reserved {
				tt.Fatalf("the borrowed tokens are not reserved: %v", got)
			}
			borrower.shard.Settle(si.now, testTeam, lent, lent)
			si.now += reportInterval + time.Millisecond
			// The lender's row states what it has lent.
			holder.appendRow(tt)
			borrower.poll(tt)
			used := holder.shard.account(testTeam).used()
			reports := borrower.shard.TakeSpendingReports(si.now, func() float64 { return 0 })
			want := []SpendingReport{{Team: testTeam, Tokens: lent, Lender: "instance-0"}}
			if diff := cmp.Diff(want, reports); diff != "" {
				tt.Fatalf("reports (-want +got):\n%s", diff)
			}
			for range tc.copies {
				holder.shard.ApplySpendingReport(testTeam, reports[0].Tokens)
			}
			if now := holder.shard.account(testTeam).used(); now != used {
				tt.Errorf("the report changes the tokens used from %d to %d", used, now)
			}
			holder.appendRow(tt)
			si.start(2, 0)
			other := si.instances[2]
			other.poll(tt)
			if got := other.shard.Reserve(si.now, testTeam, total-lent+1); got != tc.want {
				tt.Errorf("a request for more than what is left: got %v, want %v", got, tc.want)
			}
		})
	}
}

// startHolder starts the first instance alone, so that it is granted the team's tokens, and returns it.
func (si *simulation) startHolder(tt *testing.T) *testInstance {
	tt.Helper()
	members := si.members
	si.members = members[:1]
	si.start(0, 0)
	holder := si.instances[0]
	si.now += startupSpan + time.Millisecond
	holder.shard.Reset(si.now, keyed.Snapshot{})
	for range 2 {
		holder.appendRow(tt)
	}
	si.members = members
	holder.shard.AddWaiter(si.now, testTeam, si.total*9/10)
	holder.appendRow(tt)
	holder.shard.RemoveWaiter(testTeam, si.total*9/10)
	holder.shard.SetMembers(members)
	return holder
}

// appendRow appends the instance's next row.
func (in *testInstance) appendRow(tt *testing.T) {
	tt.Helper()
	in.poll(tt)
	ba := in.build(tt)
	if ba.Empty() {
		return
	}
	if err := in.view.Append(tt.Context(), ba.Records); err != nil {
		tt.Fatal(err)
	}
	in.shard.Confirm(in.sim.now, ba)
}
