package shed

import "time"

const (
	// lagLimit is the median lag of an overloaded instance. A plain request waits requestSteps times for it, and has a target of 120 ms; on a machine
	// with a quota, a process that has just used up its share sees half a period of 100 ms.
	lagLimit = 40 * time.Millisecond
	// linkLimit is the delay in the queue of the link of an overloaded instance; it is most of the latency target of plain requests.
	linkLimit = 100 * time.Millisecond
	// busyLimit is the used part of the processor time from which lag is the instance's own doing. Other processes of the machine cause lag, too, and then
	// other instances are no better.
	busyLimit = 0.75
	// minBlockedWriters is the number of writes that must block at the same time, on average, before blocked writes count. A few callers may read slowly.
	minBlockedWriters = 4

	// startTime is the time after the first probe in which nothing counts as overload: a fresh process loads its configuration and opens connections.
	startTime = 2 * time.Second
	// beginTime is the time for which the pressure must be at least 1 before requests are refused.
	beginTime = 250 * time.Millisecond
	// maxStep bounds the time between two probes that counts, so that a probe after a freeze does not change the level much.
	maxStep = 200 * time.Millisecond
	// minBeginLevel and maxBeginLevel bound the level with which shedding begins. Streams end some time after they begin, so that the first estimate of
	// what is served may be too low.
	minBeginLevel = 0.1
	maxBeginLevel = 0.6
	// goal is the part of what an overloaded instance serves that it goes on to admit, so that its queue gets empty; busyGoal is the part of the
	// processor time that requests should use.
	goal     = 0.92
	busyGoal = 0.92
	// drainShare is the part by which less is admitted for each unit of pressure above 1, up to maxPressure, so that a long queue is not kept as it is.
	drainShare  = 0.2
	maxPressure = 10
	// minSpare and maxSpare bound the factor by which an instance with an empty queue admits more than it serves.
	minSpare = 1.1
	maxSpare = 1.6
	// quietPressure is the pressure below which the level falls. Between it and 1 the level stays as it is.
	quietPressure = 0.5
	// levelSpan is the time constant with which the level follows the estimate.
	levelSpan = 500 * time.Millisecond
	// endLevel is the level below which shedding ends.
	endLevel = 0.02
	// maxLevel bounds the level. With up to 14 times the usual requests, an instance must refuse more than nine in ten.
	maxLevel = 0.95
)

// classes is the number of classes of requests; those of a higher class are refused first.
const classes = 4

// maxClassShare is the greatest part of a class that is refused.
var maxClassShare = [classes]float64{0.8, 0.95, 0.95, 0.95}

// classOf returns 0 for a resumed stream, and otherwise 1 to 3 by rank.
func classOf(rq Request) int {
	if rq.Resumed {
		return 0
	}
	return 1 + min(max(0, rq.Rank), classes-2)
}

// arrivalRate returns the requests a second of all classes.
func (sh *Shedder) arrivalRate(now time.Duration) float64 {
	sum := 0.0
	for ix := range sh.arrivals {
		sum += sh.arrivals[ix].perSecond(now)
	}
	return sum
}

// refusedShare returns the part of the requests of a class that is refused, so that the less urgent classes make up the level.
func (sh *Shedder) refusedShare(now time.Duration, class int) float64 {
	excess := sh.controller.level * sh.arrivalRate(now)
	for cl := classes - 1; cl > class; cl-- {
		excess -= min(excess, maxClassShare[cl]*sh.arrivals[cl].perSecond(now))
	}
	own := sh.arrivals[class].perSecond(now)
	if own <= 0 {
		return 0
	}
	return min(maxClassShare[class], excess/own)
}

// served returns the part of the arriving requests that is served.
func (sh *Shedder) served(now time.Duration) float64 {
	arrivals := sh.arrivalRate(now)
	if arrivals <= 0 {
		return 1
	}
	return min(1, sh.completions.perSecond(now)/arrivals)
}

// measure returns what the controller follows.
func (sh *Shedder) measure(now time.Duration) measure {
	ms := measure{served: sh.served(now), spare: minSpare, maxLevel: maxLevel}
	ms.pressure, ms.reason = sh.pressure(now)
	if ms.reason == Processor {
		ms.spare = max(minSpare, min(busyGoal/max(0.1, sh.busy()), sh.incoming.spare()))
	}
	if incoming := sh.incoming.pressure(); incoming > ms.pressure {
		if ms.pressure < quietPressure {
			// The other limits would let the level fall.
			ms.maxLevel = sh.incoming.maxLevel()
		}
		ms.pressure, ms.reason = incoming, Incoming
	}
	return ms
}

// pressure returns the load in relation to the limits, 1 at a limit, and what it comes from; it leaves out the incoming direction of the link.
func (sh *Shedder) pressure(now time.Duration) (pressure float64, reason string) {
	reason = Processor
	if sh.busy() >= busyLimit {
		pressure = float64(sh.lag.median()) / float64(lagLimit)
	}
	if delay := float64(sh.link.delay(now, sh.config.LinkBytesPerSecond)) / float64(linkLimit); delay > pressure {
		pressure, reason = delay, Link
	}
	// The time that writes block in each second is the average number of writes that block.
	if blocked := sh.link.blocked.perSecond(now) / max(minBlockedWriters, float64(sh.inFlight)/2); blocked > pressure {
		pressure, reason = blocked, Writes
	}
	return pressure, reason
}

// controller adjusts the share of the requests that is refused to the pressure.
type controller struct {
	shedding bool
	level    float64
	reason   string
	// started reports whether there was a probe; begunAt is the time of the first one, and updatedAt that of the last one.
	begunAt   time.Duration
	updatedAt time.Duration
	started   bool
	// pressedFor is the time for which the pressure has been at least 1.
	pressedFor time.Duration
}

// measure is what the controller follows.
type measure struct {
	// pressure is the load in relation to the limits, and reason what it comes from.
	pressure float64
	reason   string
	// served is the part of the arriving requests that is served.
	served float64
	// spare is the factor by which more could be served while the pressure is low.
	spare float64
	// maxLevel is the greatest useful share to refuse.
	maxLevel float64
}

// excess returns the part of the arriving requests that should be refused while there is a queue.
func (ms measure) excess() float64 {
	return 1 - goal*ms.served/(1+drainShare*(min(maxPressure, ms.pressure)-1))
}

func (co *controller) update(now time.Duration, ms measure) {
	if !co.started {
		co.started, co.begunAt, co.updatedAt = true, now, now
	}
	step := min(maxStep, now-co.updatedAt)
	co.updatedAt = now
	if ms.pressure < 1 {
		co.pressedFor = 0
	} else {
		co.pressedFor += step
		co.reason = ms.reason
	}
	switch {
	case !co.shedding && co.pressedFor >= beginTime && now-co.begunAt >= startTime:
		co.shedding, co.level = true, min(maxBeginLevel, max(minBeginLevel, ms.excess()))
	case co.shedding && ms.pressure >= 1:
		co.follow(min(ms.maxLevel, max(co.level, ms.excess())), step)
	case co.shedding && ms.pressure < quietPressure:
		co.follow(min(co.level, 1-min(maxSpare, ms.spare)*ms.served), step)
		if co.level < endLevel {
			co.shedding, co.level = false, 0
		}
	}
}

// follow moves the level towards an estimate.
func (co *controller) follow(estimate float64, step time.Duration) {
	part := min(1, float64(step)/float64(levelSpan))
	co.level = min(maxLevel, max(0, co.level+part*(estimate-co.level)))
}
