package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// Attempt is one request on its way to an endpoint; End must be called once.
type Attempt struct {
	board   *Balancer
	state   *state
	request Request
	begun   time.Duration
	first   time.Duration
	unread  int64
	started bool
}

// Begin notes that a request goes to the chosen endpoint.
func (bo *Balancer) Begin(now time.Duration, se *plan.Service, rq Request, de Decision) *Attempt {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	st := bo.state(de.Endpoint, se)
	if st.running == 0 {
		st.heardAt.Store(int64(now))
	}
	st.running++
	st.unread += de.UncachedTokens
	st.circuit.Begin()
	st.cache.add(rq.Parts)
	bo.where.note(rq.PrefixID(), de.Endpoint.ID)
	return &Attempt{board: bo, state: st, request: rq, begun: now, first: de.TimeToFirstEvent, unread: de.UncachedTokens}
}

// RecordActivity notes that the endpoint sent something.
func (se *Attempt) RecordActivity(now time.Duration) { se.state.heardAt.Store(int64(now)) }

// RecordLoad notes the load that came with the answer.
func (se *Attempt) RecordLoad(now time.Duration, lo Load) {
	se.board.mu.Lock()
	defer se.board.mu.Unlock()
	se.state.load = lo
	se.state.loadAt = now
	se.state.ownAt = se.state.running
}

// RecordFirstEvent notes the first event of a stream.
func (se *Attempt) RecordFirstEvent(now time.Duration) {
	se.board.mu.Lock()
	defer se.board.mu.Unlock()
	if se.started {
		return
	}
	se.started = true
	se.state.unread -= se.unread
	if se.state.slowness > 0 {
		se.state.noteTime(time.Duration(float64(se.first)/se.state.slowness), now-se.begun)
	}
}

// End notes how the request ended.
func (se *Attempt) End(now time.Duration, out Outcome) {
	se.board.mu.Lock()
	defer se.board.mu.Unlock()
	st := se.state
	st.running--
	if !se.started {
		st.unread -= se.unread
	}
	switch out {
	case Answered:
		st.circuit.End(now, false)
		if se.request.Prompt == 0 {
			st.noteLatency(now - se.begun)
		}
	case Failed:
		st.circuit.End(now, false)
		st.noteFailure(now, 1)
	case Declined:
		st.circuit.End(now, false)
		st.noteFailure(now, 0.5)
	case Incomplete:
		st.circuit.End(now, true)
		st.noteFailure(now, 2)
	case Unreachable:
		st.circuit.Trip(now)
		st.noteFailure(now, 2)
	case Abandoned:
		st.circuit.Cancel()
	}
}

// latencyWeight is the weight of the newest sample in the measured latency.
const latencyWeight = 0.1

func (st *state) noteLatency(measured time.Duration) {
	if st.latency == 0 {
		st.latency = measured
		return
	}
	st.latency += time.Duration(latencyWeight * float64(measured-st.latency))
}
