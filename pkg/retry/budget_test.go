package retry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBudget counts how many repeats are allowed after some requests, at some age of the process.
func TestBudget(tt *testing.T) {
	cases := []struct {
		name      string
		age       time.Duration
		instances int
		first     int
		want      int
	}{
		{"young: only the ratio", time.Second, 1, 100, 16},
		{"young without requests: none", time.Second, 1, 0, 0},
		{"a whole window old: the headroom too", 10 * time.Second, 1, 0, 35},
		{"the headroom is shared", 10 * time.Second, 5, 0, 7},
		{"requests and headroom", 10 * time.Second, 5, 100, 23},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			bu := New(Config{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}, 0)
			bu.SetInstances(tc.instances)
			for range tc.first {
				bu.RecordRequest(tc.age, "service")
			}
			got := 0
			for bu.AllowRetry(tc.age, "service") {
				got++
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// TestEveryWindow slides windows over a long run of eager repeats by several instances and checks the fleet's rule in each.
func TestEveryWindow(tt *testing.T) {
	const instances, step, steps, perStep = 4, 100 * time.Millisecond, 400, 3
	rule := Config{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}
	var list []*Budget
	for range instances {
		bu := New(rule, 0)
		bu.SetInstances(instances + 1)
		list = append(list, bu)
	}
	first, repeats := make([]int, steps), make([]int, steps)
	for ix := range steps {
		now := time.Duration(ix) * step
		for who, bu := range list {
			// Requests stop half-way at all instances but one.
			if ix < steps/2 || who == 0 {
				for range perStep {
					bu.RecordRequest(now, "service")
					first[ix]++
				}
			}
			for bu.AllowRetry(now, "service") {
				repeats[ix]++
			}
		}
	}
	span := int(rule.Window / step)
	sum := func(list []int, from, to int) float64 {
		total := 0
		for ix := max(0, from); ix < min(to, len(list)); ix++ {
			total += list[ix]
		}
		return float64(total)
	}
	for from := 0; from+span <= steps; from++ {
		requests := max(sum(first, from, from+span), sum(first, from-span, from), sum(first, from-span/2, from+span/2))
		if got, most := sum(repeats, from, from+span), rule.Ratio*requests+rule.Headroom; got > most {
			tt.Fatalf("%v repeats in the window from step %d, %v are allowed", got, from, most)
		}
	}
}
