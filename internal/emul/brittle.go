package emul

import (
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
)

const (
	// rejectionSpan is the span in which a brittle runner can reject as many requests as it says.
	rejectionSpan = time.Second
	// brittleSettleTime is the time from which the runners say that they are brittle until they let fewer requests wait.
	brittleSettleTime = 3 * time.Second
	// fallTime is the time from a fall until the runner accepts requests again.
	fallTime = 3 * time.Second
	// maxSends is the number of runners to which a request is sent at most.
	maxSends = 2
)

// Brittleness says that all runners fall over if they must reject too many requests.
type Brittleness struct {
	// PerSecond is the number of requests that a runner can reject within a second; zero means that the runners are not brittle.
	PerSecond int
	// From is the time from which the runners say so.
	From time.Duration
	// Room is the number of requests that may wait at a runner from brittleSettleTime later; any number may before.
	Room int
}

// admission says what a runner did with a request.
type admission uint8

const (
	admitted admission = iota
	// rejected means that the runner had no room.
	rejected
	// fallen means that the runner is down, or fell over when it had to reject the request.
	fallen
)

// brittleRunner is the state of a runner that can fall over.
type brittleRunner struct {
	rejectedAt []time.Duration
	downUntil  time.Duration
	falls      int
}

// statesBrittleness returns what all runners say of their brittleness now.
func (si *simulation) statesBrittleness() place.Brittleness {
	br := si.scenario.Brittleness
	return place.Brittleness{Brittle: br.PerSecond > 0 && si.clock.now >= br.From, PerSecond: br.PerSecond}
}

// admit decides whether a runner takes a request. A runner that falls over ends all that it runs.
func (si *simulation) admit(ru *runner) admission {
	now, br, load := si.clock.now, si.scenario.Brittleness, ru.load()
	switch {
	case br.PerSecond == 0 || now < br.From+brittleSettleTime:
		return admitted
	case now < ru.brittle.downUntil:
		return fallen
	case load.Running+load.Waiting < load.Slots+br.Room:
		return admitted
	}
	ru.brittle.rejectedAt = slices.DeleteFunc(ru.brittle.rejectedAt, func(at time.Duration) bool { return now-at >= rejectionSpan })
	ru.brittle.rejectedAt = append(ru.brittle.rejectedAt, now)
	if len(ru.brittle.rejectedAt) <= br.PerSecond {
		return rejected
	}
	ru.brittle = brittleRunner{downUntil: now + fallTime, falls: ru.brittle.falls + 1}
	ru.abortAll()
	return fallen
}

// abortAll ends all requests of a runner.
func (ru *runner) abortAll() {
	list := append(slices.Clone(ru.waiting), ru.running...)
	if ru.prefilling != nil {
		list = append(list, ru.prefilling)
	}
	for _, jo := range list {
		if !jo.canceled && jo.onAbort != nil {
			jo.canceled = true
			jo.onAbort(ru.clock.now)
		}
	}
}

// falls returns how often the runners fell over.
func (si *simulation) falls() int {
	sum := 0
	for _, ru := range si.runners {
		sum += ru.brittle.falls
	}
	return sum
}

// rejected passes a rejection on to the balancer of the instance, and to the others as a notice.
func (ba *balancerAttempt) rejected(now time.Duration, load place.Load) {
	ba.attempt.RecordResponse()
	ba.attempt.RecordLoad(now, load)
	ba.recordBrittleness(now)
	notify, process := ba.attempt.RecordRejection(now), ba.runner.endpoint.Process()
	ba.attempt.End(now, place.Declined)
	if !notify {
		return
	}
	clock := ba.weir.sim.clock
	clock.at(now+noticeDelay, func() {
		for ix, other := range ba.weir.balancers {
			if ix != ba.instance {
				other.RecordPeerRejection(clock.now, process)
			}
		}
	})
}

func (ba *balancerAttempt) recordBrittleness(now time.Duration) {
	ba.attempt.RecordBrittleness(now, ba.weir.service.Name, ba.weir.sim.statesBrittleness())
}

func (ba *balancerAttempt) broken(now time.Duration) { ba.attempt.End(now, place.Unreachable) }
