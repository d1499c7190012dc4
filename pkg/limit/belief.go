package limit

import "time"

// noticeSlack is the age up to which a statement that this instance heard is kept against a looser one of a peer. Within this time the
// statements may have crossed on their way, so their order is unknown.
const noticeSlack = 250 * time.Millisecond

// Statement is what one response says about the rate limit of its endpoint.
type Statement struct {
	// Limited reports whether the response names a limit; a response without one withdraws it.
	Limited bool
	// PerSecond is the number of requests a second that the endpoint accepts from all instances together, zero or more.
	PerSecond float64
}

// stricterThan reports whether the statement allows less than the other one.
func (st Statement) stricterThan(other Statement) bool {
	return st.Limited && (!other.Limited || st.PerSecond < other.PerSecond)
}

// Belief is what one instance believes of the rate limit of one process of an endpoint; the zero value is a process without a limit.
type Belief struct {
	Statement
	// heardAt is the time when the newest statement that agrees with the belief arrived.
	heardAt time.Duration
}

// WithResponse returns the belief after a response of the endpoint to a request that was sent at sentAt.
//
// Responses overtake each other. A stricter statement applies at once, a looser one or a withdrawal only if its request was sent after the
// newest statement had arrived, so that the endpoint certainly made it later.
func (be Belief) WithResponse(now, sentAt time.Duration, st Statement) Belief {
	if st.stricterThan(be.Statement) || sentAt >= be.heardAt {
		return Belief{Statement: st, heardAt: now}
	}
	if st == be.Statement {
		be.heardAt = now
	}
	return be
}

// WithNotice returns the belief after a peer stated the limit that a response to it has named or withdrawn.
func (be Belief) WithNotice(now time.Duration, st Statement) Belief {
	if st == be.Statement || st.stricterThan(be.Statement) || now-be.heardAt >= noticeSlack {
		return Belief{Statement: st, heardAt: now}
	}
	return be
}
