package spill

import (
	"math"
	"time"
)

const (
	// observeInterval is the minimum time between two observations of a service. The loads that endpoints report change little faster.
	observeInterval = 100 * time.Millisecond
	// refusalHalfLife is the half-life of the count of refusals, and maxRefusals its maximum.
	refusalHalfLife = time.Second
	maxRefusals     = 8
	// minRefusals is the count of refusals above which a share does not rise.
	minRefusals = 0.25
)

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
	// phase is added to the draws for the domain; it differs from that of the next domain, so that they are not sent the same requests.
	phase float64
	// share is the share of requests that may leave to the domain without a surcharge.
	share float64
	// gain is the time that a request gains by leaving to the domain, and gainBefore the gain at the last step.
	gain, gainBefore time.Duration
	// pressure reports whether a share leaves to the domain, or should: the gain is large enough.
	pressure bool
	// refusals counts the recent refusals at the time refusedAt.
	refusals  float64
	refusedAt time.Duration
}

// New returns a Spill that knows of no load.
func New(cf Config) *Spill {
	return &Spill{config: cf, random: cf.Seed*0x9e3779b97f4a7c15 | 1, services: map[string]*service{}}
}

// Draw returns a number from 0 to 1 for a request: the fraction of a multiple of the golden ratio, so that consecutive numbers are spread evenly.
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
