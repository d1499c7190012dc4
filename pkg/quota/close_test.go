package quota

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestCloseReturnsAll closes an instance that has spent a part of its grant: the rest is free, and its next life has lost nothing.
func TestCloseReturnsAll(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		wo := &purseWorld{topic: &memTopic{cut: map[int]bool{}}, holders: make([]*holder, 2), total: 10_000, most: 10_000}
		wo.start(0, 0)
		wo.start(1, 0)
		first, second := wo.holders[0], wo.holders[1]
		for range 30 {
			wo.now += youngSpan / 10
			first.step(tt)
			second.step(tt)
		}
		tokens := rapid.Int64Range(1, 20).Draw(tt, "tokens")
		first.reserve(tokens)
		first.settle(100)
		first.purse.Close()
		for range 3 {
			wo.now += stepTime
			first.step(tt)
		}
		if !first.purse.Settled() {
			tt.Fatal("not settled")
		}
		wo.start(0, 0)
		wo.holders[0].step(tt)
		figures := wo.holders[0].purse.Balance(wo.now, propertyTeam)
		if diff := cmp.Diff([]int64{tokens, 0}, []int64{figures.Spent, figures.WrittenOff}); diff != "" {
			tt.Fatal(diff)
		}
	})
}
