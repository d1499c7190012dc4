package emul

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// runScenario runs a scenario with a policy.
func runScenario(tt *testing.T, scenario, policy string, seed uint64) Result {
	tt.Helper()
	sc, ok := FindScenario(scenario)
	if !ok {
		tt.Fatalf("FindScenario(%q) found no scenario", scenario)
	}
	re, err := Run(Config{Scenario: sc, Policy: policy, Seed: seed})
	if err != nil {
		tt.Fatal(err)
	}
	return re
}

// TestPlacement runs each scenario with every policy and compares the value of the responses (Tally.Worth). The router's placement ("weir")
// must get at least as much as every baseline, and nearly as much as the policy "oracle", which knows the true state of the runners.
func TestPlacement(tt *testing.T) {
	cases := []struct {
		scenario string
		// minOracleShare is the minimum of (Tally.Worth with policy weir) / (Tally.Worth with policy oracle). It is 0.95 if the runners can
		// serve the load, and 0.9 in overload. The oracle does not know how fast a runner works.
		minOracleShare float64
	}{
		{"birligi", 0.95},
		{"virtanen", 0.95},
		{"birligi-small", 0.95},
		{"surge", 0.95},
		{"hot-subject", 0.95},
		{"overload", 0.9},
		{"uneven", 0.95},
		{"fast", 0.95},
	}
	for _, tc := range cases {
		tt.Run(tc.scenario, func(tt *testing.T) {
			got := runScenario(tt, tc.scenario, "weir", 1).All.Worth
			for _, name := range Policies() {
				if name == "weir" || (name == "prefixHash" && tc.scenario == "overload") {
					// TestOverloadAgainstPrefixHash compares with the policy prefixHash in the scenario overload.
					continue
				}
				other := runScenario(tt, tc.scenario, name, 1).All.Worth
				if name == "oracle" {
					other *= tc.minOracleShare
				}
				if got < other {
					tt.Errorf("policy weir got Tally.Worth %.3f, want at least %.3f (from policy %s)", got, other, name)
				}
			}
		})
	}
}

// TestOverloadAgainstPrefixHash is the case of TestPlacement that is known to fail, because the baseline prefixHash gets the higher
// Tally.Worth. It chooses the runner by a hash of the shared prefix alone and has the fewest repeated prefill tokens. It also overloads some
// of its runners, while its other runners stay within the latency target.
func TestOverloadAgainstPrefixHash(tt *testing.T) {
	got, other := runScenario(tt, "overload", "weir", 1).All.Worth, runScenario(tt, "overload", "prefixHash", 1).All.Worth
	if got < other {
		tt.Errorf("policy weir got Tally.Worth %.3f, want at least the %.3f of policy prefixHash", got, other)
	}
}

// TestOverload runs four times the load that the runners can serve in time. Excess requests must be refused at once rather than wait, the
// most urgent class must be refused least, and no class may starve.
func TestOverload(tt *testing.T) {
	re := runScenario(tt, "overload", "weir", 1)
	// maxCanceled is the maximum share of callers that give up before the first token; it is small because excess requests are refused at once.
	const maxCanceled = 0.01
	if re.All.Canceled > maxCanceled {
		tt.Errorf("a share of %.3f of the callers gave up waiting, want at most 0.01", re.All.Canceled)
	}
	served := func(ta Tally) float64 { return ta.WithinTarget + ta.Late }
	for ix, ta := range re.Classes {
		if ix > 0 && ta.Refused < re.Classes[0].Refused {
			tt.Errorf("class %s is refused less often than the more urgent class %s, want at least as often", ta.Class, re.Classes[0].Class)
		}
		if served(ta) < served(re.All)/2 {
			tt.Errorf("class %s: a share of %.3f served, want at least half of the %.3f over all classes", ta.Class, served(ta), served(re.All))
		}
	}
}

// TestRunIsDeterministic checks that equal configurations give equal results, and different seeds different ones.
func TestRunIsDeterministic(tt *testing.T) {
	first, second, other := runScenario(tt, "birligi-small", "weir", 1),
		runScenario(tt, "birligi-small", "weir", 1), runScenario(tt, "birligi-small", "weir", 2)
	if diff := cmp.Diff(first, second); diff != "" {
		tt.Error(diff)
	}
	if cmp.Equal(first, other) {
		tt.Error("the seeds 1 and 2 give the same result, want different ones")
	}
}

// TestUnknownPolicy checks that an unknown policy is an error.
func TestUnknownPolicy(tt *testing.T) {
	if _, err := Run(Config{Scenario: Scenarios()[0], Policy: "best"}); err == nil {
		tt.Error("Run with the unknown policy best returned no error")
	}
}

// TestTimeToFirstToken checks that one runner's time to the first token equals a time calculated by hand, and that the request completes.
func TestTimeToFirstToken(tt *testing.T) {
	config := RunnerConfig{
		Slots: 2, KVCapacityTokens: 10_000, Step: time.Millisecond, PrefillTokensPerMs: 100, PrefillChunk: 1000,
		CopyTokensPerMs: 500,
	}
	parts := []place.Part{{ID: 1, Tokens: 2000}, {ID: 2, Tokens: 1000}}
	cases := []struct {
		name string
		// cached are the parts in the runner's cache, source those in the cache of the runner that it copies from.
		cached []place.Part
		source []place.Part
		want   time.Duration
	}{
		{"prefills all in three chunks of 1,000 tokens", nil, nil, 33 * time.Millisecond},
		{"shared part cached", parts[:1], nil, 11 * time.Millisecond},
		{"shared part copied in 4 ms", nil, parts[:1], 15 * time.Millisecond},
		{"only a later part cached", parts[1:], nil, 33 * time.Millisecond},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			cl, prefilled := &clock{}, map[uint64]bool{}
			ru, source := newRunner(config, nil, cl, prefilled), newRunner(config, nil, cl, prefilled)
			ru.cache.add(tc.cached)
			source.cache.add(tc.source)
			var got time.Duration
			jo := &job{request: place.Request{Prompt: 3000, Parts: parts}, outputTokens: 5}
			jo.onFirstToken = func(now time.Duration) { got = now }
			done := false
			jo.onDone = func(time.Duration) { done = true }
			ru.accept(jo, source)
			cl.runUntil(time.Second)
			if diff := cmp.Diff(tc.want, got); diff != "" || !done {
				tt.Errorf("request completed: %t, want true; time to the first token (-want +got): %s", done, diff)
			}
		})
	}
}

// TestPrefixCacheEviction fills a cache beyond its capacity and checks that the least recently used part is evicted.
func TestPrefixCacheEviction(tt *testing.T) {
	pc := newPrefixCache(300)
	for id := range uint64(3) {
		pc.add([]place.Part{{ID: id, Tokens: 100}})
	}
	pc.cachedTokens([]place.Part{{ID: 0, Tokens: 100}})
	pc.add([]place.Part{{ID: 9, Tokens: 100}})
	got := []int64{}
	for _, id := range []uint64{0, 1, 2, 9} {
		got = append(got, pc.cachedTokens([]place.Part{{ID: id, Tokens: 100}}))
	}
	if diff := cmp.Diff([]int64{100, 0, 100, 100}, got); diff != "" {
		tt.Error(diff)
	}
}
