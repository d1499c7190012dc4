package purse

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// TestSpentBeforeTakeover lets a new life spend tokens of a peer before it takes up what its earlier life left: both count.
func TestSpentBeforeTakeover(tt *testing.T) {
	const total, moved = 1000, 50
	wo := &purseWorld{topic: &memTopic{cut: map[int]bool{}}, holders: make([]*holder, 1), total: total, most: total}
	old, err := encodeRow(propertyTeam, "instance-0", Row{Granted: 400, Base: 300, Spent: 300, Delay: time.Minute, Life: 99})
	if err != nil {
		tt.Fatal(err)
	}
	wo.topic.add(0, []keyed.Record{old})
	wo.start(0, 0)
	ho := wo.holders[0]
	ho.purse.Take(propertyTeam, moved)
	if got := ho.purse.Reserve(wo.now, propertyTeam, moved); got != Covered {
		tt.Fatalf("what a peer gave is not covered: %d", got)
	}
	ho.purse.Settle(wo.now, propertyTeam, moved, moved)
	if err := ho.view.Advance(context.Background(), 0); err != nil {
		tt.Fatal(err)
	}
	ba, err := ho.purse.Build(wo.now)
	if err != nil {
		tt.Fatal(err)
	}
	if _, err := (port{topic: wo.topic}).Append(context.Background(), ho.view.Next(), ba.Records); err != nil {
		tt.Fatal(err)
	}
	ho.purse.Confirm(wo.now, ba)
	ac := ho.purse.account(propertyTeam)
	// 300 of the earlier life count here, the 50 of the peer count at the peer.
	if diff := cmp.Diff(int64(300), ac.used()); diff != "" {
		tt.Errorf("used of the own grant: %s", diff)
	}
	if diff := cmp.Diff(int64(350), ho.purse.Figures(wo.now, propertyTeam).Spent); diff != "" {
		tt.Errorf("spent: %s", diff)
	}
}
