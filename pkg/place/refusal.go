package place

import (
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// maxRefusalTime bounds the time for which an endpoint can want no requests. A process that asks for more is as good as gone.
	maxRefusalTime = time.Hour
	// maxReturnSpread bounds the random time by which an instance returns later than it may, so that not all instances return at once.
	maxReturnSpread = time.Second
)

// RecordRefusalTime records that the endpoint has refused a request and wants none from this instance for the given time. It is not passed on to the other
// instances, since it is said to this one.
func (at *Attempt) RecordRefusalTime(now, length time.Duration) {
	at.balancer.mu.Lock()
	defer at.balancer.mu.Unlock()
	length = min(length, maxRefusalTime)
	until := now + length + time.Duration(rand.Int64N(int64(min(maxReturnSpread, length/4))+1))
	at.state.refusesUntil = max(at.state.refusesUntil, until)
}

// refuses reports whether the endpoint wants no requests from this instance now.
func (st *state) refuses(now time.Duration) bool { return now < st.refusesUntil }

// refuseUnwanted refuses a request because each endpoint that it could be sent to wants none now. The caller learns when the first one takes requests again.
func (ba *Balancer) refuseUnwanted(now time.Duration, candidates int) Decision {
	delay := maxRefusalTime
	for _, st := range ba.unwilling {
		delay = min(delay, st.refusesUntil-now)
	}
	return Decision{Reason: "every endpoint wants no requests now", RetryAfter: max(minRetryAfter, delay), Candidates: candidates}
}

// TimeToWilling returns the time after which a request that an endpoint has declined should be sent again: until one of the listed endpoints wants requests, at
// least minRetryAfter.
func (ba *Balancer) TimeToWilling(now time.Duration, list []*roster.Endpoint) time.Duration {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	delay := maxRefusalTime
	for _, en := range list {
		st, ok := ba.states[en.ID]
		if !ok || !st.endpoint.SameProcess(*en) || !st.refuses(now) {
			return minRetryAfter
		}
		delay = min(delay, st.refusesUntil-now)
	}
	return max(minRetryAfter, delay)
}
