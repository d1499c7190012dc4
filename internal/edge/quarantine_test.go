package edge

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/blame"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// quarantines is a set of quarantines with one clock. Notices are delivered only if notify is set.
type quarantines struct {
	now    time.Duration
	notify bool
	list   []*quarantine
}

func newQuarantines(count int) *quarantines {
	qs := &quarantines{now: time.Second}
	for ix := range count {
		qs.list = append(qs.list, newQuarantine(quarantineConfig{
			Clock:  func() time.Duration { return qs.now },
			Wall:   func() time.Time { return time.Unix(1_700_000_000, 0).Add(qs.now) },
			Notify: func(nt mesh.CrashNotice) { qs.deliver(ix, nt) },
			Logger: logr.Discard(),
		}))
	}
	return qs
}

func (qs *quarantines) deliver(from int, nt mesh.CrashNotice) {
	for ix, qu := range qs.list {
		if qs.notify && ix != from {
			qu.applyNotice(nt)
		}
	}
}

// blocked returns, for each quarantine, whether it blocks the request.
func (qs *quarantines) blocked(rq blame.Request) []bool {
	var list []bool
	for _, qu := range qs.list {
		_, ok := qu.Blocked(rq)
		list = append(list, ok)
	}
	return list
}

// crash records a crash at one quarantine.
func (qs *quarantines) crash(ix int, rq blame.Request, endpoint string) {
	qs.now += 10 * time.Millisecond
	qs.list[ix].RecordCrash(rq, qs.now-time.Millisecond, &roster.Endpoint{ID: endpoint, StartedMillis: 1})
}

// TestGuard checks that two instances add up the crashes caused by requests with the same hash, and that crashes expire.
func TestGuard(tt *testing.T) {
	qs := newQuarantines(2)
	first, second := qs.list[0], qs.list[1]
	rq := blame.Request{Content: 0xabcdef}
	steps := []struct {
		name string
		do   func()
		want []bool
	}{
		{"two crashes here", func() {
			qs.crash(0, rq, "a")
			qs.crash(0, rq, "b")
			qs.crash(0, rq, "b")
		}, []bool{false, false}},
		{"one crash at the other instance", func() { qs.crash(1, rq, "c") }, []bool{false, false}},
		{"the second instance reads the records of the first", func() { second.applyRecords(first.takeUnsent()) }, []bool{false, true}},
		{"the first instance reads the records of the second", func() { first.applyRecords(second.takeUnsent()) }, []bool{true, true}},
		{"the crashes expire", func() { qs.now += 10 * time.Minute }, []bool{false, false}},
	}
	for _, st := range steps {
		st.do()
		if diff := cmp.Diff(st.want, qs.blocked(rq)); diff != "" {
			tt.Errorf("after step %q, the instances that block the content differ (-want +got):\n%s", st.name, diff)
		}
	}
}

// TestCrashOfOlderBuild checks that the records of builds that count whole requests only are understood.
func TestCrashOfOlderBuild(tt *testing.T) {
	qs := newQuarantines(1)
	qs.list[0].applyRecords([]keyed.Record{
		{Key: "crash/0000000000abcdef/a", Value: []byte{1}},
		{Key: "crash/0000000000abcdef/b", Value: []byte{1}},
		{Key: "crash/0000000000abcdef/c", Value: []byte{1}},
		{Key: "crash/nonsense", Value: []byte{1}},
		{Key: "crash/1/x", Value: []byte("{")},
	})
	if diff := cmp.Diff([]bool{true}, qs.blocked(blame.Request{Content: 0xabcdef})); diff != "" {
		tt.Error(diff)
	}
}

// TestRefutedCrashIsWithdrawn checks that an answer removes the crash records of its parts at all instances, and that a restarted instance,
// which reads only what is left in the store, does not block them.
func TestRefutedCrashIsWithdrawn(tt *testing.T) {
	qs := newQuarantines(3)
	qs.notify = true
	dead := func(content uint64) blame.Request { return blame.Request{Content: content, Parts: []uint64{1, 2, 3}} }
	sound := blame.Request{Content: 99, Parts: []uint64{1, 2}}
	for ix, endpoint := range []string{"a", "b", "c", "d"} {
		qs.crash(ix%2, dead(uint64(10+ix)), endpoint)
	}
	if diff := cmp.Diff([]bool{true, true, true}, qs.blocked(dead(20))); diff != "" {
		tt.Errorf("instances that block the cause (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]bool{false, false, false}, qs.blocked(sound)); diff != "" {
		tt.Errorf("instances that block a request with other parts of the cause (-want +got):\n%s", diff)
	}
	var topic []keyed.Record
	for _, qu := range qs.list {
		topic = append(topic, qu.takeUnsent()...)
	}
	for _, qu := range qs.list {
		qu.applyRecords(topic)
		qu.RecordAnswer(sound)
	}
	for _, qu := range qs.list {
		topic = append(topic, qu.takeUnsent()...)
	}
	newest := map[string]keyed.Record{}
	for _, re := range topic {
		newest[re.Key] = re
	}
	restarted := newQuarantines(1)
	restarted.now = qs.now
	for _, re := range newest {
		if len(re.Value) > 0 {
			restarted.list[0].applyRecords([]keyed.Record{re})
		}
	}
	only := blame.Request{Content: 50, Parts: []uint64{3}}
	if diff := cmp.Diff([]bool{true, false}, append(restarted.blocked(only), restarted.blocked(sound)...)); diff != "" {
		tt.Errorf("what the restarted instance blocks, the cause and a sound request (-want +got):\n%s", diff)
	}
}
