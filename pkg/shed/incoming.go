package shed

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// incomingSamples is the number of readings of the bytes read that are kept. They span some 400 ms, which are several periods of a processor quota of
	// 100 ms: a process that has used up its share reads nothing for most of a period.
	incomingSamples = 11
	// recentSamples is the number of the newest readings that tell whether bytes may be late now; they span some 80 ms. With a span of 160 ms, an endpoint
	// seemed to be slower by a factor of 2.2 when a flood began; with 40 ms, a time of 300 ms could be measured in a third of the cases at most at 0.7 of it.
	recentSamples = 3
	// fullShare is the used part of the incoming direction from which there is a queue in front of it. Headers of packets take up to a tenth of the link.
	fullShare = 0.9
	// quietShare is the used part below which there is no queue.
	quietShare = 0.8
	// queueGrowth is by how much the delay is assumed to grow while the direction is full, as a part of the time. The real growth cannot be observed; this one
	// is that of a load of a sixth more than the rate. With a fifth, bursts of 240 ms at three times the rate led to refusals.
	queueGrowth = 1.0 / 6
	// maxWaiting bounds the assumed delay: deadlines are up to 12 s, of which a request may lose the part lateShare.
	maxWaiting = 1600 * time.Millisecond
	// holdPressure is the pressure with which the level stays as it is.
	holdPressure = (1 + quietPressure) / 2
	// maxFutileLevel bounds the level while requests fill the direction by themselves. They arrive whether or not they are refused, so that refusals do not
	// empty the queue; a fleet of such instances still serves a quarter of what reaches each.
	maxFutileLevel = 0.75
)

// Source is where bytes come from.
type Source int

// The sources of the bytes that an instance reads.
const (
	// Callers send requests.
	Callers Source = iota
	// Endpoints send responses to the requests of this instance. Refusals of requests reduce only these.
	Endpoints
	// Peers send calls and what this instance relays for them, and endpoints send the responses.
	Peers
	sources
)

// reading is a reading of the bytes that were read since the start.
type reading struct {
	at time.Duration
	// total is the number of bytes from all sources, and fixed that of those on which refusals have no influence.
	total, fixed int64
}

// incomingMeter finds out whether the incoming direction of the link is full. A byte that is read has already waited, in front of the link, so that the queue
// cannot be summed up from the bytes; but a link that carries its rate all the time has a queue in front of it.
type incomingMeter struct {
	read    [sources]atomic.Int64
	samples [incomingSamples]reading
	count   int
	// used and fixed are the parts of the direction that all bytes and the fixed ones take, and recent is used in the last samples.
	used, fixed, recent float64
	// waiting is the assumed delay in front of the link, and peak its decaying maximum.
	waiting, peak time.Duration
}

// record takes a reading; the direction has the given rate.
func (in *incomingMeter) record(now time.Duration, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	newest := reading{at: now, fixed: in.read[Callers].Load() + in.read[Peers].Load()}
	newest.total = newest.fixed + in.read[Endpoints].Load()
	step := time.Duration(0)
	if in.count > 0 {
		step = now - in.samples[(in.count-1)%incomingSamples].at
	}
	in.samples[in.count%incomingSamples] = newest
	in.count++
	if in.count < incomingSamples {
		return
	}
	in.used, in.fixed = newest.shares(in.samples[in.count%incomingSamples], perSecond)
	in.recent, _ = newest.shares(in.samples[(in.count-recentSamples)%incomingSamples], perSecond)
	in.follow(step)
}

// shares returns the parts of a direction of the given rate that all bytes and the fixed ones took since an older reading.
func (re reading) shares(older reading, perSecond float64) (total, fixed float64) {
	capacity := perSecond * (re.at - older.at).Seconds()
	if capacity <= 0 {
		return 0, 0
	}
	return float64(re.total-older.total) / capacity, float64(re.fixed-older.fixed) / capacity
}

// follow adjusts the assumed delay; step is the time since the last reading.
func (in *incomingMeter) follow(step time.Duration) {
	if in.used < quietShare {
		// The more room there is, the sooner it counts that the queue is empty: it may be so only because of the refusals.
		in.peak = time.Duration(float64(in.peak) * math.Exp(-(1-in.used)*float64(step)/float64(peakSpan)))
	}
	step = min(maxStep, step)
	switch {
	case in.used >= fullShare:
		in.waiting = min(maxWaiting, in.waiting+time.Duration(queueGrowth*float64(step)))
	case in.used >= quietShare:
		in.waiting = max(0, in.waiting-time.Duration((1-in.used)*float64(step)))
	default:
		in.waiting = 0
	}
	in.peak = max(in.peak, in.waiting)
}

// full reports whether there has been a queue in front of the direction for some hundred ms.
func (in *incomingMeter) full() bool { return in.used >= fullShare }

// delay returns by how much bytes may be late now. It is linkLimit at least as soon as the direction seems full, since the real delay is not known.
func (in *incomingMeter) delay() time.Duration {
	if !in.full() && in.recent < fullShare {
		return 0
	}
	return max(linkLimit, in.waiting)
}

// pressure returns the assumed delay in relation to its limit; it is below 1 unless the direction is full.
func (in *incomingMeter) pressure() float64 {
	pressure := float64(in.waiting) / float64(linkLimit)
	if in.used < fullShare {
		return min(holdPressure, pressure)
	}
	return pressure
}

// maxLevel returns the greatest share of the requests that may be refused because the direction is full.
func (in *incomingMeter) maxLevel() float64 {
	futile := min(1, max(0, (in.fixed-quietShare)/(fullShare-quietShare)))
	return maxLevel - futile*(maxLevel-maxFutileLevel)
}

// spare returns the factor by which more may be admitted before the direction is full.
func (in *incomingMeter) spare() float64 {
	if in.used <= 0 {
		return maxSpare
	}
	return max(minSpare, fullShare/in.used)
}
