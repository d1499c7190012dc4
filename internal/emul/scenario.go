package emul

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/spill"
)

// Class is a class of requests.
type Class struct {
	// Name is the name of the class, unique in a scenario.
	Name string
	// ArrivalsPerSecond is the mean arrival rate over all instances.
	ArrivalsPerSecond float64
	// ClassPrefixTokens is the length of the prefix that all prompts of the class share.
	ClassPrefixTokens int64
	// SharedPrefixTokens is the length of the second prefix; each prompt has one of several.
	SharedPrefixTokens int64
	// SharedPrefixes is the number of different second prefixes.
	SharedPrefixes int
	// UniqueTokens is the mean length of the part of the prompt that follows both prefixes; the lengths are distributed exponentially.
	UniqueTokens float64
	// OutputTokens is the mean length of the output; the lengths are distributed exponentially.
	OutputTokens float64
	// LatencyTarget is the target for the time to the first token.
	LatencyTarget time.Duration
	// Timeout is the maximum time that a caller waits for the first token.
	Timeout time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Worth is the value of a response whose first token meets the latency target, in units that all classes of the scenario share.
	Worth float64
	// LateWorth is the value of a response whose first token comes later, in the same units.
	LateWorth float64
}

// Surge is a time of higher load.
type Surge struct {
	// From is the start of the surge, measured from the start of the simulation.
	From time.Duration
	// To is the end of the surge, measured from the start of the simulation.
	To time.Duration
	// Factor multiplies the arrival rates of all classes.
	Factor float64
}

// HotPrefix describes a shared prefix that is requested much more often than the others.
type HotPrefix struct {
	// Class is the name of the class whose requests use the hot prefix; empty means that there is no hot prefix.
	Class string
	// Share is the share of the class's requests that always get the hot prefix; each other request gets a random one.
	Share float64
}

// Scenario describes a deployment and its load.
type Scenario struct {
	// Name is the name by which FindScenario finds the scenario.
	Name string
	// Description says in a few words how the scenario differs from the others.
	Description string
	// Duration is the time during which requests arrive; the simulation then continues for drainTime.
	Duration time.Duration
	// Instances is the number of router instances.
	Instances int
	// Domains is the number of failure domains. The instances and the runners are assigned to them in turn.
	Domains int
	// Runners is the number of model runners.
	Runners int
	// Runner is the configuration of each model runner.
	Runner RunnerConfig
	// Classes are the classes of the requests that arrive.
	Classes []Class
	// Surges are the times of higher load; outside them, requests arrive at Class.ArrivalsPerSecond.
	Surges []Surge
	// HotPrefix is the shared prefix that is requested most, if there is one.
	HotPrefix HotPrefix
	// RateLimit is the rate limit that some runners name.
	RateLimit RateLimit
	// Versions is the number of software versions, which the runners have in turn; zero means one.
	Versions int
	// BreakShare is the share of the streams that break off in their middle and are resumed by their callers.
	BreakShare float64
	// Brittleness says whether the runners fall over if they must reject too many requests.
	Brittleness Brittleness
	// Cut is a time in which some instances reach no runner themselves.
	Cut Cut
	// Unevenness says how long work takes at each runner.
	Unevenness Unevenness
	// FirstDomain is the number of runners in the first failure domain if the others have all further ones in turn; zero means that all domains have runners
	// in turn.
	FirstDomain int
	// Spill says what leaving the failure domain costs with the policy weir; the zero value stands for the usual configuration.
	Spill spill.Config
}

// domainOf returns the index of the failure domain of a runner.
func (sc Scenario) domainOf(runner int) int {
	switch {
	case sc.FirstDomain == 0:
		return runner % sc.Domains
	case runner < sc.FirstDomain:
		return 0
	default:
		return 1 + runner%(sc.Domains-1)
	}
}

// Runners and request classes of the two users' deployments, birligi and virtanen, after their growth. The lengths of shared prefixes are
// means of the users' figures.
var (
	birligiRunner = RunnerConfig{
		Slots: 48, KVCapacityTokens: 508_449, Step: 3090 * time.Microsecond, StepPerRequest: 16500 * time.Nanosecond, PrefillTokensPerMs: 61.8,
		PrefillChunk: 1024, CopyTokensPerMs: 198,
	}
	birligiClasses = []Class{
		{"dossier", 81.9, 512, 4870, 695, 6610, 382, 800 * time.Millisecond, 3200 * time.Millisecond, 0, 6.9, 3.5},
		{"question", 215, 119, 79, 812, 628, 291, 600 * time.Millisecond, 2400 * time.Millisecond, 1, 0.87, 0.44},
		{"letter", 139, 341, 227, 524, 1800, 23, 1200 * time.Millisecond, 3 * time.Second, 2, 0.44, 0.22},
	}
	virtanenRunner = RunnerConfig{
		Slots: 32, KVCapacityTokens: 677_599, Step: 2970 * time.Microsecond, StepPerRequest: 16500 * time.Nanosecond, PrefillTokensPerMs: 101,
		PrefillChunk: 1024, CopyTokensPerMs: 198,
	}
	virtanenClasses = []Class{
		{"digest", 132, 512, 4870, 750, 6610, 378, 500 * time.Millisecond, 2 * time.Second, 0, 5.6, 0.56},
		{"query", 210, 119, 79, 800, 628, 288, 500 * time.Millisecond, 2 * time.Second, 1, 1.1, 0.11},
		{"index", 238, 341, 227, 600, 1800, 27, 800 * time.Millisecond, 2500 * time.Millisecond, 2, 0.34, 0.034},
	}
)

// Scenarios returns all scenarios: first the three with a constant load, then those with a surge, last the one with a hot prefix.
func Scenarios() []Scenario {
	birligi := Scenario{Duration: 20 * time.Second, Instances: 31, Domains: 3, Runners: 60, Runner: birligiRunner, Classes: birligiClasses}
	virtanen := Scenario{Duration: 20 * time.Second, Instances: 30, Domains: 4, Runners: 60, Runner: virtanenRunner, Classes: virtanenClasses}
	small := birligi
	small.Instances, small.Runners = 4, 9
	small.Classes = scaled(birligiClasses, 0.15)
	list := []Scenario{
		withName(birligi, "birligi", "many instances that each see little of the load"),
		withName(virtanen, "virtanen", "the same with shorter objectives"),
		withName(small, "birligi-small", "four instances before nine runners"),
	}
	surge := withName(birligi, "surge", "twice the usual for six seconds")
	surge.Surges = []Surge{{From: 6 * time.Second, To: 12 * time.Second, Factor: 2}}
	overload := withName(birligi, "overload", "four times what the runners can serve in time, for six seconds")
	overload.Surges = []Surge{{From: 6 * time.Second, To: 12 * time.Second, Factor: 4}}
	hot := withName(virtanen, "hot-subject", "a third of the digests about one subject")
	hot.HotPrefix = HotPrefix{Class: "digest", Share: 0.33}
	limited := withName(small, "limited", "two of nine runners take two requests a second each")
	limited.RateLimit = RateLimit{Runners: 2, PerSecond: 2, From: 3 * time.Second, To: time.Hour}
	limitedAll := withName(birligi, "limited-all", "every runner takes five requests a second")
	limitedAll.RateLimit = RateLimit{Runners: limitedAll.Runners, PerSecond: 5, From: 3 * time.Second, To: time.Hour}
	mixed := withName(small, "two-versions", "runners of two versions, one stream in five breaks off and is resumed")
	mixed.Versions, mixed.BreakShare = 2, 0.2
	mixedSurge := withName(mixed, "two-versions-surge", "the same with twice the usual for six seconds")
	mixedSurge.Surges = surge.Surges
	brittle := withName(small, "brittle", "twice the usual before runners that fall over if they reject more than four requests in a second")
	brittle.Runner.Slots = 12
	brittle.Surges = []Surge{{From: 6 * time.Second, To: 16 * time.Second, Factor: 2}}
	brittle.Brittleness = Brittleness{PerSecond: 4, From: 2 * time.Second, Room: 2}
	brittleLarge := withName(birligi, "brittle-large", "the same with 31 instances before 60 runners")
	brittleLarge.Runner.Slots, brittleLarge.Surges, brittleLarge.Brittleness = 12, brittle.Surges, brittle.Brittleness
	cut := withName(small, "cut", "one of four instances reaches no runner for twelve seconds")
	cut.Cut = Cut{Instances: 1, From: 4 * time.Second, To: 16 * time.Second}
	cutMost := withName(small, "cut-most", "three of four instances reach no runner for twelve seconds")
	cutMost.Cut = Cut{Instances: 3, From: 4 * time.Second, To: 16 * time.Second}
	uneven := withName(birligi, "uneven", "runners of uneven speed that are disturbed within a second, with 24 slots and 81.9 tokens per ms")
	uneven.Runner.Slots, uneven.Runner.PrefillTokensPerMs, uneven.Classes = 24, 81.9, scaled(birligiClasses, 1.7)
	uneven.Unevenness = Unevenness{Factors: []float64{1, 0.7, 1, 1.7, 1}, DisturbedShare: 0.15, Reported: true}
	unevenSilent := withName(uneven, "uneven-silent", "the same without reports of how long work takes")
	unevenSilent.Unevenness.Reported = false
	fast := withName(uneven, "fast", "the same runners, undisturbed, with 16 slots and 157 tokens per ms")
	fast.Runner.Slots, fast.Runner.PrefillTokensPerMs, fast.Classes = 16, 157, scaled(birligiClasses, 2.2)
	fast.Unevenness.DisturbedShare = 0
	return append(list, uneven, unevenSilent, fast, surge, withFirstDomain(surge, "scarce-domain", "the same with a failure domain that has six of 60 runners", 6), overload, hot, limited, limitedAll, mixed, mixedSurge, brittle, brittleLarge, cut, cutMost)
}

// FindScenario returns the scenario with the given name.
func FindScenario(name string) (Scenario, bool) {
	for _, sc := range Scenarios() {
		if sc.Name == name {
			return sc, true
		}
	}
	return Scenario{}, false
}

func withName(sc Scenario, name, description string) Scenario {
	sc.Name, sc.Description = name, description
	return sc
}

func withFirstDomain(sc Scenario, name, description string, runners int) Scenario {
	sc.Name, sc.Description, sc.FirstDomain = name, description, runners
	return sc
}

// scaled returns the classes with their arrival rates and numbers of shared prefixes multiplied by factor.
func scaled(list []Class, factor float64) []Class {
	out := make([]Class, 0, len(list))
	for _, cl := range list {
		cl.ArrivalsPerSecond *= factor
		cl.SharedPrefixes = max(1, int(float64(cl.SharedPrefixes)*factor))
		out = append(out, cl)
	}
	return out
}

// loadFactor returns the factor by which the arrival rates are multiplied at the given time.
func (sc Scenario) loadFactor(at time.Duration) float64 {
	for _, su := range sc.Surges {
		if at >= su.From && at < su.To {
			return su.Factor
		}
	}
	return 1
}
