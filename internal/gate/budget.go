package gate

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/quota"
)

const (
	// reserveWaitShare is the part of the latency objective for which a request waits for tokens from other instances.
	reserveWaitShare = 0.4
	// capWait is how long a request waits for a new row before peers are asked: several round trips to the store.
	capWait = 60 * time.Millisecond
	// borrowInterval is the pause between two attempts for one request: ceilings rise and other requests end meanwhile.
	borrowInterval = 80 * time.Millisecond
	// outageRetry is when a caller should return while grants cannot be divided anew; outages of the store take seconds.
	outageRetry = 3 * time.Second
	// maxBorrows is how often other instances are asked for the tokens of one request.
	maxBorrows = 3
	// lackingRetry is when a caller should return if this instance has too few tokens; grants are divided anew about once a second.
	lackingRetry = 800 * time.Millisecond
	// strandedRetry is when a caller should return if only a top-up can cover the request.
	strandedRetry = 2 * time.Second
)

// reserve takes the most that the request can cost out of the team's grant.
func (vi *visit) reserve() error {
	if !vi.call.Sized || !vi.limited {
		return nil
	}
	tokens := vi.call.Prompt + vi.call.Output
	pu := vi.gate.config.Purses.Shard(vi.team)
	ends := min(vi.ends, vi.now()+time.Duration(reserveWaitShare*float64(vi.route.LatencyTarget)))
	capped := false
	for {
		short := pu.Reserve(vi.now(), vi.team, tokens)
		switch short {
		case quota.Reserved:
			vi.reserved = tokens
			return nil
		case quota.Exhausted:
			return fault.New(fault.BudgetExhausted, fault.NotRun, "what is left of the prepaid total does not cover the request")
		case quota.Uncertain:
			return fault.New(fault.Unavailable, fault.NotRun, "what is surely left of the prepaid total does not cover the request").WithRetryAfter(strandedRetry)
		case quota.OverCeiling, quota.OverGrant:
		}
		switch {
		case short == quota.OverCeiling && !capped && vi.gate.config.Beliefs.StoreReachable():
			// The next row takes some milliseconds.
			capped = true
			vi.awaitTokens(tokens, min(vi.now()+capWait, vi.ends))
		case vi.borrow(tokens):
		case vi.now() >= ends || vi.request.Context().Err() != nil:
			return vi.lacking()
		default:
			vi.awaitTokens(tokens, min(ends, vi.now()+borrowInterval))
		}
	}
}

// lacking says that the team has tokens left which this instance cannot get at.
func (vi *visit) lacking() error {
	retry := lackingRetry
	if !vi.gate.config.Beliefs.StoreReachable() {
		retry = outageRetry
	}
	return fault.New(fault.Unavailable, fault.NotRun, "this instance holds too few of the team's tokens").WithRetryAfter(retry)
}

// borrow asks the other instances for tokens, a few times for each request: what came in may go to another one first.
func (vi *visit) borrow(tokens int64) bool {
	if vi.borrowed >= maxBorrows {
		return false
	}
	vi.borrowed++
	return vi.gate.config.Lender.Borrow(vi.request.Context(), vi.team, tokens)
}

// awaitTokens waits for a change of the team's grant, the given time or the caller's leaving, whichever comes first.
func (vi *visit) awaitTokens(tokens int64, ends time.Duration) {
	pu := vi.gate.config.Purses.Shard(vi.team)
	wait := ends - vi.now()
	if wait <= 0 {
		return
	}
	changed := pu.AddWaiter(vi.now(), vi.team, tokens)
	defer pu.RemoveWaiter(vi.team, tokens)
	ti := time.NewTimer(wait)
	defer ti.Stop()
	select {
	case <-changed:
	case <-ti.C:
	case <-vi.request.Context().Done():
	}
}

// settle ends the reservation with what the request has cost.
func (vi *visit) settle() {
	if vi.reserved == 0 {
		return
	}
	vi.gate.config.Purses.Shard(vi.team).Settle(vi.now(), vi.team, vi.reserved, vi.cost)
	vi.reserved = 0
}

// charge counts the prompt once, and the tokens of the events that were passed on.
func (vi *visit) charge(events int64) {
	perEvent := vi.service.TokensPerEvent
	if perEvent <= 0 {
		// Without a figure an event may carry any part of the answer.
		perEvent = vi.call.Output
	}
	vi.cost = vi.call.Prompt + min(vi.call.Output, events*perEvent)
}
