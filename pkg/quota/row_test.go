package quota

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// TestElapsed compares the clocks of two incarnations of one instance.
func TestElapsed(tt *testing.T) {
	type result struct {
		Elapsed time.Duration
		OK      bool
	}
	wall := time.UnixMilli(1_000_000)
	row := Row{Wall: wall.UnixMilli(), Boot: 50_000}
	cases := []struct {
		name string
		wall time.Duration
		boot time.Duration
		want result
	}{
		{"restarted process", 2 * time.Second, 2 * time.Second, result{2 * time.Second, true}},
		{"wall clock set back meanwhile", -time.Second, 2 * time.Second, result{2 * time.Second, true}},
		{"wall clock set forward meanwhile", 4 * time.Second, 2 * time.Second, result{4 * time.Second, true}},
		{"reboot, boot time far ahead", 2 * time.Second, 22 * time.Hour, result{2 * time.Second, true}},
		{"reboot, boot time far behind", 2 * time.Second, -50 * time.Second, result{2 * time.Second, true}},
		{"reboot and wall clock set back", -time.Second, -50 * time.Second, result{9 * time.Second, true}},
		{"reboot and wall clock set back by more than its steps", -11 * time.Second, -50 * time.Second, result{-time.Second, false}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			elapsed, ok := row.elapsed(Stamp{Wall: wall.Add(tc.wall), Boot: 50*time.Second + tc.boot})
			if diff := cmp.Diff(tc.want, result{elapsed, ok}); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// TestRowLeavesOutZeros guards against rows that state each field, also those that are zero, and against one that reads differently then: its grant
// would count as another.
func TestRowLeavesOutZeros(tt *testing.T) {
	for _, row := range []Row{{}, {Granted: 1}, {Granted: -7, Base: -7, Spent: 3, NetLent: -10, MaxCeiling: -7, Incarnation: 2}} {
		re, err := encodeRow(testTeam, "instance-0", row)
		if err != nil {
			tt.Fatal(err)
		}
		var fields map[int]int64
		var got Row
		if err := errors.Join(record.Unmarshal(re.Value, &got), record.Unmarshal(re.Value, &fields)); err != nil {
			tt.Fatal(err)
		}
		for key, val := range fields {
			if val == 0 {
				tt.Errorf("the field %d of %+v is zero and written", key, row)
			}
		}
		if diff := cmp.Diff(row, got); diff != "" {
			tt.Errorf("row (-want +got):\n%s", diff)
		}
	}
}
