package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestGuard lets two instances see the crashes of one content.
func TestGuard(tt *testing.T) {
	now := time.Second
	clock := func() time.Duration { return now }
	first, second := newQuarantine(clock), newQuarantine(clock)
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
		{"one crash elsewhere", func() { second.RecordCrash(content, "c") }, []bool{false, false}},
		{"told to the other", func() { second.applyRecords(first.takeUnsent()) }, []bool{false, true}},
		{"told back", func() { first.applyRecords(second.takeUnsent()) }, []bool{true, true}},
		{"forgotten after a while", func() { now += crashSpan }, []bool{false, false}},
	}
	for _, st := range steps {
		st.do()
		if diff := cmp.Diff(st.want, []bool{first.Blocked(content), second.Blocked(content)}); diff != "" {
			tt.Errorf("%s: %s", st.name, diff)
		}
	}
}
