package spill

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// at returns the load of a domain with ten usable endpoints of known load.
func at(domain string, wait time.Duration) Load {
	return Load{Domain: domain, Usable: 10, Known: true, Wait: wait, StaleWait: wait}
}

// observe observes the loads for a time, every 100 ms, and returns the time after it.
func observe(sp *Spill, now, length time.Duration, loads ...Load) time.Duration {
	for end := now + length; now < end; now += observeInterval {
		sp.Observe(now, "model", "a", loads, 48_000)
	}
	return now
}

// mean returns the mean cost of 100 requests of 48 kB, which cost 5 ms without a surcharge.
func mean(sp *Spill, now time.Duration, to string) time.Duration {
	sum := time.Duration(0)
	for range 100 {
		sum += sp.Cost(now, "model", "a", to, Request{Bytes: 48_000, Draw: sp.Draw("model")})
	}
	return sum / 100
}

// TestScarceDomain plays a domain whose endpoints are too few while the others are calm, and its end: the cost must fall in steps and rise again.
func TestScarceDomain(tt *testing.T) {
	sp := New(DefaultConfig())
	now := observe(sp, 0, 2*time.Second, at("a", 10*ms), at("b", 10*ms))
	calm := mean(sp, now, "b")
	if calm < 25*ms {
		tt.Errorf("leaving costs %s in calm, want at least 25 ms", calm)
	}
	now = observe(sp, now, 600*ms, at("a", 100*ms), at("b", 10*ms))
	begun := mean(sp, now, "b")
	if begun < 10*ms || begun > 33*ms {
		tt.Errorf("leaving costs %s after 600 ms of pressure, want a part of the requests to leave", begun)
	}
	now = observe(sp, now, 6*time.Second, at("a", 100*ms), at("b", 10*ms))
	if got := mean(sp, now, "b"); got > 6*ms {
		tt.Errorf("leaving costs %s under long pressure, want the round trip and the bytes", got)
	}
	now = observe(sp, now, time.Second, at("a", 10*ms), at("b", 10*ms))
	if got := mean(sp, now, "b"); got > calm/2 {
		tt.Errorf("leaving costs %s one second after the pressure, want less than half of %s: the share must fall slowly", got, calm)
	}
	now = observe(sp, now, 10*time.Second, at("a", 10*ms), at("b", 10*ms))
	if got := mean(sp, now, "b"); got != calm {
		tt.Errorf("leaving costs %s long after the pressure, want %s as before", got, calm)
	}
}

// TestAllBusy plays domains that are all equally busy: leaving must cost as much as in calm, at least.
func TestAllBusy(tt *testing.T) {
	sp := New(DefaultConfig())
	now := observe(sp, 0, 10*time.Second, at("a", 400*ms), at("b", 390*ms), at("c", 410*ms))
	for _, to := range []string{"b", "c"} {
		if got := mean(sp, now, to); got < 29*ms {
			tt.Errorf("leaving to %s costs %s, want at least 29 ms", to, got)
		}
	}
}

// TestLostDomain plays a domain all whose endpoints are lost, or refuse: leaving must cost only the round trip at once, and more again when they are back.
func TestLostDomain(tt *testing.T) {
	sp := New(DefaultConfig())
	now := observe(sp, 0, time.Second, at("a", 10*ms), at("b", 10*ms))
	for _, loads := range [][]Load{{{Domain: "a"}, at("b", 50*ms)}, {at("b", 50*ms)}} {
		now = observe(sp, now, observeInterval, loads...)
		if got := mean(sp, now, "b"); got != 2*ms {
			tt.Errorf("leaving costs %s, want 2 ms", got)
		}
		now = observe(sp, now, 3*time.Second, at("a", 10*ms), at("b", 10*ms))
		if got := mean(sp, now, "b"); got < 25*ms {
			tt.Errorf("leaving costs %s after the endpoints are back, want at least 25 ms", got)
		}
	}
}

// TestStaleLoads plays pressure in the own domain while nothing is known of the other: endpoints that seem idle must not attract more than the few requests
// that bring their load.
func TestStaleLoads(tt *testing.T) {
	sp := New(DefaultConfig())
	unknown := Load{Domain: "b", Usable: 10, Wait: 10 * ms, StaleWait: 10 * ms}
	now := observe(sp, 0, 10*time.Second, at("a", 200*ms), unknown)
	cheap := 0
	for range 1000 {
		if sp.Cost(now, "model", "a", "b", Request{Draw: sp.Draw("model"), Stale: true}) < 190*ms {
			cheap++
		}
	}
	if cheap == 0 || cheap > 110 {
		tt.Errorf("%d of 1,000 requests are attracted by endpoints of unknown load, want some, at most 110", cheap)
	}
}

// TestPreferredElsewhere checks that a request with a long prefix that an endpoint in another domain has cached goes there in calm as before: it must cost
// about 5 ms, and less than for a request without it.
func TestPreferredElsewhere(tt *testing.T) {
	sp := New(DefaultConfig())
	now := observe(sp, 0, time.Second, at("a", 10*ms), at("b", 10*ms))
	if got := sp.Cost(now, "model", "a", "b", Request{Bytes: 48_000, Holder: true, Draw: 0.5}); got < 4*ms || got > 6*ms {
		tt.Errorf("leaving for a cached prefix costs %s, want about 5 ms", got)
	}
}

// TestRefusingDomain plays a domain that begins to refuse what is sent there under pressure: it must get less at once, and more when it has stopped.
func TestRefusingDomain(tt *testing.T) {
	sp := New(DefaultConfig())
	loads := []Load{at("a", 200*ms), at("b", 10*ms), at("c", 10*ms)}
	now := observe(sp, 0, 10*time.Second, loads...)
	before := mean(sp, now, "b")
	for range 3 {
		sp.Refused(now, "model", "b")
	}
	if got := mean(sp, now, "b"); got < 100*ms {
		tt.Errorf("leaving to the refusing domain costs %s, before %s; want at least 100 ms", got, before)
	}
	if got := mean(sp, now, "c"); got != before {
		tt.Errorf("leaving to the other domain costs %s, want %s", got, before)
	}
	now = observe(sp, now, 10*time.Second, loads...)
	if got := mean(sp, now, "b"); got > before+ms {
		tt.Errorf("leaving to the domain that refuses no more costs %s, want %s", got, before)
	}
}
