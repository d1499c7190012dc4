package shed

import (
	"math"
	"slices"
	"time"
)

const (
	// lagSamples is the number of probes of which the median counts. One or two late probes, as after a freeze or a pause of the garbage collector,
	// do not change the median.
	lagSamples = 5
	// probeGrace is the time without a probe from which the delay of the next one counts as lag.
	probeGrace = 150 * time.Millisecond
	// maxLag bounds the lag of a probe that has not run, so that a probe that is not run at all does not count for ever.
	maxLag = 5 * time.Second
	// processorSamples is the number of readings of the processor time that are kept; they span some periods of a quota of 100 ms.
	processorSamples = 9
	// peakSpan is the time constant with which the peak of the lag decays. It is long against the time in which the lag follows a change of the level, or
	// the instance would admit all requests whenever its queue is empty for a moment.
	peakSpan = 2 * time.Second
	// maxWriteBytes bounds the bytes of one write that count as queued. The link is shared among connections, so that a long body delays the others only by
	// what it has in flight.
	maxWriteBytes = 64 << 10
	// rateSpan is the time constant of the moving averages.
	rateSpan = time.Second
)

// lagMeter keeps how late the last probes ran.
type lagMeter struct {
	samples [lagSamples]time.Duration
	count   int
	// at is the time of the last probe, and peak the decaying greatest median.
	at   time.Duration
	peak time.Duration
}

func (lm *lagMeter) record(now, lag time.Duration) {
	lm.samples[lm.count%lagSamples] = max(0, lag)
	lm.count++
	lm.peak = max(lm.median(), time.Duration(float64(lm.peak)*math.Exp(-float64(now-lm.at)/float64(peakSpan))))
	lm.at = now
}

// median returns the median of the last probes, or zero before there are enough.
func (lm *lagMeter) median() time.Duration {
	if lm.count < lagSamples {
		return 0
	}
	sorted := lm.samples
	slices.Sort(sorted[:])
	return sorted[lagSamples/2]
}

// current returns the greater of the median, the last lag and that of a probe that is overdue.
func (lm *lagMeter) current(now time.Duration) time.Duration {
	if lm.count == 0 {
		return 0
	}
	overdue := min(maxLag, now-lm.at-probeGrace)
	return max(lm.median(), lm.samples[(lm.count-1)%lagSamples], overdue)
}

// processorMeter keeps the last readings of the processor time.
type processorMeter struct {
	used  [processorSamples]time.Duration
	at    [processorSamples]time.Duration
	count int
}

func (pm *processorMeter) record(now, used time.Duration) {
	pm.used[pm.count%processorSamples], pm.at[pm.count%processorSamples] = used, now
	pm.count++
}

// cores returns the processor time a second between the oldest and the newest reading, or zero before there are enough.
func (pm *processorMeter) cores() float64 {
	if pm.count < processorSamples {
		return 0
	}
	newest, oldest := (pm.count-1)%processorSamples, pm.count%processorSamples
	elapsed := pm.at[newest] - pm.at[oldest]
	if elapsed <= 0 {
		return 0
	}
	return float64(pm.used[newest]-pm.used[oldest]) / float64(elapsed)
}

// linkMeter estimates the queue of the link by the bytes written to it.
type linkMeter struct {
	// queued is the number of bytes that were written and that the link cannot have carried by at.
	queued float64
	at     time.Duration
	// blocked is the time, in seconds, that writes blocked, and writes their number.
	blocked rate
	writes  rate
}

func (li *linkMeter) record(now time.Duration, bytes int, blocked time.Duration, perSecond float64) {
	li.blocked.add(now, blocked.Seconds())
	li.writes.add(now, 1)
	if perSecond <= 0 {
		return
	}
	li.drain(now, perSecond)
	// While the write blocked, the link carried a part of it.
	li.queued += max(0, float64(min(maxWriteBytes, bytes))-perSecond*blocked.Seconds())
}

func (li *linkMeter) drain(now time.Duration, perSecond float64) {
	li.queued = max(0, li.queued-perSecond*(now-li.at).Seconds())
	li.at = now
}

// delay returns how long the link needs for the bytes that wait.
func (li *linkMeter) delay(now time.Duration, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	li.drain(now, perSecond)
	return time.Duration(li.queued / perSecond * float64(time.Second))
}

// meanBlocked returns the mean time that a write blocks.
func (li *linkMeter) meanBlocked(now time.Duration) time.Duration {
	writes := li.writes.perSecond(now)
	if writes < 1 {
		return 0
	}
	return time.Duration(li.blocked.perSecond(now) / writes * float64(time.Second))
}

// rate is a moving average of events a second.
type rate struct {
	sum float64
	at  time.Duration
}

func (ra *rate) add(now time.Duration, count float64) {
	ra.decay(now)
	ra.sum += count
}

func (ra *rate) decay(now time.Duration) {
	if now > ra.at {
		ra.sum *= math.Exp(-float64(now-ra.at) / float64(rateSpan))
		ra.at = now
	}
}

func (ra *rate) perSecond(now time.Duration) float64 {
	ra.decay(now)
	return ra.sum / rateSpan.Seconds()
}
