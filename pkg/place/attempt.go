package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// Attempt is one dispatch of a request to an endpoint; End must be called exactly once.
type Attempt struct {
	balancer  *Balancer
	state     *state
	request   Request
	startedAt time.Duration
	// usualFirstEvent is the time to the first event that was expected when the endpoint was chosen, without the work factor.
	usualFirstEvent time.Duration
	// firstEventAt is the time of the first event, and workAtStart the work factor of the endpoint at startedAt.
	firstEventAt time.Duration
	workAtStart  float64
	// lagAtStart is the lag of this instance at startedAt.
	lagAtStart time.Duration
	// measuresRate is true if the time to the first event measures the prefill rate of the endpoint, and measuresBase if it measures the base of the service.
	measuresRate, measuresBase bool
	// baseAtStart is the learned base when the endpoint was chosen.
	baseAtStart time.Duration
	// expectedUncached is the number of prompt tokens to prefill, as estimated when the endpoint was chosen.
	expectedUncached int64
	gotFirstEvent    bool
	// responded is true once the endpoint has begun to respond.
	responded bool
	// epoch is the value of Balancer.epoch at the start.
	epoch int
}

// Begin records that the request is sent to the endpoint of the decision.
func (ba *Balancer) Begin(now time.Duration, se *plan.Service, rq Request, de Decision) *Attempt {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st := ba.state(now, de.Endpoint, se)
	if st.running == 0 {
		st.lastActivity.Store(int64(now))
	}
	measuresRate, measuresBase := st.measuresRate(now, se, rq, de), st.measuresBase(now, se, rq, de)
	st.takeRoom(now, se, &ba.fleet)
	st.running++
	ba.fleet.service(st.endpoint.Service).change(now, 1)
	st.brittle.unanswered++
	st.prefillBacklog += de.UncachedTokens
	st.circuit.Begin()
	st.cache.add(rq.Parts)
	if !st.rateLimit.Limited {
		// Requests with the same prefix could not follow to an endpoint with a rate limit.
		ba.locations.record(rq.PrefixID(), de.Endpoint.ID)
	}
	work := st.work.factor(now)
	return &Attempt{
		balancer: ba, state: st, request: rq, startedAt: now, workAtStart: work, lagAtStart: ba.lag.at(now), measuresRate: measuresRate,
		measuresBase: measuresBase, baseAtStart: st.service.base,
		usualFirstEvent: st.work.shrink(work, de.TimeToFirstEvent), expectedUncached: de.UncachedTokens, epoch: ba.epoch,
	}
}

// RecordActivity records that the endpoint sent data for the attempt.
func (at *Attempt) RecordActivity(now time.Duration) { at.state.lastActivity.Store(int64(now)) }

// RecordFirstEvent is called at the first event of a stream; further calls have no effect.
func (at *Attempt) RecordFirstEvent(now time.Duration) {
	at.balancer.mu.Lock()
	defer at.balancer.mu.Unlock()
	if at.gotFirstEvent {
		return
	}
	at.gotFirstEvent = true
	at.firstEventAt = now
	at.endPrefill()
	measured, ok := at.sample(now, at.startedAt)
	if !ok {
		return
	}
	usual := time.Duration(float64(at.usualFirstEvent) / at.state.slowness)
	at.state.recordTime(usual, measured)
	if at.measuresBase {
		at.state.service.recordBase(measured, usual-at.baseAtStart)
	}
	if at.measuresRate && usual > 0 {
		at.balancer.recordRate(now, at.state, float64(measured)/float64(usual))
	}
}

// endPrefill takes the uncached tokens of the request off the endpoint's backlog, unless ForgetLoad has; the caller holds the lock.
func (at *Attempt) endPrefill() {
	if at.epoch == at.balancer.epoch {
		at.state.prefillBacklog -= at.expectedUncached
	}
}

// ForgetLoad forgets the prompts that wait at the endpoints, their inactivity and their failures. It is called when this instance loses or regains its
// link to the endpoints: what it saw on that link says nothing about them.
func (ba *Balancer) ForgetLoad(now time.Duration) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.epoch++
	for _, st := range ba.states {
		st.prefillBacklog, st.failures = 0, 0
		st.lastActivity.Store(int64(now))
		st.circuit.Reset()
	}
}

// End records the outcome of the attempt. In the count of recent failures, the outcomes Incomplete and Unreachable count 2, Failed counts 1
// and Declined counts 0.5.
func (at *Attempt) End(now time.Duration, out Outcome) {
	at.balancer.mu.Lock()
	defer at.balancer.mu.Unlock()
	st := at.state
	st.running--
	at.balancer.fleet.service(st.endpoint.Service).change(now, -1)
	at.endUnanswered()
	if !at.gotFirstEvent {
		at.endPrefill()
	}
	if at.epoch != at.balancer.epoch && out != Answered {
		// The link was lost or regained meanwhile; see ForgetLoad.
		st.circuit.Cancel()
		return
	}
	if out == Answered || out == Failed || out == Canceled {
		st.brittle.free(now)
	}
	switch out {
	case Answered:
		st.circuit.End(now, false)
		at.recordDuration(now)
	case Failed:
		st.circuit.End(now, false)
		st.recordFailure(now, 1)
	case Declined:
		at.balancer.spillover.spill.Refused(now, st.endpoint.Service, st.endpoint.Domain)
		st.circuit.End(now, false)
		st.recordFailure(now, 0.5)
	case Incomplete:
		st.circuit.End(now, true)
		st.recordFailure(now, 2)
	case Unreachable:
		st.circuit.Trip(now)
		st.recordFailure(now, 2)
	case Canceled:
		st.circuit.Cancel()
	}
}

// recordDuration records the duration of a complete response; the caller holds the lock.
func (at *Attempt) recordDuration(now time.Duration) {
	if at.request.Prompt == 0 {
		if measured, ok := at.sample(now, at.startedAt); ok {
			at.state.recordLatency(measured)
		}
		return
	}
	if measured, ok := at.sample(now, at.firstEventAt); ok && at.gotFirstEvent {
		at.state.service.recordHold(time.Duration(float64(measured) / at.state.slowness))
	}
}

// latencyWeight is the weight of the newest sample in the moving average of the latency of a plain service.
const latencyWeight = 0.1

func (st *state) recordLatency(measured time.Duration) {
	if st.latency == 0 {
		st.latency = measured
		return
	}
	st.latency += time.Duration(latencyWeight * float64(measured-st.latency))
}
