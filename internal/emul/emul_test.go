package emul

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// play plays a scenario with a policy.
func play(tt *testing.T, scenario, policy string, seed uint64) Result {
	tt.Helper()
	sc, ok := FindScenario(scenario)
	if !ok {
		tt.Fatalf("there is no scenario %q", scenario)
	}
	re, err := Play(Config{Scenario: sc, Policy: policy, Seed: seed})
	if err != nil {
		tt.Fatal(err)
	}
	return re
}

// TestPlacement replays each load with the placement of instances, the baselines and the oracle that sees the runners' true state:
// instances earn more than every baseline, and nearly what the oracle earns.
func TestPlacement(tt *testing.T) {
	cases := []struct {
		scenario string
		// leastOfOracle is the part of the oracle's worth that is the target: 95 in 100 below the runners' capacity, 90 in overload.
		leastOfOracle float64
	}{
		{"birligi", 0.95},
		{"virtanen", 0.95},
		{"birligi-small", 0.95},
		{"surge", 0.95},
		{"hot-subject", 0.95},
		{"overload", 0.9},
	}
	for _, tc := range cases {
		tt.Run(tc.scenario, func(tt *testing.T) {
			own := play(tt, tc.scenario, "weir", 1).All.Worth
			for _, name := range Policies() {
				if name == "weir" || (name == "prefixHash" && tc.scenario == "overload") {
					// The latter is TestOverloadAgainstPrefixHash.
					continue
				}
				other := play(tt, tc.scenario, name, 1).All.Worth
				if name == "oracle" {
					other *= tc.leastOfOracle
				}
				if own < other {
					tt.Errorf("%.3f of the worth, against %.3f of %s", own, other, name)
				}
			}
		})
	}
}

// TestOverloadAgainstPrefixHash is the case of TestPlacement that does not hold yet: hashing by shared parts alone reads least again, and
// lets some runners be late so that others are in time.
func TestOverloadAgainstPrefixHash(tt *testing.T) {
	own, other := play(tt, "overload", "weir", 1).All.Worth, play(tt, "overload", "prefixHash", 1).All.Worth
	if own < other {
		tt.Errorf("%.3f of the worth, against %.3f of prefixHash", own, other)
	}
}

// TestOverload replays four times what the runners can serve in time: what cannot be served is refused and not left waiting, the most
// urgent class is refused least, and no class is starved.
func TestOverload(tt *testing.T) {
	re := play(tt, "overload", "weir", 1)
	// What cannot be served is refused at once, so hardly a caller in a hundred waits in vain.
	const mostLeft = 0.01
	if re.All.Left > mostLeft {
		tt.Errorf("%.3f of the callers waited in vain", re.All.Left)
	}
	served := func(ta Tally) float64 { return ta.InObjective + ta.Late }
	for ix, ta := range re.Classes {
		if ix > 0 && ta.Refused < re.Classes[0].Refused {
			tt.Errorf("%s is refused less often than the more urgent %s", ta.Class, re.Classes[0].Class)
		}
		if served(ta) < served(re.All)/2 {
			tt.Errorf("%s is served %.3f, all are %.3f", ta.Class, served(ta), served(re.All))
		}
	}
}

// TestPlayRepeats plays the same twice, and with another seed: only the same configuration gives the same result.
func TestPlayRepeats(tt *testing.T) {
	first, second, other := play(tt, "birligi-small", "weir", 1), play(tt, "birligi-small", "weir", 1), play(tt, "birligi-small", "weir", 2)
	if diff := cmp.Diff(first, second); diff != "" {
		tt.Error(diff)
	}
	if cmp.Equal(first, other) {
		tt.Error("another seed gives the same result")
	}
}

// TestUnknownPolicy asks for a policy that does not exist.
func TestUnknownPolicy(tt *testing.T) {
	if _, err := Play(Config{Scenario: Scenarios()[0], Policy: "best"}); err == nil {
		tt.Error("no error")
	}
}

// TestRunner checks the times of one emulated runner by hand.
func TestRunner(tt *testing.T) {
	config := RunnerConfig{Slots: 2, Memory: 10_000, Step: time.Millisecond, TokensPerMs: 100, Chunk: 1000, CopyTokensPerMs: 500}
	parts := []place.Part{{ID: 1, Tokens: 2000}, {ID: 2, Tokens: 1000}}
	cases := []struct {
		name string
		// before are parts that the runner holds, elsewhere those of a runner that it copies from.
		before    []place.Part
		elsewhere []place.Part
		want      time.Duration
	}{
		{"reads all, in three steps of 1,000 tokens", nil, nil, 33 * time.Millisecond},
		{"holds the shared part", parts[:1], nil, 11 * time.Millisecond},
		{"copies the shared part in 4 ms", nil, parts[:1], 15 * time.Millisecond},
		{"holds the wrong part", parts[1:], nil, 33 * time.Millisecond},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			cl, known := &clock{}, map[uint64]bool{}
			ru, other := newRunner(config, nil, cl, known), newRunner(config, nil, cl, known)
			ru.memory.add(tc.before)
			other.memory.add(tc.elsewhere)
			var got time.Duration
			jo := &job{request: place.Request{Prompt: 3000, Parts: parts}, output: 5}
			jo.first = func(now time.Duration) { got = now }
			done := false
			jo.done = func(time.Duration) { done = true }
			ru.accept(jo, other)
			cl.play(time.Second)
			if diff := cmp.Diff(tc.want, got); diff != "" || !done {
				tt.Errorf("first token (ended: %t): %s", done, diff)
			}
		})
	}
}

// TestMemory fills a memory beyond its capacity: the parts that were not used lately go.
func TestMemory(tt *testing.T) {
	me := newMemory(300)
	for id := range uint64(3) {
		me.add([]place.Part{{ID: id, Tokens: 100}})
	}
	me.held([]place.Part{{ID: 0, Tokens: 100}})
	me.add([]place.Part{{ID: 9, Tokens: 100}})
	got := []int64{}
	for _, id := range []uint64{0, 1, 2, 9} {
		got = append(got, me.held([]place.Part{{ID: id, Tokens: 100}}))
	}
	if diff := cmp.Diff([]int64{100, 0, 100, 100}, got); diff != "" {
		tt.Error(diff)
	}
}
