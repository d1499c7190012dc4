package quota

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// TestSpentBeforeTakeover lets an incarnation spend borrowed tokens before it has read the row of the earlier incarnation. Both the
// borrowed tokens and those of the earlier row must count as spent.
func TestSpentBeforeTakeover(tt *testing.T) {
	const total, borrowed = 1000, 50
	si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 1), total: total, maxTotal: total}
	old, err := encodeRow(testTeam, "instance-0", Row{Granted: 400, Base: 300, Spent: 300, Delay: time.Minute, Incarnation: 99})
	if err != nil {
		tt.Fatal(err)
	}
	si.topic.add(0, []keyed.Record{old})
	si.start(0, 0)
	in := si.instances[0]
	in.shard.Receive(testTeam, borrowed)
	if got := in.shard.Reserve(si.now, testTeam, borrowed); got != Reserved {
		tt.Fatalf("Reserve of borrowed tokens: got result %d, want Reserved", got)
	}
	in.shard.Settle(si.now, testTeam, borrowed, borrowed)
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
	ac := in.shard.account(testTeam)
	// The 300 tokens of the earlier incarnation count against this instance's grant, the 50 borrowed ones against the grant of the lender.
	if diff := cmp.Diff(int64(300), ac.used()); diff != "" {
		tt.Errorf("tokens used of this instance's grant (-want +got): %s", diff)
	}
	if diff := cmp.Diff(int64(350), in.shard.Balance(si.now, testTeam).Spent); diff != "" {
		tt.Errorf("tokens spent (-want +got): %s", diff)
	}
}

// TestReturnedBeforeTakeover restarts an instance whose last row has a negative grant: by that row it returned borrowed tokens to the
// team's total. The next incarnation must not spend those tokens, neither before its own row is in the topic nor after.
func TestReturnedBeforeTakeover(tt *testing.T) {
	const total, returned = 1000, 50
	cases := []struct {
		name string
		// borrowed is what a peer lends to the new incarnation.
		borrowed int64
		// prepare runs before the new incarnation reserves tokens.
		prepare func(in *testInstance, ba Batch)
		// want is the number of tokens that the new incarnation can reserve.
		want int64
	}{
		{"its row is in flight", 0, func(*testInstance, Batch) {}, 0},
		{"its row was refused", 0, func(in *testInstance, ba Batch) { in.shard.Discard(ba) }, 0},
		{"its row is in the topic", 0, func(in *testInstance, ba Batch) { in.shard.Confirm(in.sim.now, ba) }, 0},
		{"a peer lent to the new incarnation, whose row was refused", 30, func(in *testInstance, ba Batch) { in.shard.Discard(ba) }, 30},
		{"a peer lent to the new incarnation, whose row in flight returns the loan", 30, func(*testInstance, Batch) {}, 0},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			si := &simulation{topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, 1), total: total, maxTotal: total}
			old, err := encodeRow(testTeam, "instance-0", Row{Granted: -returned, Base: -returned, Spent: 10, Delay: time.Minute, Incarnation: 99})
			if err != nil {
				tt.Fatal(err)
			}
			si.topic.add(0, []keyed.Record{old})
			si.start(0, 0)
			in := si.instances[0]
			// With these members, the assigned holders are other instances, so this one only borrows.
			in.shard.SetMembers([]string{"a", "b", "c", "d", "e", "f", "g", "h", "instance-0"})
			if in.shard.isAssigned(testTeam, si.now) {
				tt.Fatal("the instance is an assigned holder; the test needs one that is not")
			}
			in.shard.Receive(testTeam, tc.borrowed)
			if err := in.view.Poll(context.Background(), 0); err != nil {
				tt.Fatal(err)
			}
			ba, err := in.shard.Build(si.now)
			if err != nil {
				tt.Fatal(err)
			}
			tc.prepare(in, ba)
			reserved := int64(0)
			for in.shard.Reserve(si.now, testTeam, 1) == Reserved {
				reserved++
			}
			if diff := cmp.Diff(tc.want, reserved); diff != "" {
				tt.Errorf("tokens reserved (-want +got): %s", diff)
			}
		})
	}
}
