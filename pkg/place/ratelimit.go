package place

import (
	"slices"
	"strings"
	"time"

	"github.com/clementineweir/clementineweir/pkg/limit"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// rateNoticeInterval is the interval at which the instances repeat the notice of a rate limit that responses keep naming.
	rateNoticeInterval = 2 * time.Second
	// maxHeard bounds the limits of processes that this instance knows only from peers.
	maxHeard = 4096
)

// rateLimits is the part of a Balancer that deals with the rate limits of endpoints.
type rateLimits struct {
	// heard holds the limits, by process, that peers stated of processes to which this instance has not sent any request.
	heard map[string]limit.Belief
	// asks are the asks for permits that no loop has taken yet.
	asks []limit.Ask
	// wake receives a value when an ask is added.
	wake chan struct{}
	// returns spreads refused callers, by service.
	returns map[string]*limit.Returns
}

func newRateLimits() rateLimits {
	return rateLimits{heard: map[string]limit.Belief{}, wake: make(chan struct{}, 1), returns: map[string]*limit.Returns{}}
}

// SetInstances sets the number of instances that share the rate limits of endpoints.
func (ba *Balancer) SetInstances(count int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.fleet.instances = max(1, count)
}

// collect sorts entries of a list of the given length into candidates and withheld ones.
func (ba *Balancer) collect(now time.Duration, se *plan.Service, entries []candidate, length int, rq *Request, anyCircuit bool) {
	ba.candidates, ba.withheld, ba.limited = ba.candidates[:0], ba.withheld[:0], 0
	ba.full, ba.unwilling = 0, ba.unwilling[:0]
	ba.fleet.service(se.Name).endpoints = length
	for _, ca := range entries {
		st := ca.state
		ba.updateBrittleness(now, st)
		if st.rateLimit.Limited {
			ba.limited++
		}
		switch {
		case st.refuses(now):
			ba.unwilling = append(ba.unwilling, st)
		case st.room(now, se, &ba.fleet) == noRoom:
			ba.full++
		case !st.rateLimit.Limited || st.permits.Usable(now):
			ba.candidates = append(ba.candidates, ca)
		case !slices.Contains(rq.Tried, ca.endpoint.ID) && (anyCircuit || st.circuit.Allows(now)):
			ba.withheld = append(ba.withheld, st)
		}
	}
}

// askForPermit queues an ask for a permit of the withheld endpoint with the fewest requests of this instance, so that a later request can be sent
// there. Each request causes one ask at most.
func (ba *Balancer) askForPermit(now time.Duration) {
	var chosen *state
	for _, st := range ba.withheld {
		if st.permits.Due(now) && (chosen == nil || st.running < chosen.running) {
			chosen = st
		}
	}
	if chosen == nil {
		return
	}
	ba.limits.asks = append(ba.limits.asks, chosen.permits.BeginAsk(now, chosen.endpoint.Process(), chosen.rateLimit.PerSecond))
	select {
	case ba.limits.wake <- struct{}{}:
	default:
	}
}

// Asks returns a channel that receives a value when TakeAsks has asks to return.
func (ba *Balancer) Asks() <-chan struct{} { return ba.limits.wake }

// TakeAsks returns the asks for permits that were queued since the last call. AnswerAsk must be called for each of them.
func (ba *Balancer) TakeAsks() []limit.Ask {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	list := ba.limits.asks
	ba.limits.asks = nil
	return list
}

// AnswerAsk records the answer of the issuer to an ask that was sent at askedAt.
func (ba *Balancer) AnswerAsk(now, askedAt time.Duration, ask limit.Ask, issuer string, gr limit.Grant) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st := ba.stateOfProcess(ask.Process); st != nil {
		st.permits.EndAsk(now, askedAt, issuer, gr)
	}
}

// takePermit uses a permit for the decision if its endpoint has a rate limit.
func (ba *Balancer) takePermit(now time.Duration, de Decision) Decision {
	if de.Endpoint == nil {
		return de
	}
	if st := ba.states[de.Endpoint.ID]; st.rateLimit.Limited && st.permits.Usable(now) {
		de.PermitFrom = st.permits.Take()
	}
	return de
}

// Release returns the permit of a decision whose request is not sent.
func (ba *Balancer) Release(de Decision) {
	if de.Endpoint == nil || de.PermitFrom == "" {
		return
	}
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st := ba.stateOfProcess(de.Endpoint.Process()); st != nil {
		st.permits.PutBack()
	}
}

// refuseLimited refuses a request because all endpoints that it could be sent to are at their rate limits. The delay until the retry follows
// from this instance's share of the sum of the limits, and gives each team with refused requests an equal part of it.
func (ba *Balancer) refuseLimited(now time.Duration, se *plan.Service, rq Request, candidates int) Decision {
	sum := 0.0
	for _, st := range ba.withheld {
		sum += limit.UsableRate(st.rateLimit.PerSecond)
	}
	re, ok := ba.limits.returns[se.Name]
	if !ok {
		re = &limit.Returns{}
		ba.limits.returns[se.Name] = re
	}
	return Decision{
		Reason:     "every endpoint is at its rate limit",
		RetryAfter: max(minRetryAfter, re.After(now, rq.Team, sum/float64(ba.fleet.instances))),
		Candidates: candidates, Withheld: len(ba.withheld),
	}
}

// RateLimitChange is the effect of a statement about a rate limit on what this instance believes.
type RateLimitChange struct {
	// Before is what this instance believed before.
	Before limit.Statement
	// Changed reports whether it believes something else now.
	Changed bool
	// Notify reports whether the peers should be notified of the statement.
	Notify bool
}

// RecordRateLimit records what the endpoint's response says about its rate limit.
func (at *Attempt) RecordRateLimit(now time.Duration, st limit.Statement) RateLimitChange {
	at.balancer.mu.Lock()
	defer at.balancer.mu.Unlock()
	return at.state.believe(now, st, at.state.rateLimit.WithResponse(now, at.startedAt, st))
}

// believe sets the belief about the rate limit after a statement, which is passed on only if it is believed.
func (st *state) believe(now time.Duration, statement limit.Statement, be limit.Belief) RateLimitChange {
	ch := RateLimitChange{Before: st.rateLimit.Statement, Changed: st.rateLimit.Statement != be.Statement}
	st.rateLimit = be
	if ch.Changed {
		st.permits.ChangeLimit(now, ch.Before, be.Statement)
	}
	ch.Notify = statement == be.Statement && (ch.Changed || (be.Limited && now-st.rateNoticeAt >= rateNoticeInterval))
	if ch.Notify {
		st.rateNoticeAt = now
	}
	return ch
}

// RecordPeerRateLimit records what a response to a peer said about the rate limit of a process.
func (ba *Balancer) RecordPeerRateLimit(now time.Duration, process string, statement limit.Statement) RateLimitChange {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st := ba.stateOfProcess(process)
	if st == nil {
		return ba.limits.hear(now, process, statement)
	}
	st.rateNoticeAt = now
	return st.believe(now, statement, st.rateLimit.WithNotice(now, statement))
}

// hear records what a peer stated of a process to which this instance has not sent any request.
func (rl *rateLimits) hear(now time.Duration, process string, statement limit.Statement) RateLimitChange {
	before := rl.heard[process]
	after := before.WithNotice(now, statement)
	switch {
	case !after.Limited:
		delete(rl.heard, process)
	case len(rl.heard) < maxHeard:
		rl.heard[process] = after
	}
	return RateLimitChange{Before: before.Statement, Changed: before.Statement != after.Statement}
}

// stateOfProcess returns the state of a process by its name, or nil. The caller holds the lock.
func (ba *Balancer) stateOfProcess(process string) *state {
	st, ok := ba.states[process[:max(0, strings.LastIndexByte(process, '@'))]]
	if !ok || st.endpoint.Process() != process {
		return nil
	}
	return st
}

// RateLimits returns the rate limits that this instance knows of, in requests a second by process.
func (ba *Balancer) RateLimits() map[string]float64 {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	out := map[string]float64{}
	for process, be := range ba.limits.heard {
		if be.Limited {
			out[process] = be.PerSecond
		}
	}
	for _, st := range ba.states {
		if st.rateLimit.Limited {
			out[st.endpoint.Process()] = st.rateLimit.PerSecond
		}
	}
	return out
}
