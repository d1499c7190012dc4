package spill

import (
	"math"
	"time"
)

const (
	// observeInterval is the minimum time between two observations of a service. The loads that endpoints report change little faster.
	observeInterval = 100 * time.Millisecond
	// stepInterval is the mean time between two steps of the shares. The effect of a step is seen after the first events of the requests that it moved, which
	// take some hundred milliseconds under load.
	stepInterval = 250 * time.Millisecond
	// maxIdle is the time without an observation after which the shares are void.
	maxIdle = 5 * time.Second
	// maxStep bounds the change of a share in one step; without gain, a share falls by at least fallStep.
	maxStep, fallStep = 0.1, 0.02
	// shareOfGain is the change of a share for a change of the gain by a second. Queues grow as long as too many requests come, and loads are known some 0.4 s
	// late: a share that follows the gain at more than twice this rate swings.
	shareOfGain = 0.5
	// gainTime is the time in which a constant gain changes a share by as much as it did when it appeared.
	gainTime = 2 * time.Second
	// probeShare bounds the share of a domain whose load is unknown. The responses to these requests bring its load.
	probeShare = 0.1
	// waitShare is the part of the wait in the own domain that another one must be better by, if that is more than the surcharge. With long queues, the
	// waits at the endpoints of one domain differ by about as much.
	waitShare = 0.25
	// timeLeftShare bounds the surcharge by the time left, which is about four times the latency target: a request does not become late because it stays.
	timeLeftShare = 0.05
	// heldShare is the part of the time left that requests outside the share wait longer under pressure: half of the latency target. Without a deadline, they
	// wait gainFactor times the gain.
	heldShare, gainFactor = 0.125, 2
	// riseAt and fallAt are the gains, as parts of the surcharge, from which a share rises and below which it falls.
	riseAt, fallAt = 0.5, 0.125
	// refusalHalfLife is the half-life of a refusal, and maxRefusals bounds their count. A share does not rise above minRefusals.
	refusalHalfLife          = time.Second
	maxRefusals, minRefusals = 8, 0.25
	// waitWeight is the weight of the newest wait in its average.
	waitWeight = 0.4
	// bytesWeight is the weight of the newest request in the average number of bytes.
	bytesWeight = 0.05
	// changeStep is the change of a share that is reported.
	changeStep = 0.1
	// phaseStep is the difference between the phases of the draws for two domains.
	phaseStep = 0.5
	// maxDomains bounds the failure domains of a service for which there are shares; the others count as unknown.
	maxDomains = 16
)

// Config says what leaving a failure domain costs.
type Config struct {
	// RoundTrip is the time of a round trip to another failure domain.
	RoundTrip time.Duration
	// BytePrice is the latency that sending one megabyte to another failure domain is worth.
	BytePrice time.Duration
	// Surcharge is added while the own domain is not under pressure; zero means that leaving always costs the round trip and the bytes.
	Surcharge time.Duration
	// Seed differs between instances, so that they do not change their shares together.
	Seed uint64
}

// DefaultConfig returns the usual configuration.
func DefaultConfig() Config {
	return Config{
		RoundTrip: 2 * time.Millisecond,
		// A prompt of 12,000 tokens costs 3 ms, with the round trip 5 ms.
		BytePrice: 60 * time.Millisecond,
		// A fifth of the shortest latency target (120 ms): no request misses its target because it stays.
		Surcharge: 24 * time.Millisecond,
	}
}

// Load is the load of the endpoints of a service in one failure domain.
type Load struct {
	// Domain is the name of the failure domain.
	Domain string
	// Usable is the number of endpoints that are reachable and do not refuse requests.
	Usable int
	// Known reports whether the load of some endpoints was reported recently.
	Known bool
	// Wait is the expected time of a small request at the least busy endpoints whose load is known, or at all if it is not known of any.
	Wait time.Duration
	// StaleWait is the expected time at the endpoints whose load is unknown, in which only the requests of this instance count.
	StaleWait time.Duration
}

// Request holds the properties of a request that decide what leaving costs.
type Request struct {
	// Bytes is the number of bytes that are sent.
	Bytes int64
	// TimeLeft is the time until the deadline, zero if there is none.
	TimeLeft time.Duration
	// Holder reports whether the endpoint is assumed to have a long shared prefix of the request cached. Prefilling it once more in each domain costs more than
	// the transfer.
	Holder bool
	// Late reports whether the request would be refused if it stayed in its domain.
	Late bool
	// Stale reports whether the load of the endpoint is unknown.
	Stale bool
	// Draw is the result of Spill.Draw for the request.
	Draw float64
}

// Change is a change of the share of requests that may leave; the zero value means none.
type Change struct {
	// Before and After are the shares, the largest over all domains.
	Before, After float64
	// Wait is the expected time in the own domain, and Lost reports whether it has no usable endpoint.
	Wait time.Duration
	Lost bool
	// Surcharge is the mean surcharge of requests that leave after the change; see Spill.Surcharge.
	Surcharge time.Duration
}

// Spill holds the shares of requests that may leave the domain without a surcharge, by service; it is not safe for concurrent use.
type Spill struct {
	config   Config
	random   uint64
	services map[string]*service
}

// service is what is known of one service.
type service struct {
	own     Load
	domains []domain
	// observedAt is the time of the last observation, and stepAt that of the next step.
	observedAt, stepAt time.Duration
	observed           bool
	// bytes is the average number of bytes of a request.
	bytes float64
	// drawn is the number of draws.
	drawn uint64
	// reported and reportedLost are After and Lost of the last Change.
	reported     float64
	reportedLost bool
}

// domain is another failure domain.
type domain struct {
	load Load
	// phase is added to the draws for the domain.
	phase float64
	// share is the share of requests that may leave to the domain without a surcharge.
	share float64
	// gain is the time that a request gains by leaving to the domain, and gainBefore the gain at the last step.
	gain, gainBefore time.Duration
	// pressure reports whether a share leaves to the domain, or should.
	pressure bool
	// refusals counts the recent refusals at the time refusedAt.
	refusals  float64
	refusedAt time.Duration
}

// New returns a Spill that knows of no load.
func New(cf Config) *Spill {
	return &Spill{config: cf, random: cf.Seed*0x9e3779b97f4a7c15 | 1, services: map[string]*service{}}
}

// Draw returns a number from 0 to 1 for a request. The numbers of consecutive requests are spread evenly.
func (sp *Spill) Draw(name string) float64 {
	sv := sp.service(name)
	sv.drawn++
	_, fraction := math.Modf(float64(sv.drawn%(1<<32)) * (math.Sqrt(5) - 1) / 2)
	return fraction
}

// Due reports whether the service should be observed now.
func (sp *Spill) Due(now time.Duration, name string) bool {
	sv, ok := sp.services[name]
	return !ok || !sv.observed || now-sv.observedAt >= observeInterval
}

// Cost returns the time that is added to the cost of an endpoint in the domain to for a request of an instance in the domain from.
func (sp *Spill) Cost(now time.Duration, name, from, to string, rq Request) time.Duration {
	if from == to {
		return 0
	}
	cost := sp.config.RoundTrip
	sv, ok := sp.services[name]
	if !ok || !sv.observed {
		return cost + sp.price(rq.Bytes) + sp.surcharge(0, rq)
	}
	do := sv.domain(to)
	if do != nil && do.refusals > 0 {
		cost += time.Duration(do.recentRefusals(now) * float64(sp.surcharge(sv.own.Wait, rq)))
	}
	if sv.own.Usable == 0 {
		return cost
	}
	cost += sp.price(rq.Bytes)
	if rq.Holder || sp.config.Surcharge == 0 || (do != nil && rq.leaves(do)) {
		return cost
	}
	if rq.Late && do != nil && do.pressure {
		if rq.Stale {
			cost += sv.staleCost(do)
		}
		return cost
	}
	return cost + sp.heldCost(sv, do, rq)
}

// Reason says why a request left the domain for an endpoint in another one.
func (sp *Spill) Reason(name, to string, rq Request) string {
	sv, ok := sp.services[name]
	if !ok {
		return "less busy"
	}
	do := sv.domain(to)
	switch {
	case sv.observed && sv.own.Usable == 0:
		return "no usable endpoint in the domain"
	case rq.Holder:
		return "cached prefix"
	case rq.Late && do != nil && do.pressure:
		return "late in the domain"
	case do != nil && rq.leaves(do):
		return "pressure"
	default:
		return "less busy"
	}
}

// Refused records that an endpoint in another domain has refused a request of this instance.
func (sp *Spill) Refused(now time.Duration, name, to string) {
	sv, ok := sp.services[name]
	if !ok {
		return
	}
	if do := sv.domain(to); do != nil {
		do.refusals = min(maxRefusals, do.recentRefusals(now)+1)
		do.refusedAt = now
		do.share /= 2
	}
}

// price returns the price of a number of bytes.
func (sp *Spill) price(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / 1e6 * float64(sp.config.BytePrice))
}

// surcharge returns the cost of leaving without need, at the given wait in the own domain.
func (sp *Spill) surcharge(wait time.Duration, rq Request) time.Duration {
	if sp.config.Surcharge == 0 {
		return 0
	}
	charge := max(sp.config.Surcharge, time.Duration(waitShare*float64(wait)))
	if rq.TimeLeft > 0 {
		charge = min(charge, time.Duration(timeLeftShare*float64(rq.TimeLeft)))
	}
	return charge
}

// heldCost returns what leaving costs a request that should stay, beyond the round trip and the bytes. Under pressure, only the
// share leaves, and those that would else become late: otherwise all requests of all instances would leave as soon as the gain is larger than the surcharge, and
// return together.
func (sp *Spill) heldCost(sv *service, do *domain, rq Request) time.Duration {
	cost := sp.surcharge(sv.own.Wait, rq)
	if do == nil {
		return cost
	}
	held := cost
	if do.pressure && rq.TimeLeft > 0 {
		held = max(held, time.Duration(heldShare*float64(rq.TimeLeft)))
	} else if do.pressure {
		held += gainFactor * max(0, do.gain)
	}
	if rq.Stale {
		held = max(held, cost+sv.staleCost(do))
	}
	return held
}

// leaves reports whether the request is one of the share that may leave to the domain. With small shares, those of different domains are different requests.
func (rq *Request) leaves(do *domain) bool {
	_, draw := math.Modf(rq.Draw + do.phase)
	return draw < do.share
}

// staleCost returns what is added to the expected time at an endpoint of unknown load: it counts as busy as the known ones of its domain, or else as the own
// domain.
func (sv *service) staleCost(do *domain) time.Duration {
	if do == nil {
		return 0
	}
	if do.load.Known {
		return max(0, do.load.Wait-do.load.StaleWait)
	}
	return max(0, sv.own.Wait-do.load.StaleWait)
}

func (sp *Spill) service(name string) *service {
	sv, ok := sp.services[name]
	if !ok {
		sv = &service{}
		sp.services[name] = sv
	}
	return sv
}

func (sv *service) domain(name string) *domain {
	for ix := range sv.domains {
		if sv.domains[ix].load.Domain == name {
			return &sv.domains[ix]
		}
	}
	return nil
}

func (do *domain) recentRefusals(now time.Duration) float64 {
	if do.refusals == 0 {
		return 0
	}
	return do.refusals * math.Exp2(-(now-do.refusedAt).Seconds()/refusalHalfLife.Seconds())
}
