package fair

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRounds guards against a team that overtakes the others: by many requests, by a pause, or by the rounds of a queue that was empty in the meantime.
func TestRounds(tt *testing.T) {
	cases := []struct {
		name string
		// before is called before the teams queue a request each.
		before func(ro *Rounds)
		want   map[string]int64
	}{
		{"a hot team", func(ro *Rounds) { ro.Add("hot"); ro.Add("hot") }, map[string]int64{"hot": 3, "other": 1}},
		{"a team after a pause", func(ro *Rounds) {
			for range 5 {
				ro.Add("hot")
			}
			ro.Leave(4, false)
		}, map[string]int64{"hot": 6, "other": 4}},
		{"an earlier round leaves later", func(ro *Rounds) {
			ro.Add("hot")
			ro.Leave(4, false)
			ro.Leave(2, false)
		}, map[string]int64{"hot": 4, "other": 4}},
		{"an empty queue", func(ro *Rounds) {
			ro.Add("hot")
			ro.Add("hot")
			ro.Leave(1, false)
			ro.Leave(2, true)
		}, map[string]int64{"hot": 1, "other": 1}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			var ro Rounds
			tc.before(&ro)
			next, got := map[string]int64{}, map[string]int64{}
			for team := range tc.want {
				next[team] = ro.Next(team)
				got[team] = ro.Add(team)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Errorf("rounds (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(got, next); diff != "" {
				tt.Errorf("Next differs from Add (-Add +Next):\n%s", diff)
			}
		})
	}
}
