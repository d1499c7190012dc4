package spill

import (
	"math"
	"time"
)

const (
	// waitShare gives the least surcharge: waitShare * the wait in the own domain. With long queues, the waits at the endpoints of one domain differ by about as
	// much.
	waitShare = 0.25
	// timeLeftShare gives the greatest surcharge: timeLeftShare * the time left, a fifth of the latency target. A request does not become late because it stays.
	timeLeftShare = 0.05
	// heldShare gives the cost that keeps requests outside the share in their domain under pressure: heldShare * the time left, half of the latency target.
	heldShare = 0.125
	// gainFactor gives that cost for requests without a deadline: the surcharge + gainFactor * the gain.
	gainFactor = 2
)

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

// Cost returns the time that is added to the cost of an endpoint in the domain to for a request of an instance in the domain from. If that has no usable endpoint,
// only the round trip and recent refusals count.
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

// heldCost returns what leaving costs a request that should stay, beyond the round trip and the bytes; the domain is nil if nothing is known of it. Under
// pressure, it is more than the surcharge, so that only the share leaves, and requests that would otherwise become late. With the surcharge alone, all requests of
// all instances would leave as soon as the gain is larger, and return together.
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

// price returns the price of a number of bytes.
func (sp *Spill) price(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / 1e6 * float64(sp.config.BytePrice))
}

// staleCost returns what is added to the expected time at an endpoint of unknown load: it counts as busy as the known ones of its domain, or else as the own
// domain.
func (sv *service) staleCost(do *domain) time.Duration {
	if do.load.Known {
		return max(0, do.load.Wait-do.load.StaleWait)
	}
	return max(0, sv.own.Wait-do.load.StaleWait)
}

// leaves reports whether the request is one of the share that may leave to the domain. With small shares, those of different domains are different requests.
func (rq *Request) leaves(do *domain) bool {
	_, draw := math.Modf(rq.Draw + do.phase)
	return draw < do.share
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

// Surcharge returns what leaving costs beyond the round trip and the bytes, averaged over requests with much time left.
func (sp *Spill) Surcharge(name string) time.Duration {
	sv, ok := sp.services[name]
	if !ok || !sv.observed {
		return sp.config.Surcharge
	}
	return sp.meanSurcharge(sv)
}

// meanSurcharge returns the mean surcharge of requests that leave to the domain with the largest share.
func (sp *Spill) meanSurcharge(sv *service) time.Duration {
	if sv.own.Usable == 0 {
		return 0
	}
	return time.Duration((1 - sv.share()) * float64(sp.surcharge(sv.own.Wait, Request{})))
}
