package emul

import (
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// choice is the result of a policy's pick.
type choice struct {
	// runner is the chosen runner. If it is nil, the request is refused and may be retried after retryAfter.
	runner *runner
	// source is a runner from whose cache shared parts are copied, or nil.
	source *runner
	// retryAfter is the delay from a refusal until the retry.
	retryAfter time.Duration
	// decision is the balancer's decision; of the baselines, only the oracle fills a part of it.
	decision place.Decision
}

// attempt is a policy's record of one dispatched request.
type attempt interface {
	// firstToken is called at the first token, with the load that the runner reports then.
	firstToken(now time.Duration, load place.Load)
	// rejected is called instead when the runner has no room, with the load that it reports.
	rejected(now time.Duration, load place.Load)
	// broken is called instead when the runner breaks the connection.
	broken(now time.Duration)
	// end is called when the request has completed or its caller has given up.
	end(now time.Duration, completed bool)
}

// policy chooses a runner for each request. instance is the index of the instance at which the request arrived.
type policy interface {
	// pick returns the runner for a request, or a refusal.
	pick(instance int, rq place.Request) choice
	// dispatch is called when a request is sent to the chosen runner.
	dispatch(instance int, rq place.Request, ch choice) attempt
}

// Policies returns the names of all policies: first the router's placement ("weir"), then the baselines, last the oracle.
func Policies() []string {
	return []string{"weir", "random", "leastOutstanding", "powerOfTwo", "prefixHash", "oracle"}
}

func newPolicy(name string, si *simulation) policy {
	switch name {
	case "random":
		return &random{sim: si, random: rand.New(rand.NewPCG(si.seed, 2))}
	case "leastOutstanding":
		return &outstanding{sim: si, counts: newCounts(si), random: rand.New(rand.NewPCG(si.seed, 2))}
	case "powerOfTwo":
		return &outstanding{sim: si, counts: newCounts(si), random: rand.New(rand.NewPCG(si.seed, 2)), sampleSize: 2}
	case "prefixHash":
		return &prefixHash{sim: si}
	case "oracle":
		return &oracle{sim: si}
	default:
		return newWeir(si)
	}
}

// untracked is an attempt of a policy that keeps no state.
type untracked struct{}

func (untracked) firstToken(time.Duration, place.Load) {}

func (untracked) rejected(time.Duration, place.Load) {}

func (untracked) broken(time.Duration) {}

func (untracked) end(time.Duration, bool) {}

// random distributes requests uniformly at random.
type random struct {
	sim    *simulation
	random *rand.Rand
}

func (ra *random) pick(int, place.Request) choice {
	return choice{runner: ra.sim.runners[ra.random.IntN(len(ra.sim.runners))]}
}

func (ra *random) dispatch(int, place.Request, choice) attempt { return untracked{} }

// outstanding chooses the runner with the fewest requests in flight from the same instance.
type outstanding struct {
	sim *simulation
	// counts holds the number of requests in flight, by the index of the instance and of the runner.
	counts [][]int
	random *rand.Rand
	// sampleSize is the number of runners that are drawn at random and compared; zero compares all runners.
	sampleSize int
}

func newCounts(si *simulation) [][]int {
	counts := make([][]int, si.scenario.Instances)
	for ix := range counts {
		counts[ix] = make([]int, len(si.runners))
	}
	return counts
}

func (ou *outstanding) pick(instance int, _ place.Request) choice {
	best, size := -1, len(ou.sim.runners)
	first, count := ou.random.IntN(size), size
	if ou.sampleSize > 0 {
		count = ou.sampleSize
	}
	for ix := range count {
		index := (first + ix) % size
		if ou.sampleSize > 0 {
			index = ou.random.IntN(size)
		}
		if best < 0 || ou.counts[instance][index] < ou.counts[instance][best] {
			best = index
		}
	}
	return choice{runner: ou.sim.runners[best]}
}

func (ou *outstanding) dispatch(instance int, _ place.Request, ch choice) attempt {
	index := ou.sim.runnerIndex[ch.runner]
	ou.counts[instance][index]++
	return &countedAttempt{count: &ou.counts[instance][index]}
}

// countedAttempt decrements the count of requests in flight of its instance and runner when the request ends.
type countedAttempt struct {
	untracked
	count *int
}

func (ca *countedAttempt) rejected(time.Duration, place.Load) { *ca.count-- }

func (ca *countedAttempt) broken(time.Duration) { *ca.count-- }

func (ca *countedAttempt) end(time.Duration, bool) { *ca.count-- }

// prefixHash sends all requests with the same shared prefix to one runner.
type prefixHash struct {
	sim *simulation
}

func (ph *prefixHash) pick(_ int, rq place.Request) choice {
	prefix := rq.Parts[max(0, len(rq.Parts)-2)].ID
	return choice{runner: ph.sim.runners[prefix*0x9e3779b97f4a7c15>>32%uint64(len(ph.sim.runners))]}
}

func (ph *prefixHash) dispatch(int, place.Request, choice) attempt { return untracked{} }

// oracle knows every runner's true prefill backlog and cache. It refuses a request if not even the best runner can generate the first token
// before the caller's timeout.
type oracle struct {
	sim *simulation
}

func (or *oracle) pick(_ int, rq place.Request) choice {
	var best choice
	least, config := time.Duration(0), or.sim.scenario.Runner
	for _, ru := range or.sim.runners {
		uncached := rq.Prompt - ru.cache.cachedTokens(rq.Parts)
		first := time.Duration(float64(ru.backlog()+uncached)/config.PrefillTokensPerMs*float64(time.Millisecond)) + config.Step
		// Uncached tokens count twice, as their prefill also delays other requests.
		cost := first + time.Duration(float64(uncached)/config.PrefillTokensPerMs*float64(time.Millisecond))
		if best.runner == nil || cost < least {
			best, least = choice{runner: ru, decision: place.Decision{TimeToFirstEvent: first}}, cost
		}
	}
	if best.decision.TimeToFirstEvent > rq.TimeLeft {
		return choice{retryAfter: best.decision.TimeToFirstEvent - rq.TimeLeft/2}
	}
	return best
}

func (or *oracle) dispatch(int, place.Request, choice) attempt { return untracked{} }
