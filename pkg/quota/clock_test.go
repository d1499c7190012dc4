package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestClockStepsAcrossRestarts guards against an age of a row that is too low: an instance spends all that its ceiling allows while it does not reach the
// store, the time of day is set, and it restarts, with or without a reboot. Its next incarnation must count all of it.
func TestClockStepsAcrossRestarts(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := newSimulation(0)
		round := func(list []*testInstance, spender *testInstance) {
			si.now += stepTime
			for _, in := range list {
				in.step(tt)
			}
			sh := spender.shard
			ac := sh.account(testTeam)
			if tokens := ac.limit(si.now, sh.excess(testTeam)) - ac.used(); tokens > 0 {
				spender.reserve(tokens)
				spender.settle(100)
			}
			si.check(tt)
		}
		for range 30 {
			round(si.instances, si.instances[0])
		}
		for range rapid.IntRange(0, 60).Draw(tt, "rounds without the store") {
			round(si.instances[1:], si.instances[0])
		}
		steps := rapid.IntRange(-4, 4)
		in := si.instances[0]
		boot := in.boot
		if rapid.Bool().Draw(tt, "reboot") {
			// The machine is off for a moment, and its boot time starts again.
			si.now += time.Duration(rapid.IntRange(0, 3000).Draw(tt, "off")) * time.Millisecond
			boot = -si.now + time.Duration(rapid.IntRange(0, 500).Draw(tt, "booted"))*time.Millisecond
		} else {
			in.wall = time.Duration(steps.Draw(tt, "seconds")) * time.Second
		}
		si.start(0, boot)
		for range 200 {
			round(si.instances, si.instances[rapid.IntRange(0, propertyInstances-1).Draw(tt, "who")])
		}
	})
}
