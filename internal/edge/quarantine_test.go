package edge

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
)

// TestGuard checks that two instances add up the crashes caused by requests with the same hash, and that crashes expire.
func TestGuard(tt *testing.T) {
	now := time.Second
	clock := func() time.Duration { return now }
	first, second := newQuarantine(clock, logr.Discard()), newQuarantine(clock, logr.Discard())
	const content = 0xabcdef
	steps := []struct {
		name string
		do   func()
		want []bool
	}{
		{"two crashes here", func() {
			first.RecordCrash(content, "a")
			first.RecordCrash(content, "b")
			first.RecordCrash(content, "b")
		}, []bool{false, false}},
		{"one crash at the other instance", func() { second.RecordCrash(content, "c") }, []bool{false, false}},
		{"the second instance reads the records of the first", func() { second.applyRecords(first.takeUnsent()) }, []bool{false, true}},
		{"the first instance reads the records of the second", func() { first.applyRecords(second.takeUnsent()) }, []bool{true, true}},
		{"the crashes expire", func() { now += crashSpan }, []bool{false, false}},
	}
	for _, st := range steps {
		st.do()
		if diff := cmp.Diff(st.want, []bool{first.Blocked(content), second.Blocked(content)}); diff != "" {
			tt.Errorf("after step %q, the instances that block the content differ (-want +got):\n%s", st.name, diff)
		}
	}
}
