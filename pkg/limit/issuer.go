package limit

import (
	"maps"
	"time"
)

const (
	// PermitLifetime is the time for which a permit can be used. In a span of length T the fleet then sends at most perSecond * (T +
	// PermitLifetime) + 1 requests to a limited endpoint, apart from handovers.
	PermitLifetime = 1500 * time.Millisecond
	// maxAhead is the maximum time from the issue of a permit until it is valid.
	maxAhead = time.Second
	// minPerSecond replaces lower limits. An endpoint that gets no requests could not withdraw its limit.
	minPerSecond = 0.2
	// maxPerSecond replaces higher limits.
	maxPerSecond = 1e6
	// batchTime bounds the permits issued at once: those that fall due within it.
	batchTime = 100 * time.Millisecond
	// handoverTime is the time after a change of the issuer for which the new one issues at half the rate, since some instances may still get
	// permits from the former one.
	handoverTime = 4 * time.Second
	// maxRetry bounds the time until an instance that got no permit should ask again.
	maxRetry = 15 * time.Second
	// askerExpiry is the time after which an instance that did not ask again as told no longer counts as waiting.
	askerExpiry = 2 * time.Second
	// neverServed is more than any time between two permits.
	neverServed = time.Hour
	// scheduleExpiry is the time without asks after which the schedule of a process is dropped.
	scheduleExpiry = 30 * time.Second
)

// Ask is the request of one instance for permits for one process of an endpoint.
type Ask struct {
	// Process is the name of the process.
	Process string
	// PerSecond is the limit as the instance believes it.
	PerSecond float64
	// Permits is the number of permits that the instance can use, at least 1.
	Permits int
	// LastIssuer is the instance that issued the last permits, or empty.
	LastIssuer string
	// Handover is how much longer the permits of LastIssuer matter, if that is not the one which is asked now.
	Handover time.Duration
}

// WithIssuer returns the ask to send to the named instance.
func (as Ask) WithIssuer(name string) Ask {
	if as.LastIssuer == name {
		as.Handover = 0
	}
	return as
}

// Grant is the answer to an Ask.
type Grant struct {
	// Permits is the number of permits; zero means that the instance must ask again after Retry.
	Permits int
	// Wait is the time until the permits are valid.
	Wait time.Duration
	// Retry is the time until the instance should ask again if it got no permit.
	Retry time.Duration
}

// Issuer issues the permits for those processes of endpoints for which this instance is the issuer.
type Issuer struct {
	schedules map[string]*schedule
}

// NewIssuer returns an issuer that has issued nothing.
func NewIssuer() *Issuer { return &Issuer{schedules: map[string]*schedule{}} }

// schedule is the state of the permits for one process.
type schedule struct {
	// last is the time from which the last permits are valid, and lastCount their number.
	last      time.Duration
	lastCount int
	// halfRateUntil is the end of the handover from a former issuer.
	halfRateUntil time.Duration
	askedAt       time.Duration
	askers        map[string]asker
	// issued counts all permits.
	issued int64
}

// asker is an instance that asks for permits for one process.
type asker struct {
	// servedAt is the time when it last got a permit. If it got none yet, it is neverServed before its first ask.
	servedAt time.Duration
	// expectedAt is the time when it is expected to ask again.
	expectedAt time.Duration
	// waiting reports whether its last ask got no permit.
	waiting bool
}

// Issue answers an ask of the named instance.
//
// Permits are spaced by the limit. An instance that must come again is told when its turn is: after all waiting instances that were served less
// recently.
func (is *Issuer) Issue(now time.Duration, instance string, ask Ask) Grant {
	sc := is.schedule(now, ask)
	interval := sc.interval(now, ask.PerSecond)
	slot := max(now, sc.last+time.Duration(sc.lastCount)*interval)
	as, ok := sc.askers[instance]
	if !ok {
		as.servedAt = now - neverServed
	}
	if slot-now > maxAhead {
		ahead := sc.waitingBefore(now, as.servedAt)
		retry := min(maxRetry, slot-now-maxAhead+time.Duration(ahead)*interval)
		retry = max(retry, batchTime)
		sc.askers[instance] = asker{servedAt: as.servedAt, expectedAt: now + retry, waiting: true}
		return Grant{Retry: retry}
	}
	count := max(1, min(ask.Permits, 1+int(batchTime/interval)))
	sc.last, sc.lastCount = slot, count
	sc.issued += int64(count)
	sc.askers[instance] = asker{servedAt: now, expectedAt: now}
	return Grant{Permits: count, Wait: slot - now}
}

// schedule returns the schedule of the process, a new one if there is none.
func (is *Issuer) schedule(now time.Duration, ask Ask) *schedule {
	sc, ok := is.schedules[ask.Process]
	if !ok {
		is.expire(now)
		// The permits of a former issuer may be valid until now + PermitLifetime. The first one of this issuer counts as issued by then, so that
		// frequent changes of the issuer do not add up to more than the limit.
		sc = &schedule{halfRateUntil: now + handoverTime, last: now + PermitLifetime, lastCount: 1, askers: map[string]asker{}}
		is.schedules[ask.Process] = sc
	}
	sc.askedAt = now
	sc.halfRateUntil = max(sc.halfRateUntil, now+min(ask.Handover, handoverTime))
	return sc
}

// expire drops the schedules of processes for which no instance asks.
func (is *Issuer) expire(now time.Duration) {
	maps.DeleteFunc(is.schedules, func(_ string, sc *schedule) bool { return now-sc.askedAt > scheduleExpiry })
}

// Issued returns the number of permits issued for the process so far and the number of instances that wait for one.
func (is *Issuer) Issued(now time.Duration, process string) (permits int64, waiting int) {
	sc, ok := is.schedules[process]
	if !ok {
		return 0, 0
	}
	return sc.issued, sc.waitingBefore(now, now)
}

// interval returns the time between two permits at the limit.
func (sc *schedule) interval(now time.Duration, perSecond float64) time.Duration {
	interval := time.Duration(float64(time.Second) / UsableRate(perSecond))
	if now < sc.halfRateUntil {
		interval *= 2
	}
	return interval
}

// waitingBefore returns the number of instances that wait for a permit and were last served before the given time.
func (sc *schedule) waitingBefore(now, servedAt time.Duration) int {
	count := 0
	for name, as := range sc.askers {
		switch {
		case now > as.expectedAt+scheduleExpiry:
			delete(sc.askers, name)
		case as.waiting && as.servedAt < servedAt && now <= as.expectedAt+askerExpiry:
			count++
		}
	}
	return count
}

// UsableRate returns the number of requests a second that are sent to an endpoint with the given limit.
func UsableRate(perSecond float64) float64 {
	switch {
	case perSecond >= maxPerSecond:
		return maxPerSecond
	case perSecond > minPerSecond:
		return perSecond
	default:
		return minPerSecond
	}
}
