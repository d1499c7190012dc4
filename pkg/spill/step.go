package spill

import (
	"slices"
	"time"
)

const (
	// stepInterval is the mean time between two steps of the shares. The effect of a step is seen after the first events of the requests that it moved, which
	// take some hundred milliseconds under load.
	stepInterval = 250 * time.Millisecond
	// maxIdle is the time without an observation after which the shares are void.
	maxIdle = 5 * time.Second
	// maxStep bounds the change of a share in one step.
	maxStep = 0.1
	// fallStep is the minimum by which a share falls in one step without a gain.
	fallStep = 0.02
	// shareOfGain is the change of a share for a change of the gain by a second. Queues grow as long as too many requests come, and loads are known some 0.4 s
	// late: a share that follows the gain at more than twice this rate swings.
	shareOfGain = 0.5
	// gainTime is the time in which a constant gain changes a share by as much as it did when it appeared.
	gainTime = 2 * time.Second
	// probeShare bounds the share of a domain whose load is unknown. The responses to these requests bring its load.
	probeShare = 0.1
	// riseAt and fallAt are the gains, as parts of the surcharge, from which a share rises and below which it falls.
	riseAt, fallAt = 0.5, 0.125
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

// Observe records the loads of all failure domains of a service, as an instance in the domain from knows them; bytes is the size of a present request. It
// returns a change of the shares.
func (sp *Spill) Observe(now time.Duration, name, from string, loads []Load, bytes int64) Change {
	sv := sp.service(name)
	if !sv.observed || now-sv.observedAt > maxIdle {
		sv.bytes, sv.stepAt = float64(bytes), now+time.Duration(sp.fraction()*float64(stepInterval))
		sv.own, sv.domains = Load{}, sv.domains[:0]
	}
	sv.observed, sv.observedAt = true, now
	sv.bytes += bytesWeight * (float64(bytes) - sv.bytes)
	sv.update(from, loads)
	sp.updateGains(sv)
	if now >= sv.stepAt {
		sv.stepAt = now + time.Duration((0.75+sp.fraction()/2)*float64(stepInterval))
		for ix := range sv.domains {
			sp.step(now, sv, &sv.domains[ix])
		}
	}
	return sp.change(sv)
}

// update records the loads.
func (sv *service) update(from string, loads []Load) {
	own := sv.own
	sv.own = Load{Domain: from}
	for _, lo := range loads {
		if lo.Domain == from {
			sv.own = smooth(own, lo)
		} else if do := sv.domain(lo.Domain); do != nil {
			do.load = smooth(do.load, lo)
		} else if len(sv.domains) < maxDomains {
			sv.domains = append(sv.domains, domain{load: lo, phase: phaseStep * float64(len(sv.domains))})
		}
	}
	for ix := len(sv.domains) - 1; ix >= 0; ix-- {
		if !slices.ContainsFunc(loads, func(lo Load) bool { return lo.Domain == sv.domains[ix].load.Domain }) {
			sv.domains = slices.Delete(sv.domains, ix, ix+1)
		}
	}
}

// updateGains updates what a request gains by leaving.
func (sp *Spill) updateGains(sv *service) {
	for ix := range sv.domains {
		do := &sv.domains[ix]
		wait := do.load.Wait
		if !do.load.Known {
			wait = do.load.StaleWait
		}
		do.gain = sv.own.Wait - wait - sp.config.RoundTrip - sp.price(int64(sv.bytes))
		do.pressure = do.share > 0 || float64(do.gain) > riseAt*float64(sp.surcharge(sv.own.Wait, Request{}))
	}
}

// smooth returns the newest load with waits that are averaged with the previous ones, since they are estimated from a sample of the endpoints. A wait is not
// averaged with that of a domain without usable endpoints or of unknown load.
func smooth(before, newest Load) Load {
	if before.Usable == 0 || before.Domain != newest.Domain {
		return newest
	}
	if before.Known == newest.Known {
		newest.Wait = before.Wait + time.Duration(waitWeight*float64(newest.Wait-before.Wait))
	}
	newest.StaleWait = before.StaleWait + time.Duration(waitWeight*float64(newest.StaleWait-before.StaleWait))
	return newest
}

// step changes the share of a domain by one step: with the gain, further up while requests gain from leaving, and down when they no longer do.
func (sp *Spill) step(now time.Duration, sv *service, do *domain) {
	if do.load.Usable == 0 || sv.own.Usable == 0 {
		// Without usable endpoints in the own domain, the shares do not matter; see Cost.
		do.share = max(0, do.share-fallStep)
		return
	}
	limit := 1.0
	if !do.load.Known {
		limit = probeShare
	}
	charge := float64(sp.surcharge(sv.own.Wait, Request{}))
	gain := float64(do.gain)
	step := shareOfGain * (do.gain - do.gainBefore).Seconds()
	do.gainBefore = do.gain
	switch {
	case gain < fallAt*charge:
		step = min(step, 0) - fallStep
	case gain > riseAt*charge:
		step += shareOfGain * do.gain.Seconds() * stepInterval.Seconds() / gainTime.Seconds()
	}
	if do.recentRefusals(now) > minRefusals {
		step = min(step, 0)
	}
	do.share = min(max(0, do.share+min(max(-maxStep, step), maxStep)), limit)
}

// change returns the change of the largest share since the last one that was returned, if it is large enough.
func (sp *Spill) change(sv *service) Change {
	share, lost := sv.share(), sv.own.Usable == 0
	diff := share - sv.reported
	if lost == sv.reportedLost && (diff == 0 || (diff < changeStep && diff > -changeStep && share > 0 && share < 1)) {
		return Change{}
	}
	ch := Change{Before: sv.reported, After: share, Wait: sv.own.Wait, Lost: lost, Surcharge: sp.meanSurcharge(sv)}
	sv.reported, sv.reportedLost = share, lost
	return ch
}

// share returns the largest share over all domains.
func (sv *service) share() float64 {
	share := 0.0
	for ix := range sv.domains {
		share = max(share, sv.domains[ix].share)
	}
	return share
}

// fraction returns a random number from 0 to 1, by xorshift.
func (sp *Spill) fraction() float64 {
	sp.random ^= sp.random << 13
	sp.random ^= sp.random >> 7
	sp.random ^= sp.random << 17
	return float64(sp.random>>11) / (1 << 53)
}
