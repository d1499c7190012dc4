package reach

import (
	"testing"
	"time"
)

// event is something that happens on the connections of an instance.
type event struct {
	at time.Duration
	do func(tr *Tracker, now time.Duration)
}

// dialFailed is a failed connection attempt, after which no probe is answered if the link is suspected to be cut.
func dialFailed(endpoint string) func(*Tracker, time.Duration) {
	return func(tr *Tracker, now time.Duration) {
		if tr.DialFailed(now, endpoint, 5) {
			tr.Broken(now)
		}
	}
}

// dialFailedAlone is a failed connection attempt, after which a probe of another endpoint is answered if the link is suspected to be cut.
func dialFailedAlone(endpoint string) func(*Tracker, time.Duration) {
	return func(tr *Tracker, now time.Duration) {
		if tr.DialFailed(now, endpoint, 5) {
			tr.Connected()
		}
	}
}

func sent(endpoint string) func(*Tracker, time.Duration) {
	return func(tr *Tracker, now time.Duration) { tr.Sent(now, endpoint) }
}

func received(endpoint string) func(*Tracker, time.Duration) {
	return func(tr *Tracker, now time.Duration) { tr.Received(now, endpoint) }
}

func connected(tr *Tracker, _ time.Duration) { tr.Connected() }

func check(tr *Tracker, now time.Duration) { tr.Check(now) }

// TestCut checks after which events the link counts as cut.
func TestCut(tt *testing.T) {
	const second = time.Second
	cases := []struct {
		name   string
		events []event
		want   bool
	}{
		{"one endpoint is down", []event{{second, dialFailed("a")}, {second, dialFailed("a")}, {2 * second, dialFailed("a")}}, false},
		{"two endpoints can't be reached", []event{{second, dialFailed("a")}, {second, dialFailed("b")}}, true},
		{"two endpoints can't be reached, with a connection to another one between", []event{
			{second, dialFailed("a")}, {second, connected}, {second, dialFailed("b")},
		}, false},
		{"several endpoints have crashed and another one answers", []event{
			{second, dialFailedAlone("a")}, {second, dialFailedAlone("b")}, {second, dialFailedAlone("c")}, {second, dialFailedAlone("d")},
		}, false},
		{"two endpoints could not be reached at different times", []event{{second, dialFailed("a")}, {4 * second, dialFailed("b")}}, false},
		{"one endpoint falls silent", []event{{second, sent("a")}, {second, sent("a")}, {3 * second, check}}, false},
		{"all endpoints fall silent", []event{{second, sent("a")}, {second, sent("b")}, {2 * second, check}}, true},
		{"two endpoints are silent for half a second", []event{{second, sent("a")}, {second, sent("b")}, {1500 * time.Millisecond, check}}, false},
		{"two endpoints are silent and another one sends", []event{
			{second, sent("a")}, {second, sent("b")}, {1900 * time.Millisecond, received("c")}, {2 * second, check},
		}, false},
		{"requests have just been sent after a pause", []event{{9 * second, sent("a")}, {9 * second, sent("b")}, {9 * second, check}}, false},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tr := New()
			for _, ev := range tc.events {
				ev.do(tr, ev.at)
			}
			if tr.Cut() != tc.want {
				tt.Errorf("got %t, want %t", tr.Cut(), tc.want)
			}
		})
	}
}

// TestRecovered checks that a link is probed while it is cut, and that requests which were lost in the cut do not make it count as cut again.
func TestRecovered(tt *testing.T) {
	const now = 10 * time.Second
	tr := New()
	tr.Sent(now-time.Second, "a")
	tr.Sent(now-time.Second, "b")
	if !tr.Check(now) || !tr.Silent(now) {
		tt.Fatal("the link does not count as cut and silent")
	}
	if tr.TakeProbe(now) || !tr.TakeProbe(now+probeInterval) || tr.TakeProbe(now+probeInterval) {
		tt.Error("the link is not probed once in each interval")
	}
	tr.Recovered(now + time.Second)
	if tr.Cut() || tr.Check(now+time.Second) || tr.TakeProbe(now+time.Hour) {
		tt.Error("the link counts as cut after a probe was answered")
	}
}

// TestBroken checks that the link counts as cut from the first check that reaches no endpoint, until a probe is answered.
func TestBroken(tt *testing.T) {
	tr := New()
	if !tr.Broken(time.Second) || tr.Broken(time.Second) || !tr.Cut() {
		tt.Error("the link must count as cut from the first call on")
	}
	tr.Connected()
	if !tr.Cut() {
		tt.Error("a connection that was opened must not end the cut: it may be reset")
	}
	tr.Recovered(2 * time.Second)
	if tr.Cut() {
		tt.Error("an answered probe must end the cut")
	}
}
