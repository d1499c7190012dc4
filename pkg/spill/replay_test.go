package spill

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// replay plays 75 instances in three failure domains that decide alone from loads that are 200 ms old and inexact by a fifth. Each domain has endpoints that serve
// capacity requests a second, and queues.
type replay struct {
	random    *rand.Rand
	instances []*Spill
	capacity  [3]float64
	queue     [3]float64
	// history holds the waits of the last ticks.
	history [][3]time.Duration
	now     time.Duration
}

const replayTick = 10 * time.Millisecond

var replayDomains = [3]string{"a", "b", "c"}

func newReplay(cf Config, seed uint64, capacity [3]float64) *replay {
	re := &replay{random: rand.New(rand.NewPCG(seed, 1)), capacity: capacity}
	for ix := range 75 {
		cf.Seed = seed*100 + uint64(ix)
		re.instances = append(re.instances, New(cf))
	}
	return re
}

// seen returns the loads as an instance knows them.
func (re *replay) seen() []Load {
	loads := make([]Load, 0, 3)
	for ix, name := range replayDomains {
		wait := 10 * time.Millisecond
		if ago := len(re.history) - 20; ago >= 0 {
			wait = re.history[ago][ix]
		}
		loads = append(loads, at(name, time.Duration((0.8+0.4*re.random.Float64())*float64(wait))))
	}
	return loads
}

// play plays the arrivals of each domain, in requests a second, and returns the share of the requests that leave, the mean wait of all, and the standard
// deviation of the wait in the first domain in the second half of the time.
func (re *replay) play(length time.Duration, arrivals [3]float64) (left float64, wait, swing time.Duration) {
	sent, away, sum, count, first, squares := 0, 0, time.Duration(0), 0.0, 0.0, 0.0
	end := re.now + length
	for ; re.now < end; re.now += replayTick {
		for ix, sp := range re.instances {
			from := ix % 3
			loads := re.seen()
			if sp.Due(re.now, "model") {
				sp.Observe(re.now, "model", replayDomains[from], loads, 10_000)
			}
			mean := arrivals[from] / 25 * replayTick.Seconds()
			for range int(mean + re.random.Float64()) {
				to, least, draw := 0, time.Duration(0), sp.Draw("model")
				for num, lo := range loads {
					cost := lo.Wait + sp.Cost(re.now, "model", replayDomains[from], lo.Domain, Request{Bytes: 10_000, TimeLeft: 2 * time.Second, Draw: draw})
					if num == 0 || cost < least {
						to, least = num, cost
					}
				}
				sent++
				if to != from {
					away++
				}
				re.queue[to]++
				sum += re.wait(to)
			}
		}
		var waits [3]time.Duration
		for num := range replayDomains {
			re.queue[num] = max(0, re.queue[num]-re.capacity[num]*replayTick.Seconds())
			waits[num] = re.wait(num)
		}
		re.history = append(re.history, waits)
		if end-re.now <= length/2 {
			count++
			first += waits[0].Seconds()
			squares += waits[0].Seconds() * waits[0].Seconds()
		}
	}
	first /= count
	swing = time.Duration(math.Sqrt(max(0, squares/count-first*first)) * float64(time.Second))
	return float64(away) / float64(sent), sum / time.Duration(sent), swing
}

func (re *replay) wait(num int) time.Duration {
	return 10*time.Millisecond + time.Duration(re.queue[num]/re.capacity[num]*float64(time.Second))
}

// TestReplayInstances plays calm, a domain that gets 1.4 times what its endpoints serve, and three domains at their limits, by 75 instances that decide alone.
// About as many requests must leave as cannot be served in their domain, and the waits must swing less than with a constant cost of 5 ms.
func TestReplayInstances(tt *testing.T) {
	cases := []struct {
		name     string
		arrivals [3]float64
		// least and top bound the share that leaves, and maxWait the mean wait.
		least, top float64
		maxWait    time.Duration
	}{
		{"calm", [3]float64{1000, 1000, 1000}, 0, 0, 15 * ms},
		{"a scarce domain", [3]float64{2800, 1000, 1000}, 0.14, 0.2, 60 * ms},
		{"all equally busy", [3]float64{1980, 1980, 1980}, 0, 0.01, 60 * ms},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				capacity := [3]float64{2000, 2000, 2000}
				before, beforeWait, beforeSwing := newReplay(Config{RoundTrip: 5 * ms}, seed, capacity).play(20*time.Second, tc.arrivals)
				left, wait, swing := newReplay(DefaultConfig(), seed, capacity).play(20*time.Second, tc.arrivals)
				tt.Logf("seed %d: %.3f left, mean wait %s, swing %s; with the constant cost %.3f, %s, %s", seed, left, wait, swing, before, beforeWait, beforeSwing)
				if left < tc.least || left > tc.top || wait > tc.maxWait {
					tt.Errorf("seed %d: a share of %.3f left, want %.2f to %.2f; the mean wait is %s, want at most %s", seed, left, tc.least, tc.top, wait, tc.maxWait)
				}
				if swing > beforeSwing/2 && swing > 5*ms {
					tt.Errorf("seed %d: the wait in the first domain deviates by %s, with the constant cost by %s; want at most half", seed, swing, beforeSwing)
				}
			}
		})
	}
}
