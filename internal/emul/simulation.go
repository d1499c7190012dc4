package emul

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// drainTime is the time for which the simulation continues after the end of Scenario.Duration, so that requests in flight can finish.
const drainTime = 15 * time.Second

// IDs of prompt parts. The ID of the prefix that a whole class shares is the index of the class plus 1.
const (
	// firstPrefixPart is the lowest ID of a second prefix (see Class.SharedPrefixes).
	firstPrefixPart = 1_000_000_000
	// prefixesPerClass is the number of IDs that are reserved for the second prefixes of each class.
	prefixesPerClass = 1_000_000
	// Prompt parts with IDs greater than firstUniquePart occur in one request only; shared prompt parts have smaller IDs.
	firstUniquePart = 1 << 40
)

// Config selects what is simulated.
type Config struct {
	// Scenario is the deployment and the load to simulate.
	Scenario Scenario
	// Policy is one of the names that Policies returns.
	Policy string
	// Seed is the seed of all random choices.
	Seed uint64
}

// simulation is the state of one run: the runners, the callers' requests and the policy.
type simulation struct {
	scenario    Scenario
	seed        uint64
	clock       *clock
	random      *rand.Rand
	runners     []*runner
	runnersByID map[string]*runner
	// runnerIndex holds the index of each runner in runners.
	runnerIndex map[*runner]int
	policy      policy
	// uniqueParts is the number of unique parts so far: one for each first try or retry of a request.
	uniqueParts uint64
	requests    []*callerRequest
	left        LeftTally
	resumptions Resumptions
}

// callerRequest is one request of a caller, which is retried once if it is refused.
type callerRequest struct {
	class Class
	// classIndex is the index of the class in the scenario, prefix the index of the shared prefix within the class.
	classIndex int
	prefix     int
	// instance is the instance of the first try.
	instance  int
	arrivedAt time.Duration
	// firstTokenAt is the time of the first token, or zero if there was none.
	firstTokenAt time.Duration
	// refusals is the number of times that the policy has refused the request.
	refusals int
	// completed is set when the last output token has been generated.
	completed    bool
	promptTokens int64
}

// Run simulates a scenario with a policy; equal configurations give equal results.
func Run(config Config) (Result, error) {
	known := false
	for _, name := range Policies() {
		known = known || name == config.Policy
	}
	if !known {
		return Result{}, fmt.Errorf("there is no policy %q; the policies are %v", config.Policy, Policies())
	}
	si := newSimulation(config)
	si.scheduleCut()
	for ix := range config.Scenario.Classes {
		si.scheduleArrival(ix)
	}
	si.clock.runUntil(config.Scenario.Duration + drainTime)
	return si.result(config.Policy), nil
}

func newSimulation(config Config) *simulation {
	sc := config.Scenario
	si := &simulation{
		scenario: sc, seed: config.Seed, clock: &clock{}, random: rand.New(rand.NewPCG(config.Seed, 1)),
		runnersByID: map[string]*runner{}, runnerIndex: map[*runner]int{},
	}
	prefilledParts := map[uint64]bool{}
	for ix := range sc.Runners {
		en := &roster.Endpoint{ID: fmt.Sprint("runner-", ix), Service: "model", Domain: domainName(sc.domainOf(ix)), Slots: sc.Runner.Slots, Version: sc.versionOf(ix)}
		ru := newRunner(sc.Runner, en, si.clock, prefilledParts)
		ru.unevenness, ru.index = sc.Unevenness, ix
		si.runners = append(si.runners, ru)
		si.runnersByID[en.ID], si.runnerIndex[ru] = ru, ix
	}
	si.policy = newPolicy(config.Policy, si)
	return si
}

func instanceName(index int) string { return fmt.Sprint("instance-", index) }

func domainName(index int) string { return fmt.Sprint("domain-", index) }

// scheduleArrival schedules the next arrival of the class with the given index; that arrival then schedules the one after it.
func (si *simulation) scheduleArrival(ix int) {
	cl := si.scenario.Classes[ix]
	rate := cl.ArrivalsPerSecond * si.scenario.loadFactor(si.clock.now)
	at := si.clock.now + time.Duration(si.random.ExpFloat64()*float64(time.Second)/rate)
	if at > si.scenario.Duration {
		return
	}
	si.clock.at(at, func() {
		si.arrive(ix)
		si.scheduleArrival(ix)
	})
}

// arrive creates and dispatches a request of the class with the given index.
func (si *simulation) arrive(ix int) {
	cl := si.scenario.Classes[ix]
	prefix := si.random.IntN(cl.SharedPrefixes)
	if si.scenario.HotPrefix.Class == cl.Name && si.random.Float64() < si.scenario.HotPrefix.Share {
		prefix = 0
	}
	cr := &callerRequest{class: cl, classIndex: ix, prefix: prefix, arrivedAt: si.clock.now}
	cr.promptTokens = cl.ClassPrefixTokens + cl.SharedPrefixTokens + 1 + int64(si.random.ExpFloat64()*cl.UniqueTokens)
	si.requests = append(si.requests, cr)
	si.dispatch(cr)
}

// dispatch sends a request through a random instance. If the policy refuses it for the first time, it is retried later; after a second
// refusal it is dropped.
func (si *simulation) dispatch(cr *callerRequest) {
	cl, instance := cr.class, si.random.IntN(si.scenario.Instances)
	si.uniqueParts++
	rq := place.Request{
		Prompt: cr.promptTokens, Domain: domainName(instance % si.scenario.Domains), TimeLeft: cl.Timeout, Rank: cl.Rank,
		Parts: []place.Part{
			{ID: uint64(cr.classIndex + 1), Tokens: cl.ClassPrefixTokens},
			{ID: uint64(firstPrefixPart + cr.classIndex*prefixesPerClass + cr.prefix), Tokens: cl.SharedPrefixTokens},
			{ID: firstUniquePart + si.uniqueParts, Tokens: cr.promptTokens - cl.ClassPrefixTokens - cl.SharedPrefixTokens},
		},
	}
	if cr.refusals == 0 {
		cr.instance = instance
	}
	si.send(cr, instance, rq)
}

// refuse ends a try of a request, which is retried once.
func (si *simulation) refuse(cr *callerRequest, retryAfter time.Duration) {
	cr.refusals++
	if cr.refusals == 1 {
		si.clock.at(si.clock.now+retryAfter, func() { si.dispatch(cr) })
	}
}
