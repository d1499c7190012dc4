package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTokensAfterKillsAtReturn guards against tokens that are written off for good when instances are killed about a return of the store: nothing bounded what
// they had used by rows that the store had lost, so that everything counted as used.
func TestTokensAfterKillsAtReturn(tt *testing.T) {
	const total, size = 1_600_000, 500
	cases := []struct {
		name   string
		killed []int
		// share is the part of what is left that can be spent afterwards.
		share float64
	}{
		{"all", []int{0, 1, 2}, 0.15},
		{"all but one", []int{0, 2}, 0.15},
		{"one", []int{1}, 0.4},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			rapid.Check(tt, func(tt *rapid.T) {
				si := newCopies(1, testCopyAge)
				si.silence(tt, testCopyAge+3*time.Second)
				si.total, si.maxTotal = total, total
				for _, in := range si.instances {
					in.shard.SetTotals(map[string]int64{testTeam: total})
				}
				si.knowEachOther()
				serve := func(steps int) {
					for range steps {
						si.silence(tt, stepTime)
						for _, in := range si.instances {
							in.reserve(size)
							in.settle(100)
						}
						si.check(tt)
					}
				}
				kill := func() {
					for _, ix := range tc.killed {
						si.start(ix, 0)
					}
					si.knowEachOther()
				}
				serve(50)
				// Steps from the kill to the return, below zero if the return comes first.
				early := rapid.IntRange(-15, 15).Draw(tt, "steps from the kill to the return")
				if early >= 0 {
					kill()
					serve(early)
				}
				si.restore(tt)
				if early < 0 {
					serve(-early)
					kill()
				}
				si.check(tt)
				left := total - si.used
				si.silence(tt, 12*time.Second)
				got := si.reserveAll(tt, size, 20*time.Second)
				if want := int64(float64(left) * tc.share); got < want {
					tt.Errorf("%d of the %d tokens that are left can be spent, want at least %d", got, left, want)
				}
			})
		})
	}
}

// TestReturnsFromRecentCopies is like TestFaultsBetweenReturns, but no copy is older than the setting says, so that pools grow and become wide meanwhile. Nobody
// need have read what is lost, and instances are cut off.
func TestReturnsFromRecentCopies(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newCopies(1, testCopyAge)
		si.silence(tt, testCopyAge)
		actions := si.actions(tt)
		actions["restore"] = si.restore
		actions["kill all"] = func(tt *rapid.T) {
			si.restore(tt)
			for ix := range si.instances {
				si.start(ix, 0)
			}
		}
		tt.Repeat(actions)
	})
}

// TestSpentBeforeKillsAtReturn lets all instances spend as fast as they can by rows that the store then loses, and kills them. What they have spent must not be
// available again.
func TestSpentBeforeKillsAtReturn(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newCopies(1, testCopyAge)
		si.knowEachOther()
		size := rapid.Int64Range(1, initialTotal/8).Draw(tt, "tokens")
		si.silence(tt, time.Duration(rapid.IntRange(2, 20).Draw(tt, "seconds before"))*time.Second)
		si.reserveAll(tt, size, time.Duration(rapid.IntRange(0, 3).Draw(tt, "seconds of spending before"))*time.Second)
		copied := len(si.topic.records)
		si.reserveAll(tt, size, time.Duration(rapid.IntRange(0, 5).Draw(tt, "seconds of spending"))*time.Second)
		si.topic.restore(len(si.topic.records) - copied)
		for ix := range si.instances {
			si.start(ix, 0)
		}
		si.knowEachOther()
		si.check(tt)
		si.reserveAll(tt, size, 20*time.Second)
	})
}

// TestRowOfCutOffInstanceIsLost guards against tokens that are spent twice because an instance raises its grant, is cut off at once and goes on spending, while
// the store comes back without its row and the others take the same tokens.
func TestRowOfCutOffInstanceIsLost(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newCopies(1, testCopyAge)
		si.knowEachOther()
		for _, in := range si.instances {
			in.reserve(initialTotal / 4)
			in.settle(100)
		}
		si.silence(tt, 2*time.Second)
		copied := len(si.topic.records)
		si.total, si.maxTotal = 3*initialTotal, 3*initialTotal
		for _, in := range si.instances {
			in.shard.SetTotals(map[string]int64{testTeam: si.total})
		}
		si.instances[1].reserve(rapid.Int64Range(1, 2*initialTotal).Draw(tt, "tokens of the request that waits"))
		for range rapid.IntRange(1, 10).Draw(tt, "steps before the return") {
			si.now += stepTime
			si.instances[1].step(tt)
		}
		si.topic.unreachable[1] = true
		si.topic.restore(len(si.topic.records) - copied)
		for range 100 {
			si.silence(tt, stepTime)
			for _, in := range si.instances {
				in.reserve(rapid.Int64Range(1, 60).Draw(tt, "tokens"))
				in.settle(100)
			}
			si.check(tt)
		}
	})
}
