package gate

import (
	"math"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/quota"
)

const (
	// reserveWaitShare gives the maximum time that a request waits for tokens from other instances: reserveWaitShare * the route's
	// LatencyTarget.
	reserveWaitShare = 0.4
	// ceilingWait bounds the time that a request waits until this instance has written its next grant row, which raises its spending ceiling.
	// A request that still lacks tokens then borrows from peers. The wait covers several round trips to the store.
	ceilingWait = 60 * time.Millisecond
	// borrowInterval is the pause between two attempts to borrow for one request. Meanwhile ceilings rise, and other requests finish and free
	// the unused tokens of their reservations.
	borrowInterval = 80 * time.Millisecond
	// outageRetryAfter is the Retry-After delay while the store is unreachable, since grants cannot be redistributed then. Outages last
	// seconds.
	outageRetryAfter = 3 * time.Second
	// maxBorrowAttempts bounds the attempts to borrow for one request.
	maxBorrowAttempts = 3
	// insufficientRetryAfter is the Retry-After delay if this instance has too few tokens; grants are redistributed about once a second.
	insufficientRetryAfter = 800 * time.Millisecond
	// uncertainRetryAfter is the Retry-After delay if it is unknown whether the remaining tokens are already spent. Only a top-up of the
	// total is certain to help.
	uncertainRetryAfter = 2 * time.Second
)

// reserve reserves the maximum cost of the request, its prompt tokens plus its maximum output tokens, in the team's grant. If the grant is
// insufficient, it borrows or waits for tokens.
func (pr *proxyRequest) reserve() error {
	if !pr.info.Sized || !pr.limited {
		return nil
	}
	tokens := pr.info.Prompt + pr.info.Output
	sh := pr.gate.config.Purses.Shard(pr.team)
	giveUpAt := min(pr.deadline, pr.now()+time.Duration(reserveWaitShare*float64(pr.route.LatencyTarget)))
	awaitedRow := false
	for {
		result := sh.Reserve(pr.now(), pr.team, tokens)
		switch result {
		case quota.Reserved:
			pr.reserved = tokens
			return nil
		case quota.Exhausted:
			return fault.New(fault.BudgetExhausted, fault.NotRun, "what is left of the prepaid total does not cover the request")
		case quota.Uncertain:
			return fault.New(fault.Unavailable, fault.NotRun, "what is surely left of the prepaid total does not cover the request").
				WithRetryAfter(uncertainRetryAfter)
		case quota.OverCeiling, quota.OverGrant:
		}
		switch {
		case result == quota.OverCeiling && !awaitedRow && pr.gate.config.Beliefs.StoreReachable():
			// The next grant row is written within milliseconds. Its ceiling starts above the tokens
			// used by then, and includes those that requests wait for.
			awaitedRow = true
			pr.waitForTokens(tokens, min(pr.now()+ceilingWait, pr.deadline))
		case pr.borrow(tokens):
		case pr.now() >= giveUpAt || pr.httpRequest.Context().Err() != nil || pr.gate.config.Beliefs.Stopped().Err() != nil:
			return pr.insufficientTokens()
		default:
			pr.waitForTokens(tokens, min(giveUpAt, pr.now()+borrowInterval))
		}
	}
}

// insufficientTokens returns the error for a team that has tokens left, but too few of them at this instance.
func (pr *proxyRequest) insufficientTokens() error {
	retry := insufficientRetryAfter
	if !pr.gate.config.Beliefs.StoreReachable() {
		retry = outageRetryAfter
	}
	return pr.recordShortage(fault.New(fault.Unavailable, fault.NotRun, "this instance holds too few of the team's tokens").WithRetryAfter(retry), true)
}

// borrow asks the other instances for tokens and reports whether it received any. It is called up to maxBorrowAttempts times for one
// request, since another request may reserve the borrowed tokens first.
func (pr *proxyRequest) borrow(tokens int64) bool {
	if pr.borrowAttempts >= maxBorrowAttempts {
		return false
	}
	pr.borrowAttempts++
	return pr.gate.config.Lender.Borrow(pr.httpRequest.Context(), pr.team, tokens)
}

// waitForTokens waits until the team's grant changes, the time until is reached or the caller disconnects. Meanwhile the request counts as
// waiting for the given number of tokens.
func (pr *proxyRequest) waitForTokens(tokens int64, until time.Duration) {
	sh := pr.gate.config.Purses.Shard(pr.team)
	wait := until - pr.now()
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
	case <-pr.httpRequest.Context().Done():
	case <-pr.gate.config.Beliefs.Stopped().Done():
	}
}

// settle replaces the reservation by the actual cost of the request.
func (pr *proxyRequest) settle() {
	if pr.reserved == 0 {
		return
	}
	pr.gate.config.Purses.Shard(pr.team).Settle(pr.now(), pr.team, pr.reserved, pr.cost)
	pr.reserved = 0
}

// maxEvents returns the number of events that the reserved tokens pay for.
func (pr *proxyRequest) maxEvents() int64 {
	perEvent := pr.service.TokensPerEvent
	if !pr.info.Sized || perEvent <= 0 {
		return math.MaxInt64
	}
	return (pr.info.Output + perEvent - 1) / perEvent
}

// updateCost sets the cost of the request: the tokens of the prompt plus those of the events relayed so far. The prompt counts once, also
// after several attempts.
func (pr *proxyRequest) updateCost(events int64) {
	perEvent := pr.service.TokensPerEvent
	if perEvent <= 0 {
		// If the number of tokens per event is not configured, a single event may carry all output tokens.
		perEvent = pr.info.Output
	}
	pr.cost = pr.info.Prompt + min(pr.info.Output, events*perEvent)
}
