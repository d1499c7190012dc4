package quota

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
	old, err := encodeRow(propertyTeam, "instance-0", Row{Granted: 400, Base: 300, Spent: 300, Delay: time.Minute, Incarnation: 99})
	if err != nil {
		tt.Fatal(err)
	}
	wo.topic.add(0, []keyed.Record{old})
	wo.start(0, 0)
	ho := wo.holders[0]
	ho.purse.Receive(propertyTeam, moved)
	if got := ho.purse.Reserve(wo.now, propertyTeam, moved); got != Reserved {
		tt.Fatalf("what a peer gave is not covered: %d", got)
	}
	ho.purse.Settle(wo.now, propertyTeam, moved, moved)
	if err := ho.view.Poll(context.Background(), 0); err != nil {
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
	if diff := cmp.Diff(int64(350), ho.purse.Balance(wo.now, propertyTeam).Spent); diff != "" {
		tt.Errorf("spent: %s", diff)
	}
}

// TestReturnedBeforeTakeover kills an instance that had returned what a peer gave it: its row is below nothing. The next life must not
// spend those tokens, neither before its own row is in the topic nor after.
func TestReturnedBeforeTakeover(tt *testing.T) {
	const total, returned = 1000, 50
	cases := []struct {
		name string
		// taken is what a peer gives to the new life.
		taken int64
		// steps are what the new life does before it asks for tokens.
		steps func(ho *holder, ba Batch)
		// want is the most that it may spend.
		want int64
	}{
		{"its row is on the way", 0, func(*holder, Batch) {}, 0},
		{"its row was refused", 0, func(ho *holder, ba Batch) { ho.purse.Discard(ba) }, 0},
		{"its row is in the topic", 0, func(ho *holder, ba Batch) { ho.purse.Confirm(ho.world.now, ba) }, 0},
		{"a peer gave to the new life, its row was refused", 30, func(ho *holder, ba Batch) { ho.purse.Discard(ba) }, 30},
		{"a peer gave to the new life, its row, which returns that, is on the way", 30, func(*holder, Batch) {}, 0},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			wo := &purseWorld{topic: &memTopic{cut: map[int]bool{}}, holders: make([]*holder, 1), total: total, most: total}
			old, err := encodeRow(propertyTeam, "instance-0", Row{Granted: -returned, Base: -returned, Spent: 10, Delay: time.Minute, Incarnation: 99})
			if err != nil {
				tt.Fatal(err)
			}
			wo.topic.add(0, []keyed.Record{old})
			wo.start(0, 0)
			ho := wo.holders[0]
			// Five others are better homes, so that this instance only borrows.
			ho.purse.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "instance-0"})
			if ho.purse.isHome(propertyTeam, wo.now) {
				tt.Fatal("the instance is a home; the case needs one that is not")
			}
			ho.purse.Receive(propertyTeam, tc.taken)
			if err := ho.view.Poll(context.Background(), 0); err != nil {
				tt.Fatal(err)
			}
			ba, err := ho.purse.Build(wo.now)
			if err != nil {
				tt.Fatal(err)
			}
			tc.steps(ho, ba)
			spent := int64(0)
			for ho.purse.Reserve(wo.now, propertyTeam, 1) == Reserved {
				spent++
			}
			if diff := cmp.Diff(tc.want, spent); diff != "" {
				tt.Errorf("spent: %s", diff)
			}
		})
	}
}
