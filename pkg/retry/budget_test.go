package retry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBudget checks how many retries are allowed, depending on the age of the process and the numbers of instances and requests.
func TestBudget(tt *testing.T) {
	cases := []struct {
		name      string
		age       time.Duration
		instances int
		requests  int
		want      int
	}{
		{"recently started: only the ratio", time.Second, 1, 100, 16},
		{"recently started, no requests: none", time.Second, 1, 0, 0},
		{"after a whole window: the headroom too", 10 * time.Second, 1, 0, 35},
		{"the headroom is divided", 10 * time.Second, 5, 0, 7},
		{"requests and headroom", 10 * time.Second, 5, 100, 23},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			bu := New(Config{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}, 0)
			bu.SetInstances(tc.instances)
			for range tc.requests {
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

// TestEveryWindow lets several instances retry as often as their budgets allow, and checks the fleet-wide limit in every window of the run.
func TestEveryWindow(tt *testing.T) {
	const instances, step, steps, perStep = 4, 100 * time.Millisecond, 400, 3
	limit := Config{Ratio: 0.2, Headroom: 50, Window: 10 * time.Second}
	var budgets []*Budget
	for range instances {
		bu := New(limit, 0)
		bu.SetInstances(instances + 1)
		budgets = append(budgets, bu)
	}
	requests, retries := make([]int, steps), make([]int, steps)
	for ix := range steps {
		now := time.Duration(ix) * step
		for index, bu := range budgets {
			// Half-way through the run, requests stop at all instances but one.
			if ix < steps/2 || index == 0 {
				for range perStep {
					bu.RecordRequest(now, "service")
					requests[ix]++
				}
			}
			for bu.AllowRetry(now, "service") {
				retries[ix]++
			}
		}
	}
	span := int(limit.Window / step)
	sum := func(counts []int, from, to int) float64 {
		total := 0
		for ix := max(0, from); ix < min(to, len(counts)); ix++ {
			total += counts[ix]
		}
		return float64(total)
	}
	for from := 0; from+span <= steps; from++ {
		inWindow := max(sum(requests, from, from+span), sum(requests, from-span, from), sum(requests, from-span/2, from+span/2))
		if got, allowed := sum(retries, from, from+span), limit.Ratio*inWindow+limit.Headroom; got > allowed {
			tt.Fatalf("got %v retries in the window that begins at step %d, want at most %v", got, from, allowed)
		}
	}
}
