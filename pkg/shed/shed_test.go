package shed

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFloodedSmallInstance guards against an instance with a small share of a core that gets several times what it can serve and serves nothing in time, and
// against one that refuses much more than the excess.
func TestFloodedSmallInstance(tt *testing.T) {
	for _, factor := range []float64{1.5, 3, 4} {
		tt.Run(fmt.Sprint(factor), func(tt *testing.T) {
			ma := newMachine(0.144, 1)
			ma.run(3*time.Second, 0.3*ma.capacity())
			ma.run(7*time.Second, factor*ma.capacity())
			ma.reset()
			const span = 20 * time.Second
			ma.run(span, factor*ma.capacity())
			sum, list := ma.reset()
			// The processor time without that of the refusals of all requests beyond it.
			const cost = requestSteps * stepCost
			can := (span.Seconds()*0.144 - float64(sum.arrived)*refusalCost.Seconds()) / (cost - refusalCost).Seconds()
			tt.Logf("%+v of %.0f, classes %+v", sum, can, list)
			if float64(sum.inTime) < 0.8*can || sum.late > sum.inTime/10 {
				tt.Errorf("served in time %d, late %d; the machine can serve %.0f", sum.inTime, sum.late, can)
			}
			if list[1].refused > list[3].refused {
				tt.Errorf("refused %d of the most urgent requests and %d of the least urgent", list[1].refused, list[3].refused)
			}
		})
	}
}

// TestEvenlyLoadedFleet guards against instances that all refuse although all are loaded alike: below the capacity nothing may be refused, beyond it
// only the excess, the less urgent requests first.
func TestEvenlyLoadedFleet(tt *testing.T) {
	for _, factor := range []float64{0.3, 0.6, 1.3} {
		tt.Run(fmt.Sprint(factor), func(tt *testing.T) {
			inTime, refused, arrived := 0, 0, 0
			for seed := range uint64(10) {
				ma := newMachine(0.464, seed)
				ma.run(20*time.Second, factor*ma.capacity())
				sum, _ := ma.reset()
				inTime, refused, arrived = inTime+sum.inTime, refused+sum.refused, arrived+sum.arrived
			}
			tt.Logf("arrived %d, refused %d, in time %d", arrived, refused, inTime)
			if factor < 1 && refused > 0 {
				tt.Errorf("refused %d of %d requests below the capacity", refused, arrived)
			}
			if factor > 1 && float64(inTime) < 0.75*float64(arrived)/factor {
				tt.Errorf("served %d of %d in time", inTime, arrived)
			}
		})
	}
}

// TestFreeze guards against a process that resumes after some seconds, or pauses shortly, and takes the lag for overload.
func TestFreeze(tt *testing.T) {
	for _, span := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
		ma := newMachine(0.464, 1)
		ma.run(5*time.Second, 0.2*ma.capacity())
		ma.frozen = ma.now + span
		ma.run(span, 0)
		ma.run(5*time.Second, 0.2*ma.capacity())
		sum, _ := ma.reset()
		if sum.refused > 0 || ma.maxLag < span-probeInterval {
			tt.Errorf("refused %d requests after a freeze of %s (greatest lag %s)", sum.refused, span, ma.maxLag)
		}
	}
}

// TestFreshProcess guards against a process that needs much processor time to start and refuses its first requests.
func TestFreshProcess(tt *testing.T) {
	ma := newMachine(0.144, 1)
	ma.run(1500*time.Millisecond, 2*ma.capacity())
	if sum, _ := ma.reset(); sum.refused > 0 {
		tt.Errorf("refused %d requests", sum.refused)
	}
}

// TestBusyNeighbors guards against an instance that is kept waiting by other processes of its machine, uses little processor time itself, and refuses requests.
func TestBusyNeighbors(tt *testing.T) {
	ma := newMachine(0.464, 1)
	ma.noise = 90 * time.Millisecond
	ma.run(10*time.Second, 0.1*ma.capacity())
	if sum, _ := ma.reset(); sum.refused > 0 || ma.maxLag < lagLimit {
		tt.Errorf("refused %d requests (greatest lag %s)", sum.refused, ma.maxLag)
	}
}

// TestBurstOfOneSecond guards against a short burst after which an instance goes on to refuse for long or begins again and again.
func TestBurstOfOneSecond(tt *testing.T) {
	ma := newMachine(0.464, 1)
	ma.run(5*time.Second, 0.4*ma.capacity())
	ma.run(time.Second, 2*ma.capacity())
	ma.run(4*time.Second, 0.4*ma.capacity())
	burst, _ := ma.reset()
	ma.run(10*time.Second, 0.4*ma.capacity())
	after, _ := ma.reset()
	tt.Logf("during the burst and 4 s after it: %+v, begins %d", burst, ma.begins)
	if after.refused > 0 || ma.begins > 1 || burst.inTime < burst.arrived/2 {
		tt.Errorf("during the burst and 4 s after it: %+v, later: %+v, shedding began %d times", burst, after, ma.begins)
	}
}

// TestNarrowUplink guards against an instance with an idle processor that takes more requests than its link can carry the responses of, and against one caller
// that reads slowly, or one long body, that makes it refuse the requests of others.
func TestNarrowUplink(tt *testing.T) {
	const perSecond = 10e6 / 8
	cases := []struct {
		name string
		// bytes are written each time by a write that blocks for so long.
		bytes   int
		blocked time.Duration
		// every is the interval of the writes.
		every  time.Duration
		config Config
		want   string
	}{
		{"below the rate", perSecond / 50 * 8 / 10, 0, 20 * time.Millisecond, Config{LinkBytesPerSecond: perSecond}, ""},
		{"twice the rate, taken by the kernel's buffers", perSecond / 50 * 2, 0, 20 * time.Millisecond, Config{LinkBytesPerSecond: perSecond}, Link},
		{"an unknown rate, many blocked writes", 20_000, 200 * time.Millisecond, 20 * time.Millisecond, Config{}, Writes},
		{"one caller that reads slowly", 20_000, 20 * time.Millisecond, 20 * time.Millisecond, Config{}, ""},
		{"a long body now and then", 4 << 20, 0, 3 * time.Second, Config{LinkBytesPerSecond: perSecond}, ""},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			sh := New(tc.config)
			reason, refused := "", 0
			for now := time.Duration(0); now < 8*time.Second; now += 20 * time.Millisecond {
				sh.RecordLag(now, 0)
				ve := sh.Admit(now, Request{Rank: 2, TimeLeft: time.Second})
				if !ve.Admitted {
					reason, refused = ve.Reason, refused+1
					if ve.RetryAfter < minRetryAfter || ve.RetryAfter > maxRetryAfter {
						tt.Errorf("a retry after %s", ve.RetryAfter)
					}
					continue
				}
				sh.Begin(now)
				if now%tc.every == 0 {
					sh.RecordWrite(now, tc.bytes, tc.blocked)
				}
				sh.End(now)
			}
			if diff := cmp.Diff(tc.want, reason); diff != "" {
				tt.Errorf("the reason of %d refusals (-want +got):\n%s", refused, diff)
			}
			if refused > 250 {
				tt.Errorf("refused %d of 400 requests, twice what is beyond the rate", refused)
			}
		})
	}
}

// TestRefusedLast guards against refusals of resumed streams and of the most urgent requests while less urgent ones are served, and against refusals of requests
// with so much time left that they are served in time here.
func TestRefusedLast(tt *testing.T) {
	sh := New(Config{Cores: 0.1})
	now := time.Duration(0)
	refused := map[string]int{}
	kinds := []struct {
		name string
		rq   Request
	}{
		{"resumed", Request{Rank: 2, TimeLeft: time.Second, Resumed: true}},
		{"rank 0", Request{Rank: 0, TimeLeft: time.Second}},
		{"rank 2", Request{Rank: 2, TimeLeft: time.Second}},
		{"time enough", Request{Rank: 2, TimeLeft: time.Minute}},
	}
	for now < 4*time.Second {
		now += 20 * time.Millisecond
		sh.RecordCPU(now, now/10)
		sh.RecordLag(now, 60*time.Millisecond)
		for _, ki := range kinds {
			if sh.controller.level > 0.2 {
				break
			}
			if !sh.Admit(now, ki.rq).Admitted {
				refused[ki.name]++
				continue
			}
			sh.Begin(now)
			sh.End(now)
		}
	}
	if len(refused) != 1 || refused["rank 2"] == 0 {
		tt.Errorf("refused: %v, want only requests of rank 2", refused)
	}
	for len(refused) < 3 && now < 10*time.Second {
		now += 20 * time.Millisecond
		sh.RecordCPU(now, now/10)
		sh.RecordLag(now, 400*time.Millisecond)
		for _, ki := range kinds[:2] {
			if !sh.Admit(now, ki.rq).Admitted {
				refused[ki.name]++
			}
		}
	}
	if refused["resumed"] == 0 || refused["rank 0"] < 2*refused["resumed"] {
		tt.Errorf("refused: %v, want resumed streams last, but not never", refused)
	}
}

// TestRetryElsewhere guards against callers of a flooded instance that are told to come back when it has room: another instance has room at once.
func TestRetryElsewhere(tt *testing.T) {
	sh := New(Config{Cores: 0.1, Seed: 1})
	if delay, ok := sh.Elsewhere(time.Second); ok {
		tt.Errorf("an idle instance sends callers elsewhere after %s", delay)
	}
	now := time.Duration(0)
	for range 200 {
		now += 40 * time.Millisecond
		sh.RecordCPU(now, now/10)
		sh.RecordLag(now, 150*time.Millisecond)
	}
	for _, left := range []time.Duration{120 * time.Millisecond, 10 * time.Second} {
		delay, ok := sh.Elsewhere(left)
		if !ok || delay > left/retryShare || delay > maxRetryAfter || delay <= 0 {
			tt.Errorf("with %s left: delay %s, %t, want a short delay that the caller honors", left, delay, ok)
		}
	}
	if got := sh.Delay(now); got < 150*time.Millisecond {
		tt.Errorf("the delay is %s, want the lag at least", got)
	}
}
