package emul

import (
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// choice is a policy's decision; without a runner the request is refused and may return after a while.
type choice struct {
	runner *runner
	// source is a runner from whose memory the shared parts are copied, or nil.
	source     *runner
	retryAfter time.Duration
	decision   place.Decision
}

// sending is one request on its way, as its policy follows it.
type sending interface {
	started(now time.Duration, load place.Load)
	ended(now time.Duration, whole bool)
}

// policy chooses runners for the requests that arrive at instances.
type policy interface {
	pick(at int, rq place.Request) choice
	begin(at int, rq place.Request, ch choice) sending
}

// Policies names all policies, the placement of instances first and the oracle last.
func Policies() []string {
	return []string{"weir", "random", "leastOutstanding", "powerOfTwo", "prefixHash", "oracle"}
}

func newPolicy(name string, wo *world) policy {
	switch name {
	case "random":
		return &random{world: wo, random: rand.New(rand.NewPCG(wo.seed, 2))}
	case "leastOutstanding":
		return &outstanding{world: wo, counts: newCounts(wo), random: rand.New(rand.NewPCG(wo.seed, 2))}
	case "powerOfTwo":
		return &outstanding{world: wo, counts: newCounts(wo), random: rand.New(rand.NewPCG(wo.seed, 2)), sample: 2}
	case "prefixHash":
		return &prefixHash{world: wo}
	case "oracle":
		return &oracle{world: wo}
	default:
		return newWeir(wo)
	}
}

// ignored follows nothing.
type ignored struct{}

func (ignored) started(time.Duration, place.Load) {}

func (ignored) ended(time.Duration, bool) {}

// random spreads requests evenly.
type random struct {
	world  *world
	random *rand.Rand
}

func (ra *random) pick(int, place.Request) choice {
	return choice{runner: ra.world.runners[ra.random.IntN(len(ra.world.runners))]}
}

func (ra *random) begin(int, place.Request, choice) sending { return ignored{} }

// outstanding takes the runner with the fewest own requests, of all or of a sample.
type outstanding struct {
	world  *world
	counts [][]int
	random *rand.Rand
	sample int
}

func newCounts(wo *world) [][]int {
	counts := make([][]int, wo.scenario.Instances)
	for ix := range counts {
		counts[ix] = make([]int, len(wo.runners))
	}
	return counts
}

func (ou *outstanding) pick(at int, _ place.Request) choice {
	best, size := -1, len(ou.world.runners)
	first, count := ou.random.IntN(size), size
	if ou.sample > 0 {
		count = ou.sample
	}
	for ix := range count {
		index := (first + ix) % size
		if ou.sample > 0 {
			index = ou.random.IntN(size)
		}
		if best < 0 || ou.counts[at][index] < ou.counts[at][best] {
			best = index
		}
	}
	return choice{runner: ou.world.runners[best]}
}

func (ou *outstanding) begin(at int, _ place.Request, ch choice) sending {
	index := ou.world.index[ch.runner]
	ou.counts[at][index]++
	return &counted{count: &ou.counts[at][index]}
}

type counted struct {
	ignored
	count *int
}

func (co *counted) ended(time.Duration, bool) { *co.count-- }

// prefixHash sends what shares its parts to one runner.
type prefixHash struct {
	world *world
}

func (ph *prefixHash) pick(_ int, rq place.Request) choice {
	subject := rq.Parts[max(0, len(rq.Parts)-2)].ID
	return choice{runner: ph.world.runners[subject*0x9e3779b97f4a7c15>>32%uint64(len(ph.world.runners))]}
}

func (ph *prefixHash) begin(int, place.Request, choice) sending { return ignored{} }

// oracle sees every runner's true backlog and memory, and refuses what no runner can begin in time.
type oracle struct {
	world *world
}

func (or *oracle) pick(_ int, rq place.Request) choice {
	var best choice
	least, config := time.Duration(0), or.world.scenario.Runner
	for _, ru := range or.world.runners {
		unread := rq.Prompt - ru.memory.held(rq.Parts)
		first := time.Duration(float64(ru.backlog()+unread)/config.TokensPerMs*float64(time.Millisecond)) + config.Step
		// Reading shared parts again delays others by as long.
		cost := first + time.Duration(float64(unread)/config.TokensPerMs*float64(time.Millisecond))
		if best.runner == nil || cost < least {
			best, least = choice{runner: ru, decision: place.Decision{TimeToFirstEvent: first}}, cost
		}
	}
	if best.decision.TimeToFirstEvent > rq.TimeLeft {
		return choice{retryAfter: best.decision.TimeToFirstEvent - rq.TimeLeft/2}
	}
	return best
}

func (or *oracle) begin(int, place.Request, choice) sending { return ignored{} }
