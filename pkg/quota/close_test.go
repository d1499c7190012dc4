package quota

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestCloseReturnsAll closes an instance that has spent a part of its grant, and restarts it. No tokens must be written off, since the row
// shows what was spent.
func TestCloseReturnsAll(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 2), total: 10_000, maxTotal: 10_000}
		si.start(0, 0)
		si.start(1, 0)
		first, second := si.instances[0], si.instances[1]
		for range 30 {
			si.now += startupSpan / 10
			first.step(tt)
			second.step(tt)
		}
		tokens := rapid.Int64Range(1, 20).Draw(tt, "tokens")
		first.reserve(tokens)
		first.settle(100)
		first.shard.Close()
		for range 3 {
			si.now += stepTime
			first.step(tt)
		}
		if !first.shard.Settled() {
			tt.Fatal("Settled returns false three steps after Close")
		}
		si.start(0, 0)
		si.instances[0].step(tt)
		balance := si.instances[0].shard.Balance(si.now, testTeam)
		if diff := cmp.Diff([]int64{tokens, 0}, []int64{balance.Spent, balance.WrittenOff}); diff != "" {
			tt.Fatal(diff)
		}
	})
}
