package emul

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// sending is one request on its way to a runner.
type sending struct {
	sim      *simulation
	caller   *callerRequest
	instance int
	request  place.Request
	choice   choice
	attempt  attempt
	job      *job
	// ended is true once the runner has rejected or broken off the request.
	ended bool
}

// send sends a request through an instance to the runner that the policy chooses.
func (si *simulation) send(cr *callerRequest, instance int, rq place.Request) {
	ch := si.policy.pick(instance, rq)
	if ch.runner == nil {
		si.refuse(cr, ch.retryAfter)
		return
	}
	si.countLeft(rq, ch)
	se := &sending{sim: si, caller: cr, instance: instance, request: rq, choice: ch, attempt: si.policy.dispatch(instance, rq, ch)}
	se.job = se.newJob()
	now := si.clock.now
	switch si.path(instance) {
	case direct:
		se.enter()
	case relayed:
		si.clock.at(now+relayDelay, se.enter)
	case lost:
	}
	si.clock.at(now+cr.class.Timeout, se.expire)
}

// newJob returns the request as the runner gets it. Some streams break off in their middle and are resumed by their callers.
func (se *sending) newJob() *job {
	si, cr, att, ru := se.sim, se.caller, se.attempt, se.choice.runner
	jo := &job{request: se.request, outputTokens: 1 + int64(si.random.ExpFloat64()*cr.class.OutputTokens), onAbort: se.abort}
	jo.onFirstToken = func(now time.Duration) {
		cr.firstTokenAt = now
		att.firstToken(now, ru.load())
	}
	jo.onDone = func(now time.Duration) {
		cr.completed = true
		att.end(now, true)
	}
	if si.breaksOff() {
		rest := jo.outputTokens / 2
		jo.outputTokens -= rest
		jo.onDone = func(now time.Duration) {
			att.end(now, true)
			si.clock.at(now+resumeDelay, func() { si.resume(se.request, ru, max(1, rest)) })
		}
	}
	return jo
}

// enter is called when the request arrives at the runner.
func (se *sending) enter() {
	si, ru := se.sim, se.choice.runner
	switch si.admit(ru) {
	case admitted:
		ru.accept(se.job, se.choice.source)
		return
	case rejected:
		se.attempt.rejected(si.clock.now, ru.load())
	case fallen:
		se.attempt.broken(si.clock.now)
	}
	se.ended = true
	se.sendAgain()
}

// abort is called when the runner breaks the request off.
func (se *sending) abort(now time.Duration) {
	se.attempt.broken(now)
	if se.ended = true; se.caller.firstTokenAt == 0 {
		se.sendAgain()
	}
}

// sendAgain sends the request to another runner, or refuses it after maxSends.
func (se *sending) sendAgain() {
	rq := se.request
	if rq.Tried = append(rq.Tried, se.choice.runner.endpoint.ID); len(rq.Tried) >= maxSends {
		se.sim.refuse(se.caller, resumeDelay)
		return
	}
	se.sim.send(se.caller, se.instance, rq)
}

// expire ends the request if the caller has got no token in time.
func (se *sending) expire() {
	if se.caller.firstTokenAt == 0 && !se.ended {
		se.job.canceled = true
		se.attempt.end(se.sim.clock.now, false)
	}
}
