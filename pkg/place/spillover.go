package place

import (
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/spill"
)

const (
	// bytesPerToken is the usual number of bytes of a prompt token. The response is small against the prompt.
	bytesPerToken = 4
	// observedEndpoints bounds the endpoints of a failure domain that one observation examines, and observedDomains the domains.
	observedEndpoints, observedDomains = 64, 16
	// leastBusyShare is the part of the examined endpoints that counts as the least busy ones. The wait at a single endpoint changes too much.
	leastBusyShare = 4
	// maxUsableFailures is the count of recent failures from which an endpoint is not usable for the pressure of its domain.
	maxUsableFailures = 1
)

// spillover holds what the balancer needs to decide which requests leave the failure domain.
type spillover struct {
	spill *spill.Spill
	// draw and change are those of the current decision.
	draw   float64
	change spill.Change
	// late is true while a decision is made again for a request that would be refused in its domain.
	late bool
	// costs are the costs of leaving for the current request, by the index of the domain in index.names.
	costs []leavingCosts
	// loads and waits are used by observe.
	loads []spill.Load
	waits [observedEndpoints]time.Duration
}

// leavingCosts are the costs of sending a request to a failure domain: to endpoints of known and of unknown load, and to the holder of its prefix.
type leavingCosts struct {
	known, unknown, holder time.Duration
}

// SetSpill sets what leaving the failure domain costs.
func (ba *Balancer) SetSpill(cf spill.Config) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.spillover.spill = spill.New(cf)
}

// SpillCost returns what leaving the failure domain costs a request to the service now, beyond the round trip and the transfer.
func (ba *Balancer) SpillCost(service string) time.Duration {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	return ba.spillover.spill.Surcharge(service)
}

// prepareSpill prepares the costs of leaving for a request.
func (ba *Balancer) prepareSpill(now time.Duration, se *plan.Service, ix *index, rq *Request) {
	so := &ba.spillover
	so.costs = so.costs[:0]
	if rq.Domain == "" || (len(ix.names) == 1 && ix.names[0] == rq.Domain) {
		for range ix.names {
			so.costs = append(so.costs, leavingCosts{})
		}
		return
	}
	// The endpoints to which a resumed stream can go do not stand for their domains.
	if !rq.Resumed && so.spill.Due(now, se.Name) {
		so.change = so.spill.Observe(now, se.Name, rq.Domain, ba.observe(now, se, ix, rq), rq.bytes())
	}
	if !so.late {
		so.draw = so.spill.Draw(se.Name)
	}
	for _, name := range ix.names {
		sr := so.request(rq)
		co := leavingCosts{known: so.spill.Cost(now, se.Name, rq.Domain, name, sr)}
		if name != rq.Domain {
			sr.Stale = true
			co.unknown = so.spill.Cost(now, se.Name, rq.Domain, name, sr)
			sr.Holder = true
			co.holder = so.spill.Cost(now, se.Name, rq.Domain, name, sr)
		}
		so.costs = append(so.costs, co)
	}
}

// request returns what the costs of leaving depend on.
func (so *spillover) request(rq *Request) spill.Request {
	return spill.Request{Bytes: rq.bytes(), TimeLeft: rq.TimeLeft, Draw: so.draw, Late: so.late}
}

// leavingCost returns the cost of sending the request to an endpoint in the failure domain with the index, if that is another one; held is true for the holder of its prefix.
func (ba *Balancer) leavingCost(now time.Duration, domain int, rq *Request, st *state, held bool) time.Duration {
	co := &ba.spillover.costs[domain]
	switch {
	case held && rq.PrefixID() != 0:
		return co.holder
	case co.unknown != co.known && !st.loadKnown(now):
		return co.unknown
	default:
		return co.known
	}
}

// leave sets the domain of a decision, and why the request leaves its own.
func (ba *Balancer) leave(se *plan.Service, rq *Request, de *Decision, holder *candidate) {
	so := &ba.spillover
	if de.Endpoint == nil {
		return
	}
	de.Domain = de.Endpoint.Domain
	if rq.Domain == "" || de.Domain == rq.Domain {
		return
	}
	sr := so.request(rq)
	sr.Holder = holder != nil && holder.endpoint == de.Endpoint && rq.PrefixID() != 0
	de.LeftFor = so.spill.Reason(se.Name, de.Domain, sr)
}

// leaveLate chooses again among the collected candidates, without the surcharge for leaving the domain, if the request would be refused as late in it.
func (ba *Balancer) leaveLate(now time.Duration, se *plan.Service, ix *index, rq *Request, de Decision) Decision {
	so := &ba.spillover
	if de.Endpoint == nil || rq.Domain == "" || len(ix.names) < 2 || de.Endpoint.Domain != rq.Domain || refuseLate(*rq, de).Endpoint != nil {
		return de
	}
	so.late = true
	holder := ba.prefixHolder(ix, ix.preferredEndpoint(rq, ba.limited > 0 && ba.limited < len(ix.list)), rq)
	other := ba.leastCost(now, se, ix, holder, rq, false)
	so.late = false
	if other.Endpoint == nil || refuseLate(*rq, other).Endpoint == nil {
		return de
	}
	return other
}

// loadKnown reports whether the endpoint or a peer has said something of its load recently.
func (st *state) loadKnown(now time.Duration) bool {
	return st.hasLoad(now) || (st.peerTokensAt > 0 && now-st.peerTokensAt <= maxLoadAge)
}

// bytes returns the number of bytes that are sent to the endpoint.
func (rq *Request) bytes() int64 {
	if rq.Bytes > 0 {
		return rq.Bytes
	}
	return bytesPerToken * rq.Prompt
}

// observe returns the loads of the failure domains of a list.
func (ba *Balancer) observe(now time.Duration, se *plan.Service, ix *index, rq *Request) []spill.Load {
	so := &ba.spillover
	so.loads = so.loads[:0]
	probe := Request{Prompt: min(1, rq.Prompt)}
	for num, name := range ix.names {
		// The own domain is always examined.
		if num >= observedDomains && name != rq.Domain {
			continue
		}
		so.loads = append(so.loads, ba.observeDomain(now, se, ix, &probe, num))
	}
	return so.loads
}

// observeDomain returns the load of the failure domain with the index.
func (ba *Balancer) observeDomain(now time.Duration, se *plan.Service, ix *index, probe *Request, num int) spill.Load {
	lo := spill.Load{Domain: ix.names[num]}
	known, unknown, examined := 0, 0, 0
	// Known waits are kept at the front, unknown ones at the back.
	waits := &ba.spillover.waits
	examine := func(pos int) {
		st := ix.entries[pos].state
		examined++
		if st.refuses(now) || !st.circuit.Allows(now) || st.recentFailures(now) >= maxUsableFailures {
			return
		}
		lo.Usable++
		wait, _ := st.expect(now, se, probe, 0)
		wait += inactivityFactor * st.inactivity(now)
		if st.loadKnown(now) {
			waits[known] = wait
			known++
		} else {
			unknown++
			waits[observedEndpoints-unknown] = wait
		}
	}
	if len(ix.local) > 0 {
		local := ix.local[num]
		at := ix.draw(len(local))
		for range min(observedEndpoints, len(local)) {
			examine(local[at])
			if at++; at == len(local) {
				at = 0
			}
		}
	} else {
		for pos := range ix.entries {
			if ix.domains[pos] == num && examined < observedEndpoints {
				examine(pos)
			}
		}
	}
	lo.Known = known > 0
	lo.Wait, lo.StaleWait = leastBusy(waits[:known]), leastBusy(waits[observedEndpoints-unknown:])
	if known == 0 {
		lo.Wait = lo.StaleWait
	}
	if unknown == 0 {
		lo.StaleWait = lo.Wait
	}
	return lo
}

// leastBusy returns the mean of the shortest waits, which it sorts.
func leastBusy(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	count, sum := (len(waits)+leastBusyShare-1)/leastBusyShare, time.Duration(0)
	for _, wait := range waits[:count] {
		sum += wait
	}
	return sum / time.Duration(count)
}
