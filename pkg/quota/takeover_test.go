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
	si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 1), total: total, maxTotal: total}
	old, err := encodeRow(propertyTeam, "instance-0", Row{Granted: 400, Base: 300, Spent: 300, Delay: time.Minute, Incarnation: 99})
	if err != nil {
		tt.Fatal(err)
	}
	si.topic.add(0, []keyed.Record{old})
	si.start(0, 0)
	in := si.instances[0]
	in.shard.Receive(propertyTeam, moved)
	if got := in.shard.Reserve(si.now, propertyTeam, moved); got != Reserved {
		tt.Fatalf("what a peer gave is not covered: %d", got)
	}
	in.shard.Settle(si.now, propertyTeam, moved, moved)
	if err := in.view.Poll(context.Background(), 0); err != nil {
		tt.Fatal(err)
	}
	ba, err := in.shard.Build(si.now)
	if err != nil {
		tt.Fatal(err)
	}
	if _, err := (topicClient{topic: si.topic}).Append(context.Background(), in.view.Next(), ba.Records); err != nil {
		tt.Fatal(err)
	}
	in.shard.Confirm(si.now, ba)
	ac := in.shard.account(propertyTeam)
	// 300 of the earlier life count here, the 50 of the peer count at the peer.
	if diff := cmp.Diff(int64(300), ac.used()); diff != "" {
		tt.Errorf("used of the own grant: %s", diff)
	}
	if diff := cmp.Diff(int64(350), in.shard.Balance(si.now, propertyTeam).Spent); diff != "" {
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
		steps func(in *testInstance, ba Batch)
		// want is the most that it may spend.
		want int64
	}{
		{"its row is on the way", 0, func(*testInstance, Batch) {}, 0},
		{"its row was refused", 0, func(in *testInstance, ba Batch) { in.shard.Discard(ba) }, 0},
		{"its row is in the topic", 0, func(in *testInstance, ba Batch) { in.shard.Confirm(in.sim.now, ba) }, 0},
		{"a peer gave to the new life, its row was refused", 30, func(in *testInstance, ba Batch) { in.shard.Discard(ba) }, 30},
		{"a peer gave to the new life, its row, which returns that, is on the way", 30, func(*testInstance, Batch) {}, 0},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 1), total: total, maxTotal: total}
			old, err := encodeRow(propertyTeam, "instance-0", Row{Granted: -returned, Base: -returned, Spent: 10, Delay: time.Minute, Incarnation: 99})
			if err != nil {
				tt.Fatal(err)
			}
			si.topic.add(0, []keyed.Record{old})
			si.start(0, 0)
			in := si.instances[0]
			// Five others are better homes, so that this instance only borrows.
			in.shard.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "instance-0"})
			if in.shard.isAssigned(propertyTeam, si.now) {
				tt.Fatal("the instance is a home; the case needs one that is not")
			}
			in.shard.Receive(propertyTeam, tc.taken)
			if err := in.view.Poll(context.Background(), 0); err != nil {
				tt.Fatal(err)
			}
			ba, err := in.shard.Build(si.now)
			if err != nil {
				tt.Fatal(err)
			}
			tc.steps(in, ba)
			spent := int64(0)
			for in.shard.Reserve(si.now, propertyTeam, 1) == Reserved {
				spent++
			}
			if diff := cmp.Diff(tc.want, spent); diff != "" {
				tt.Errorf("spent: %s", diff)
			}
		})
	}
}
