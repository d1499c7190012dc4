package emul

import (
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// choice is a policy's decision; without a runner the request is refused and may be retried after retryAfter.
type choice struct {
	runner *runner
	// source is a runner from whose cache shared parts are copied, or nil.
	source     *runner
	retryAfter time.Duration
	decision   place.Decision
}

// attempt notifies a policy of the progress of one dispatched request.
type attempt interface {
	firstToken(now time.Duration, load place.Load)
	end(now time.Duration, completed bool)
}

// policy chooses runners for the requests that arrive at instances, which are given by their index.
type policy interface {
	pick(instance int, rq place.Request) choice
	dispatch(instance int, rq place.Request, ch choice) attempt
}

// Policies returns the names of all policies, beginning with the placement of instances and ending with the oracle.
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

// outstanding chooses the runner with the fewest requests in flight from the same instance, among all or a random sample.
type outstanding struct {
	sim *simulation
	// counts holds the requests in flight by instance and runner.
	counts     [][]int
	random     *rand.Rand
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

// countedAttempt decrements a count of requests in flight when the request ends.
type countedAttempt struct {
	untracked
	count *int
}

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

// oracle knows every runner's true prefill backlog and cache, and refuses requests that the best runner cannot begin in time.
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
