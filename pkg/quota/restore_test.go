package quota

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStoreRestoredFromOlderCopy is like TestNeverOverspent, but the store also comes back from older copies. The second instance has read what
// is lost, as the instances read each other's rows all the time, and only the first one restarts; it is then the second one that knows its rows.
func TestStoreRestoredFromOlderCopy(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newSimulation(1)
		for _, in := range si.instances {
			in.step(tt)
		}
		first := len(si.topic.records)
		actions := si.actions(tt)
		restart, trim := actions["restart"], actions["trim"]
		actions["trim"] = func(tt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(tt, "trim") == 0 {
				trim(tt)
			}
		}
		actions["restart"] = func(tt *rapid.T) {
			if !si.witness() {
				return
			}
			kept := append([]*testInstance{}, si.instances[1:]...)
			restart(tt)
			copy(si.instances[1:], kept)
		}
		actions["restore"] = func(tt *rapid.T) {
			if si.witness() {
				si.topic.restore(min(rapid.IntRange(0, 40).Draw(tt, "records"), len(si.topic.records)-first))
			}
		}
		tt.Repeat(actions)
	})
}

// witness makes the second instance read the topic, and reports whether it has.
func (si *simulation) witness() bool {
	return si.instances[1].view.Poll(context.Background(), 0) == nil
}

// restoreCase is what happens between a copy of the store and the time after its return.
type restoreCase struct {
	name string
	// spender spends after the copy, and killed instances restart when the store returns.
	spender int
	killed  []int
	// again are the instances that restart once more right after they have appended their first rows of the new era, of which the store then loses all.
	again []int
	// empty is true if the copy is older than all rows.
	empty bool
}

// TestSpentAfterCopyIsForgotten lets one instance spend after the copy from which the store comes back. The others, and its own next incarnations, must
// not spend these tokens again, whoever was killed meanwhile.
func TestSpentAfterCopyIsForgotten(tt *testing.T) {
	cases := []restoreCase{
		{name: "nobody is killed", spender: 1},
		{name: "the spender is killed, the others know its rows", spender: 1, killed: []int{1}},
		{name: "the others are killed", spender: 1, killed: []int{0, 2}},
		{name: "all are killed", spender: 1, killed: []int{0, 1, 2}},
		{name: "all are killed, then the spender and the store return once more", spender: 1, killed: []int{0, 1, 2}, again: []int{1}},
		{name: "the spender is killed twice", spender: 1, killed: []int{1}, again: []int{1}},
		{name: "the copy is empty, nobody is killed", spender: 1, empty: true},
		{name: "the copy is empty, the spender is killed", spender: 1, killed: []int{1}, empty: true},
		{name: "the copy is empty, the others are killed", spender: 1, killed: []int{0, 2}, empty: true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			rapid.Check(tt, func(tt *rapid.T) { tc.run(tt) })
		})
	}
}

func (rc restoreCase) run(tt *rapid.T) {
	si := newSimulation(1)
	rounds := func(count int, who ...int) {
		for range count {
			si.now += stepTime
			for _, in := range si.instances {
				in.step(tt)
			}
			for _, ix := range who {
				si.instances[ix].reserve(rapid.Int64Range(1, 60).Draw(tt, "tokens"))
				si.instances[ix].settle(100)
			}
		}
	}
	rounds(20)
	copied := len(si.topic.records)
	if rc.empty {
		copied = 0
	}
	rounds(rapid.IntRange(0, 40).Draw(tt, "rounds"), rc.spender)
	si.topic.restore(len(si.topic.records) - copied)
	for _, ix := range rc.killed {
		si.start(ix, 0)
	}
	si.check(tt)
	if len(rc.again) > 0 {
		rounds(rapid.IntRange(0, 30).Draw(tt, "rounds before the second return"), 0, 1, 2)
		si.topic.restore(len(si.topic.records) - copied)
	}
	for _, ix := range rc.again {
		si.start(ix, 0)
	}
	for range 75 {
		rounds(1, 0, 1, 2)
		si.check(tt)
	}
}

// TestKillsBetweenReturns lets all instances spend while some of them are killed at each of several returns of the store, from copies of any age.
func TestKillsBetweenReturns(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newSimulation(1)
		round := func(spending bool) {
			si.now += stepTime
			if spending && rapid.IntRange(0, 7).Draw(tt, "trim") == 0 {
				si.topic.firstOffset = int64(len(si.topic.records))
			}
			for _, in := range si.instances {
				in.step(tt)
			}
			for _, in := range si.instances {
				if spending && rapid.Bool().Draw(tt, "spends") {
					in.reserve(rapid.Int64Range(1, 60).Draw(tt, "tokens"))
					in.settle(100)
				}
			}
			si.check(tt)
		}
		for range 10 {
			round(false)
		}
		first := len(si.topic.records)
		for range rapid.IntRange(1, 4).Draw(tt, "returns") {
			for range rapid.IntRange(0, 30).Draw(tt, "rounds") {
				round(true)
			}
			// The instances read each other's last rows before the store goes away.
			for _, in := range si.instances {
				_ = in.view.Poll(context.Background(), 0)
			}
			si.topic.restore(rapid.IntRange(0, len(si.topic.records)-first).Draw(tt, "lost records"))
			first = min(first, len(si.topic.records))
			for ix := range si.instances {
				if rapid.Bool().Draw(tt, "killed") {
					si.start(ix, 0)
				}
			}
		}
		for range 60 {
			round(true)
		}
	})
}

// TestFaultsBetweenReturns is like TestNeverOverspent, but the store also comes back from copies of any age, and any instances restart. The instances read
// each other's last rows before each restart and each return.
func TestFaultsBetweenReturns(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newSimulation(1)
		for _, in := range si.instances {
			in.step(tt)
		}
		first := len(si.topic.records)
		readAll := func() {
			for _, in := range si.instances {
				_ = in.view.Poll(context.Background(), 0)
			}
		}
		actions := si.actions(tt)
		restart := actions["restart"]
		delete(actions, "cut")
		actions["restart"] = func(tt *rapid.T) {
			readAll()
			restart(tt)
		}
		actions["restore"] = func(tt *rapid.T) {
			readAll()
			si.topic.restore(min(rapid.IntRange(0, 40).Draw(tt, "records"), len(si.topic.records)-first))
		}
		tt.Repeat(actions)
	})
}

// TestUnreadRowsAfterReturn guards against a killed instance forgetting what it spent under its last row, which raised its ceiling for a waiting request, if the
// store has lost this row and no other instance had read it.
func TestUnreadRowsAfterReturn(tt *testing.T) {
	const total, large = 200_000, 20_000
	cases := []struct {
		name string
		// away is the time until the killed instance starts again; after a while the others state its rows in its stead.
		away time.Duration
	}{
		{"it starts again at once", 2 * time.Second},
		{"it starts again after the others have stated its rows", 2 * maxSettleTime},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			si := newSimulation(1)
			si.total, si.maxTotal = total, total
			for _, in := range si.instances {
				in.shard.SetTotals(map[string]int64{testTeam: total})
			}
			round := func(list []*testInstance) {
				si.now += stepTime
				for _, in := range list {
					in.poll(tt)
					ba := in.build(tt)
					if err := in.view.Append(context.Background(), ba.Records); err != nil {
						tt.Fatal(err)
					}
					in.shard.Confirm(si.now, ba)
				}
			}
			si.knowEachOther()
			for range 25 {
				round(si.instances)
			}
			for _, in := range si.instances {
				in.poll(tt)
			}
			in, copied := si.instances[1], len(si.topic.records)
			in.reserve(large)
			round(si.instances[1:2])
			in.reserve(0)
			if len(in.reserved) != 1 {
				tt.Fatalf("the request was not served: %+v", in.shard.Balance(si.now, testTeam))
			}
			in.settle(100)
			round(si.instances[1:2])
			si.topic.restore(len(si.topic.records) - copied)
			others := []*testInstance{si.instances[0], si.instances[2]}
			for ends := si.now + tc.away; si.now < ends; {
				round(others)
			}
			si.start(1, 0)
			for range 30 {
				round(si.instances)
			}
			if spent := si.instances[1].shard.Balance(si.now, testTeam).Spent; spent < large {
				tt.Errorf("%d tokens count as spent by the instance that was killed, want at least the %d of its last request", spent, large)
			}
		})
	}
}
