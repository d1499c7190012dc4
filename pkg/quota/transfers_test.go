package quota

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const transferTotal = 1_000_000

// newHolders returns three instances. The given number of them hold grants of a team, the others only read the rows.
func newHolders(tt *testing.T, holders int) *simulation {
	tt.Helper()
	si := &simulation{
		topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 3), total: transferTotal, maxTotal: transferTotal,
	}
	for ix := range si.instances {
		si.start(ix, 0)
	}
	si.rounds(tt, holders, 25)
	return si
}

// rounds lets the holders, which are the first instances, read and append their rows in each of the given number of steps.
func (si *simulation) rounds(tt *testing.T, holders, count int) {
	tt.Helper()
	for range count {
		si.now += stepTime
		for _, in := range si.instances[:holders] {
			in.replayStep(tt)
		}
	}
}

// lend lends tokens from one instance to another in several loans, with a round in between, since ceilings bound each.
func (si *simulation) lend(tt *testing.T, holders, from, to int, tokens int64) {
	tt.Helper()
	for count := 0; tokens > 0; count++ {
		if count == 200 {
			tt.Fatalf("%d tokens could not be lent", tokens)
		}
		lent, _ := si.instances[from].shard.Lend(si.now, testTeam, tokens)
		si.instances[to].shard.Receive(testTeam, lent)
		tokens -= lent
		si.rounds(tt, holders, 1)
	}
}

// spend makes an instance spend the given number of tokens, in parts with a round after each.
func (si *simulation) spend(tt *testing.T, holders, who int, tokens int64) {
	tt.Helper()
	const part = 5000
	for count := tokens / part; count > 0; count-- {
		sh := si.instances[who].shard
		if got := sh.Reserve(si.now, testTeam, part); got != Reserved {
			tt.Fatalf("Reserve at instance %d: got result %d, want Reserved", who, got)
		}
		sh.Settle(si.now, testTeam, part, part)
		si.used += part
		si.rounds(tt, holders, 1)
	}
}

// TestLentTokensCountOnceAfterRestart guards against a restarted lender that counts lent tokens as written off. A borrower with a row counts the same
// tokens as spent; the team then seemed to have fewer tokens than it has, and requests were refused with Uncertain.
func TestLentTokensCountOnceAfterRestart(tt *testing.T) {
	const lent, spent = 150_000, 140_000
	cases := []struct {
		name    string
		holders int
	}{
		{"the borrower has a row", 3},
		{"the borrower has no row", 2},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			si := newHolders(tt, tc.holders)
			si.lend(tt, tc.holders, 0, 2, lent)
			si.spend(tt, tc.holders, 2, spent)
			si.rounds(tt, tc.holders, 16)
			before := si.instances[1].shard.Balance(si.now, testTeam)
			si.start(0, 0)
			si.rounds(tt, tc.holders, 3)
			after := si.instances[1].shard.Balance(si.now, testTeam)
			// The restart can only write off the slack of the row: a part of the grant.
			if bound := int64(transferTotal * maxLossPercent / percent); after.WrittenOff > bound {
				tt.Errorf("%d tokens are written off, want at most the slack of %d", after.WrittenOff, bound)
			}
			if diff := cmp.Diff(before.Remaining, after.Remaining); diff != "" {
				tt.Errorf("tokens that may remain, before and after the restart (-before +after): %s", diff)
			}
			surely := after.Remaining - after.WrittenOff - after.Lent
			if least := int64(transferTotal - lent - transferTotal*maxLossPercent/percent); surely < least {
				tt.Errorf("%d tokens surely remain, want at least %d", surely, least)
			}
			if got := si.instances[1].shard.Reserve(si.now, testTeam, surely*9/10); got == Uncertain || got == Exhausted {
				tt.Errorf("Reserve of 9 in 10 of the tokens that surely remain: got result %d", got)
			}
		})
	}
}

// TestSentTokensCountOnceAfterRestart guards against tokens that a stopping holder sends to another one during an outage of the store, and that its next
// incarnation calls written off: only the row of the other holder shows that they were transferred.
func TestSentTokensCountOnceAfterRestart(tt *testing.T) {
	cases := []struct {
		name string
		// receiverFirst is true if the receiver writes its row before the sender has restarted.
		receiverFirst bool
	}{
		{"the receiver writes its row first", true},
		{"the sender restarts first", false},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			si := newHolders(tt, 3)
			si.topic.unreachable = map[int]bool{0: true, 1: true, 2: true}
			si.instances[0].shard.Close()
			sent := int64(0)
			for range 50 {
				si.now += stepTime
				for _, su := range si.instances[0].shard.ReleaseSurpluses(si.now, true, func(string) bool { return false }) {
					si.instances[1].shard.Receive(su.Team, su.Tokens)
					sent += su.Tokens
				}
			}
			if sent < 100_000 {
				tt.Fatalf("only %d tokens were sent", sent)
			}
			si.topic.unreachable = map[int]bool{}
			si.start(0, 0)
			order := []int{0, 1, 2}
			if tc.receiverFirst {
				order = []int{1, 2, 0}
			}
			for _, ix := range order {
				si.instances[ix].replayStep(tt)
			}
			si.rounds(tt, 3, 16)
			ba := si.instances[2].shard.Balance(si.now, testTeam)
			if diff := cmp.Diff([]int64{transferTotal, 0}, []int64{ba.Remaining, ba.Lent}); diff != "" {
				tt.Errorf("tokens that remain, tokens lent to instances without a row (-want +got): %s", diff)
			}
			if ba.WrittenOff > minSurplus {
				tt.Errorf("%d tokens are written off, but all but %d were sent to the other holder", ba.WrittenOff, int64(minSurplus))
			}
			if got := si.instances[2].shard.Reserve(si.now, testTeam, transferTotal-2*minSurplus); got == Uncertain || got == Exhausted {
				tt.Errorf("Reserve of nearly all tokens: got result %d", got)
			}
		})
	}
}

// TestRowsOfOtherBuilds guards against rows without the fields of this build, and rows of this build that an older one inherits: what the row allowed must
// count against the grant, also where the row does not state transfers.
func TestRowsOfOtherBuilds(tt *testing.T) {
	cases := []struct {
		name string
		row  Row
		// want are the tokens used, spent, lent and written off of the next incarnation.
		want []int64
	}{
		{"without net transfers", Row{Granted: 400, Base: 350, Spent: 300}, []int64{350, 350, 0, 50}},
		{"with net transfers", Row{Granted: 400, Base: 350, Spent: 100, NetLent: 200}, []int64{350, 150, 200, 50}},
		{"lent tokens in both, after a restart of an older build", Row{Granted: 400, Base: 350, Spent: 300, WrittenOff: 200}, []int64{350, 350, 0, 250}},
		{"a grant below what it states as spent", Row{Granted: -50, Base: -50, Spent: 10}, []int64{-50, 10, -60, 0}},
		{"received tokens", Row{Granted: 100, Base: 80, Spent: 90, NetLent: -30}, []int64{80, 110, -30, 20}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tc.row.Delay, tc.row.Incarnation = time.Minute, 99
			si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 1), total: 1000, maxTotal: 1000}
			old, err := encodeRow(testTeam, "instance-0", tc.row)
			if err != nil {
				tt.Fatal(err)
			}
			si.topic.add(0, []keyed.Record{old})
			si.start(0, 0)
			in := si.instances[0]
			in.poll(tt)
			ba := in.build(tt)
			if err := in.view.Append(context.Background(), ba.Records); err != nil {
				tt.Fatal(err)
			}
			in.shard.Confirm(si.now, ba)
			ac := in.shard.account(testTeam)
			if diff := cmp.Diff(tc.want, []int64{ac.used(), ac.totalSpent(), ac.netLent(), ac.writtenOff}); diff != "" {
				tt.Errorf("tokens used, spent, lent and written off (-want +got): %s", diff)
			}
			// A takeover tells what it writes off itself, without what the row had written off already.
			reported := int64(0)
			for _, ta := range in.shard.TakeTakeovers() {
				reported += ta.WrittenOff
			}
			if diff := cmp.Diff(ac.writtenOff-tc.row.WrittenOff, reported); diff != "" {
				tt.Errorf("tokens written off by the takeover (-want +got): %s", diff)
			}
		})
	}
}
