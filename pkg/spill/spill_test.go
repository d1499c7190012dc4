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

// mean returns the mean cost of 100 requests of 48 kB to a domain, and how many of them pay only the 5 ms for the round trip and the bytes.
func mean(sp *Spill, now time.Duration, to string) (cost time.Duration, cheap int) {
	for range 100 {
		co := sp.Cost(now, "model", "a", to, Request{Bytes: 48_000, Draw: sp.Draw("model")})
		if cost += co / 100; co < 5*ms {
			cheap++
		}
	}
	return cost, cheap
}

// TestScarceDomain plays a domain whose endpoints are too few while the others are calm, and its end: the share of cheap requests must rise in steps and fall
// again, neither at once.
func TestScarceDomain(tt *testing.T) {
	sp := New(DefaultConfig())
	now := observe(sp, 0, 2*time.Second, at("a", 10*ms), at("b", 10*ms))
	calm, _ := mean(sp, now, "b")
	if calm < 25*ms {
		tt.Errorf("leaving costs %s in calm, want at least 25 ms", calm)
	}
	steps := []struct {
		name       string
		own        time.Duration
		length     time.Duration
		least, top int
	}{
		{"the pressure begins", 100 * ms, 600 * ms, 1, 15},
		{"some seconds later", 100 * ms, 10 * time.Second, 20, 60},
		{"long pressure", 100 * ms, time.Minute, 100, 100},
		{"it ends", 10 * ms, time.Second, 50, 95},
		{"long after the end", 10 * ms, 30 * time.Second, 0, 0},
	}
	for _, st := range steps {
		now = observe(sp, now, st.length, at("a", st.own), at("b", 10*ms))
		if _, cheap := mean(sp, now, "b"); cheap < st.least || cheap > st.top {
			tt.Errorf("%s: %d of 100 requests pay no surcharge, want %d to %d", st.name, cheap, st.least, st.top)
		}
	}
	if got, _ := mean(sp, now, "b"); got != calm {
		tt.Errorf("leaving costs %s long after the pressure, want %s as before", got, calm)
	}
}

// TestAllBusy plays domains that are all equally busy: leaving must cost as much as in calm, at least.
func TestAllBusy(tt *testing.T) {
	sp := New(DefaultConfig())
	now := observe(sp, 0, 10*time.Second, at("a", 400*ms), at("b", 390*ms), at("c", 410*ms))
	for _, to := range []string{"b", "c"} {
		if got, _ := mean(sp, now, to); got < 29*ms {
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
		if got, _ := mean(sp, now, "b"); got != 2*ms {
			tt.Errorf("leaving costs %s, want 2 ms", got)
		}
		now = observe(sp, now, 3*time.Second, at("a", 10*ms), at("b", 10*ms))
		if got, _ := mean(sp, now, "b"); got < 25*ms {
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

// TestRefusingDomain plays a domain that begins to refuse what is sent there under pressure: it must get less at once, the other one must not, and it must get
// more again when it has stopped.
func TestRefusingDomain(tt *testing.T) {
	sp := New(DefaultConfig())
	loads := []Load{at("a", 200*ms), at("b", 10*ms), at("c", 10*ms)}
	now := observe(sp, 0, 10*time.Second, loads...)
	cost, cheap := mean(sp, now, "b")
	_, other := mean(sp, now, "c")
	for range 3 {
		sp.Refused(now, "model", "b")
	}
	if got, count := mean(sp, now, "b"); got < cost+70*ms || count > 0 {
		tt.Errorf("leaving to the refusing domain costs %s, before %s, and %d requests pay no surcharge", got, cost, count)
	}
	if _, got := mean(sp, now, "c"); got < other-2 {
		tt.Errorf("%d of 100 requests may leave to the other domain, want %d", got, other)
	}
	now = observe(sp, now, 20*time.Second, loads...)
	if _, got := mean(sp, now, "b"); got < cheap {
		tt.Errorf("%d of 100 requests may leave to the domain that refuses no more, want at least %d", got, cheap)
	}
}
