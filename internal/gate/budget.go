package gate

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/quota"
)

const (
	// reserveWaitShare is the part of the latency objective for which a request waits for tokens from other instances.
	reserveWaitShare = 0.4
	// ceilingWait is how long a request waits for a new row before peers are asked: several round trips to the store.
	ceilingWait = 60 * time.Millisecond
	// borrowInterval is the pause between two attempts for one request: ceilings rise and other requests end meanwhile.
	borrowInterval = 80 * time.Millisecond
	// outageRetryAfter is when a caller should return while grants cannot be divided anew; outages of the store take seconds.
	outageRetryAfter = 3 * time.Second
	// maxBorrowAttempts is how often other instances are asked for the tokens of one request.
	maxBorrowAttempts = 3
	// insufficientRetryAfter is when a caller should return if this instance has too few tokens; grants are divided anew about once a second.
	insufficientRetryAfter = 800 * time.Millisecond
	// uncertainRetryAfter is when a caller should return if only a top-up can cover the request.
	uncertainRetryAfter = 2 * time.Second
)

// reserve takes the most that the request can cost out of the team's grant.
func (pr *proxyRequest) reserve() error {
	if !pr.info.Sized || !pr.limited {
		return nil
	}
	tokens := pr.info.Prompt + pr.info.Output
	sh := pr.gate.config.Purses.Shard(pr.team)
	ends := min(pr.deadline, pr.now()+time.Duration(reserveWaitShare*float64(pr.route.LatencyTarget)))
	capped := false
	for {
		short := sh.Reserve(pr.now(), pr.team, tokens)
		switch short {
		case quota.Reserved:
			pr.reserved = tokens
			return nil
		case quota.Exhausted:
			return fault.New(fault.BudgetExhausted, fault.NotRun, "what is left of the prepaid total does not cover the request")
		case quota.Uncertain:
			return fault.New(fault.Unavailable, fault.NotRun, "what is surely left of the prepaid total does not cover the request").WithRetryAfter(uncertainRetryAfter)
		case quota.OverCeiling, quota.OverGrant:
		}
		switch {
		case short == quota.OverCeiling && !capped && pr.gate.config.Beliefs.StoreReachable():
			// The next row takes some milliseconds.
			capped = true
			pr.waitForTokens(tokens, min(pr.now()+ceilingWait, pr.deadline))
		case pr.borrow(tokens):
		case pr.now() >= ends || pr.request.Context().Err() != nil:
			return pr.insufficientTokens()
		default:
			pr.waitForTokens(tokens, min(ends, pr.now()+borrowInterval))
		}
	}
}

// insufficientTokens says that the team has tokens left which this instance cannot get at.
func (pr *proxyRequest) insufficientTokens() error {
	retry := insufficientRetryAfter
	if !pr.gate.config.Beliefs.StoreReachable() {
		retry = outageRetryAfter
	}
	return fault.New(fault.Unavailable, fault.NotRun, "this instance holds too few of the team's tokens").WithRetryAfter(retry)
}

// borrow asks the other instances for tokens, a few times for each request: what came in may go to another one first.
func (pr *proxyRequest) borrow(tokens int64) bool {
	if pr.borrowAttempts >= maxBorrowAttempts {
		return false
	}
	pr.borrowAttempts++
	return pr.gate.config.Lender.Borrow(pr.request.Context(), pr.team, tokens)
}

// waitForTokens waits for a change of the team's grant, the given time or the caller's leaving, whichever comes first.
func (pr *proxyRequest) waitForTokens(tokens int64, ends time.Duration) {
	sh := pr.gate.config.Purses.Shard(pr.team)
	wait := ends - pr.now()
	if wait <= 0 {
		return
	}
	changed := sh.AddWaiter(pr.now(), pr.team, tokens)
	defer sh.RemoveWaiter(pr.team, tokens)
	ti := time.NewTimer(wait)
	defer ti.Stop()
	select {
	case <-changed:
	case <-ti.C:
	case <-pr.request.Context().Done():
	}
}

// settle ends the reservation with what the request has cost.
func (pr *proxyRequest) settle() {
	if pr.reserved == 0 {
		return
	}
	pr.gate.config.Purses.Shard(pr.team).Settle(pr.now(), pr.team, pr.reserved, pr.cost)
	pr.reserved = 0
}

// updateCost counts the prompt once, and the tokens of the events that were passed on.
func (pr *proxyRequest) updateCost(events int64) {
	perEvent := pr.service.TokensPerEvent
	if perEvent <= 0 {
		// Without a figure an event may carry any part of the answer.
		perEvent = pr.info.Output
	}
	pr.cost = pr.info.Prompt + min(pr.info.Output, events*perEvent)
}
