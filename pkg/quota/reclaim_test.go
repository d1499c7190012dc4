package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reserveAll reserves single tokens at all instances until none is left, over some time, and returns their number.
func (si *simulation) reserveAll(tt tester, size int64, length time.Duration) int64 {
	before := si.used
	for ends := si.now + length; si.now < ends; {
		si.silence(tt, stepTime)
		for _, in := range si.instances {
			for range 20 {
				in.reserve(size)
				if in.waiting > 0 {
					break
				}
				in.settle(100)
			}
		}
		si.check(tt)
	}
	return si.used - before
}

// knowEachOther makes all instances know the names of those that are there.
func (si *simulation) knowEachOther() {
	si.members = nil
	for _, in := range si.instances {
		si.members = append(si.members, in.name)
	}
	for _, in := range si.instances {
		in.shard.SetMembers(si.members)
	}
}

// TestTokensOfLostInstances guards against tokens that stay with instances which are lost for good: after some losses a team could spend hardly anything.
func TestTokensOfLostInstances(tt *testing.T) {
	const total, size = 1_600_000, 500
	cases := []struct {
		name string
		// lost are the instances that are lost, one after the other or at once, and replaced.
		lost   []int
		atOnce bool
		// demand is the number of requests of each instance in a step before each loss, and share the part of what is left that must be spent.
		demand int
		share  float64
	}{
		{"all at once", []int{0, 1, 2}, true, 2, 0.7},
		{"one", []int{1}, false, 2, 0.85},
		{"twelve one after the other", []int{0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2}, false, 0, 0.5},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			si := newCopies(1, testCopyAge)
			si.total, si.maxTotal = total, total
			for _, in := range si.instances {
				in.shard.SetTotals(map[string]int64{testTeam: total})
			}
			serve := func() {
				for range 50 {
					si.silence(tt, stepTime)
					for _, in := range si.instances {
						for range tc.demand {
							in.reserve(size)
							in.settle(100)
						}
					}
				}
			}
			si.knowEachOther()
			serve()
			for _, who := range tc.lost {
				si.replace(who)
				si.knowEachOther()
				if !tc.atOnce {
					si.silence(tt, longLostSpan+2*time.Second)
					serve()
				}
			}
			left := total - si.used
			got := si.reserveAll(tt, size, 60*time.Second)
			if want := int64(float64(left) * tc.share); got < want {
				tt.Errorf("%d of the %d tokens that are left can be spent, want at least %d", got, left, want)
			}
		})
	}
}

// TestCutOffInstanceAfterReclaim cuts an instance off for so long that tokens are taken back from it. It goes on spending what its row allows, also after its
// return, and nothing is spent twice.
func TestCutOffInstanceAfterReclaim(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newCopies(1, testCopyAge)
		si.silence(tt, 3*time.Second)
		si.topic.unreachable[1] = true
		cutOff := si.instances[1]
		for range rapid.IntRange(0, 10).Draw(tt, "requests before") {
			cutOff.reserve(rapid.Int64Range(1, 60).Draw(tt, "tokens"))
		}
		si.silence(tt, longLostSpan+time.Second)
		for range 40 {
			si.now += stepTime
			for _, in := range si.instances {
				in.reserve(rapid.Int64Range(1, 60).Draw(tt, "tokens"))
				in.step(tt)
				in.settle(rapid.Int64Range(0, 100).Draw(tt, "share"))
			}
			si.check(tt)
			if rapid.IntRange(0, 20).Draw(tt, "returns") == 0 {
				si.topic.unreachable[1] = false
			}
		}
	})
}
