package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDisturbedEndpoint sends a request to one of two endpoints, one of which was disturbed for a part of a second and has said so with many responses. It
// must be avoided while the last report is fresh. A stale or absurd fourth value must not keep requests away from it.
func TestDisturbedEndpoint(tt *testing.T) {
	rq := Request{Prompt: 3000, Domain: "zone-a", TimeLeft: 3 * time.Second, Parts: []Part{{ID: 9, Tokens: 3000}}}
	cases := []struct {
		name    string
		percent int
		age     time.Duration
		avoided bool
	}{
		{"nothing is said", 0, 10 * time.Millisecond, false},
		{"the usual time", 100, 10 * time.Millisecond, false},
		{"a fresh report of thrice the usual", 300, 10 * time.Millisecond, true},
		{"a stale report of thrice the usual", 300, 400 * time.Millisecond, false},
		{"a fresh report of an absurd time", 1 << 40, 10 * time.Millisecond, true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ba, list := NewBalancer(), endpoints(2)
			first := ba.Pick(time.Second, model, list, rq)
			at := ba.Begin(time.Second, model, Request{}, first)
			now := time.Second
			for range 30 {
				now += 5 * time.Millisecond
				at.RecordLoad(now, Load{Running: 1, Slots: 8, WorkPercent: tc.percent})
			}
			at.End(now, Canceled)
			de := ba.Pick(now+tc.age, model, list, rq)
			if got := float64(de.TimeToFirstEvent) / float64(first.TimeToFirstEvent); got > 1.25 {
				tt.Errorf("the request is expected to take %.2f times as long as at an idle endpoint, want at most 1.25", got)
			}
			if tc.avoided && de.Endpoint == first.Endpoint {
				tt.Error("the disturbed endpoint was chosen")
			}
			if factor := at.state.work.factor(now + tc.age); !tc.avoided && factor > 1.25 {
				tt.Errorf("the work factor is %.2f, want at most 1.25", factor)
			}
		})
	}
}

// TestWorkIsCountedOnce measures times at an endpoint whose work always takes 1.7 times the usual and which says so. The expected time must become 1.7 times
// that of an idle endpoint, not its square, and must stay so once the reports are stale.
func TestWorkIsCountedOnce(tt *testing.T) {
	ba, list := NewBalancer(), endpoints(1)
	rq := Request{Prompt: 3000, Domain: "zone-a", TimeLeft: time.Minute}
	idle := ba.Pick(time.Second, model, list, rq).TimeToFirstEvent
	now := time.Second
	for range 250 {
		at := ba.Begin(now, model, rq, ba.Pick(now, model, list, rq))
		now += idle * 17 / 10
		at.RecordLoad(now, Load{Running: 1, Slots: 8, WorkPercent: 170})
		at.RecordFirstEvent(now)
		at.End(now, Canceled)
	}
	for _, age := range []time.Duration{time.Millisecond, 10 * time.Second} {
		got := float64(ba.Pick(now+age, model, list, rq).TimeToFirstEvent) / float64(idle)
		if got < 1.6 || got > 1.8 {
			tt.Errorf("%s after the last report, the expected time is %.2f times that of an idle endpoint, want about 1.7", age, got)
		}
	}
}

// TestReportedLoad checks the number of requests at an endpoint after a report, corrected by what this instance has sent and finished since.
func TestReportedLoad(tt *testing.T) {
	ba, list := NewBalancer(), endpoints(1)
	rq := Request{Prompt: 100, Output: 10, TimeLeft: time.Minute}
	de := Decision{Endpoint: list[0]}
	first, second := ba.Begin(time.Second, model, rq, de), ba.Begin(time.Second, model, rq, de)
	first.RecordLoad(time.Second, Load{Running: 8, Waiting: 4, Slots: 8})
	check := func(now time.Duration, want int) {
		tt.Helper()
		if diff := cmp.Diff(want, first.state.inFlight(now)); diff != "" {
			tt.Errorf("at %s: %s", now, diff)
		}
	}
	check(time.Second, 12)
	ba.Begin(time.Second, model, rq, de)
	check(time.Second, 13)
	first.RecordFirstEvent(1100 * time.Millisecond)
	first.End(1900*time.Millisecond, Answered)
	second.End(1900*time.Millisecond, Canceled)
	check(1900*time.Millisecond, 11)
	// A request of this service holds its slot for 800 ms, so that one of eight slots becomes free every 100 ms, and four requests must end first.
	if got := ba.Pick(1900*time.Millisecond, model, list, rq).TimeToFirstEvent; got < 400*time.Millisecond {
		tt.Errorf("the expected time with four requests beyond the slots is %s, want at least 400 ms", got)
	}
	check(5*time.Second, 1)
}
