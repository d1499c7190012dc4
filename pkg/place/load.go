package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// defaultLatency is the expected latency of a plain service before any was measured.
	defaultLatency = 20 * time.Millisecond
	// perRequestTime is added to the expected time to the first event for each request that the endpoint runs: in continuous batching, each one makes
	// every step longer.
	perRequestTime = 400 * time.Microsecond
	// defaultSlotTime is the time until a slot of a busy model endpoint becomes free, before any request was seen to its end.
	defaultSlotTime = 20 * time.Millisecond
	// maxLoadAge is the age beyond which a reported load is stale and no longer used. Each response brings a new one.
	maxLoadAge = 1500 * time.Millisecond
	// maxWorkAge is the age beyond which a reported duration of work is stale; it changes many times a second.
	maxWorkAge = 300 * time.Millisecond
	// workSpan is the span over which reported durations of work are averaged. It is long against a disturbance, so that an endpoint that gets no requests
	// and thus sends no reports after one is not avoided for good.
	workSpan = 4 * time.Second
	// minWork and maxWork bound the factor by which a reported duration of work changes the expected time.
	minWork, maxWork = 0.2, 10
	// queuedPromptTokens is the assumed number of uncached tokens of each request in an endpoint's queue.
	queuedPromptTokens = 1500
	// holdWeight is the weight of the newest sample in the average time for which a request holds its slot.
	holdWeight = 0.05
)

// estimate is what this instance has learned of all endpoints of a service together.
type estimate struct {
	// rate is the learned prefill rate of the median endpoint in tokens a millisecond, and correctedAt the time of its last correction.
	rate        float64
	correctedAt time.Duration
	// base is the learned time to the first event of a request with an empty prompt at an idle endpoint.
	base time.Duration
	// ratios is used by correctRate.
	ratios []float64
	// hold is the moving average of the time from the first to the last event, zero before any was measured.
	hold time.Duration
}

// estimate returns the estimate of a service; the caller holds the lock.
func (ba *Balancer) estimate(service string) *estimate {
	es, ok := ba.estimates[service]
	if !ok {
		es = &estimate{rate: initialPrefillRate, base: initialFirstEventBase}
		ba.estimates[service] = es
	}
	return es
}

// recordHold records the time from the first to the last event of a complete stream.
func (es *estimate) recordHold(measured time.Duration) {
	if es.hold == 0 {
		es.hold = measured
		return
	}
	es.hold += time.Duration(holdWeight * float64(measured-es.hold))
}

// slotTime returns the mean time until one of the slots of a busy endpoint becomes free.
func (es *estimate) slotTime(slots int) time.Duration {
	if es.hold == 0 {
		return defaultSlotTime
	}
	return es.hold / time.Duration(slots)
}

// work is what an endpoint said of how long its work takes, as a factor of the usual time.
type work struct {
	// newest is the newest report, received at newestAt; average is their average over about workSpan. They are zero before the first report.
	newest   float64
	newestAt time.Duration
	average  float64
}

// record records a report in percent; zero means that the endpoint said nothing.
func (wo *work) record(now time.Duration, percent int) {
	if percent <= 0 {
		return
	}
	if wo.average == 0 {
		wo.average, wo.newestAt = 1, now-maxWorkAge
	}
	// A report represents the time since the last one, but no more than it is used for.
	weight := float64(min(now-wo.newestAt, maxWorkAge)) / float64(workSpan)
	wo.newest, wo.newestAt = min(max(minWork, float64(percent)/100), maxWork), now
	wo.average += max(0, weight) * (wo.newest - wo.average)
}

// factor returns the expected duration of work as a factor of the usual one. The newest report loses its weight to the average until maxWorkAge.
func (wo *work) factor(now time.Duration) float64 {
	if wo.average == 0 {
		return 1
	}
	fresh := max(0, 1-float64(now-wo.newestAt)/float64(maxWorkAge))
	return wo.average + min(1, fresh)*(wo.newest-wo.average)
}

// stretch returns how long work takes that takes the given time usually, if it starts now. A report says nothing about the time after maxWorkAge, in which the
// average is expected.
func (wo *work) stretch(now, usual time.Duration) time.Duration {
	if wo.average == 0 {
		return usual
	}
	factor := wo.factor(now)
	near := time.Duration(float64(maxWorkAge) / factor)
	if usual <= near {
		return time.Duration(float64(usual) * factor)
	}
	return maxWorkAge + time.Duration(float64(usual-near)*wo.average)
}

// shrink is the inverse of stretch: it returns how long work usually takes that has taken the measured time, if it started at the given factor.
func (wo *work) shrink(factor float64, measured time.Duration) time.Duration {
	if wo.average == 0 {
		return measured
	}
	near := min(measured, maxWorkAge)
	return time.Duration(float64(near)/factor + float64(measured-near)/wo.average)
}

// RecordLoad records the load that the endpoint reported with its response.
func (at *Attempt) RecordLoad(now time.Duration, lo Load) {
	at.balancer.mu.Lock()
	defer at.balancer.mu.Unlock()
	at.state.load = lo
	at.state.loadAt = now
	at.state.runningAtLoad = at.state.running
	at.state.work.record(now, lo.WorkPercent)
}

// hasLoad reports whether the last reported load is fresh enough to be used.
func (st *state) hasLoad(now time.Duration) bool { return st.loadAt > 0 && now-st.loadAt <= maxLoadAge }

// inFlight returns the number of requests of all instances at the endpoint: those of the last reported load, corrected by what this instance has sent and
// finished since, or only those of this instance if that load is stale.
func (st *state) inFlight(now time.Duration) int {
	if !st.hasLoad(now) {
		return st.running
	}
	return st.running + max(0, st.load.Running+st.load.Waiting-st.runningAtLoad)
}

// backlog returns the number of prompt tokens that the endpoint must prefill before those of a new request.
func (st *state) backlog(now time.Duration) int64 {
	// A late instance has not read the first events of some requests yet.
	read := int64(float64(st.lag.at(now)) / float64(time.Millisecond) * st.service.rate / st.slowness)
	known := max(0, st.prefillBacklog-read) + st.peerBacklog(now)
	if !st.hasLoad(now) {
		return known
	}
	return max(known, int64(st.load.Waiting)*queuedPromptTokens)
}

// expect estimates the time until the first event of the response arrives or, for a plain service, the complete response. queueTime is how
// much of this time the endpoint spends on the prompts of other requests. The parameter uncached is the number of prompt tokens to prefill.
func (st *state) expect(now time.Duration, se *plan.Service, rq *Request, uncached int64) (toFirstEvent, queueTime time.Duration) {
	inFlight := st.inFlight(now)
	if rq.Prompt == 0 {
		return st.work.stretch(now, st.expectLatency(inFlight)), 0
	}
	slots := slotsOf(st, se)
	queueTime = st.service.prefillTime(st.backlog(now))
	prefill := st.service.prefillTime(uncached) + attentionTime(uncached, rq.Prompt)
	toFirstEvent = st.service.base + queueTime + prefill + time.Duration(min(inFlight, slots))*perRequestTime
	if over := inFlight + 1 - slots; over > 0 {
		toFirstEvent += time.Duration(over) * st.service.slotTime(slots)
	}
	toFirstEvent, queueTime = time.Duration(float64(toFirstEvent)*st.slowness), time.Duration(float64(queueTime)*st.slowness)
	return st.work.stretch(now, toFirstEvent), st.work.stretch(now, queueTime)
}

// expectLatency returns the expected latency of a plain service with the given number of requests in flight. The result is
// latency * (1 + over/slots) * (1 + inFlight/8), where over is the number of requests beyond the slots, including the new one.
func (st *state) expectLatency(inFlight int) time.Duration {
	latency := st.latency
	if latency == 0 {
		latency = defaultLatency
	}
	slots := max(1, st.endpoint.Slots)
	return latency * time.Duration(slots+max(0, inFlight+1-slots)) / time.Duration(slots) * time.Duration(8+inFlight) / 8
}
