package quota

import (
	"maps"
	"slices"
	"time"
)

// LoanAhead is a loan to request in the background, before a request has to wait for tokens.
type LoanAhead struct {
	// Team is the name of the team.
	Team string
	// Tokens is the number of tokens to borrow in all.
	Tokens int64
	// Lenders are the instances to ask, in this order.
	Lenders []string
}

// Enough returns the number of tokens from which on no further lender is asked. A lender gives a part of its surplus, so that the whole
// loan would often take the calls of all lenders.
func (la LoanAhead) Enough() int64 { return (la.Tokens + 2) / 3 }

// Ahead returns a channel that receives a value when TakeAhead should be called.
func (sh *Shard) Ahead() <-chan struct{} { return sh.ahead.signal }

// aheadQueue holds the teams whose balance has fallen below half of its target.
type aheadQueue struct {
	signal chan struct{}
	teams  map[string]bool
}

func newAheadQueue() aheadQueue {
	return aheadQueue{signal: make(chan struct{}, 1), teams: map[string]bool{}}
}

// TakeAhead returns the loans to request now. For each of them, FinishAhead must be called when the outcome is known; until then no other
// loan ahead of the team is returned. random returns numbers from 0 to 1, see Lenders.
func (sh *Shard) TakeAhead(now time.Duration, random func() float64) []LoanAhead {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []LoanAhead
	for _, team := range slices.Sorted(maps.Keys(sh.ahead.teams)) {
		ac := sh.account(team)
		tokens := sh.aheadAsk(ac, now, ac.limit(now, sh.excess(team))-ac.used())
		if tokens == 0 {
			continue
		}
		ac.use.inFlight, ac.use.borrowedAt = true, now
		list = append(list, LoanAhead{Team: team, Tokens: tokens, Lenders: sh.lenders(now, team, random)})
	}
	clear(sh.ahead.teams)
	return list
}

// FinishAhead is called when the outcome of a loan ahead is known: got is the number of tokens that were passed to Receive.
func (sh *Shard) FinishAhead(now time.Duration, loan LoanAhead, got int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(loan.Team)
	ac.use.inFlight = false
	if got >= loan.Enough() {
		ac.use.pause = 0
		return
	}
	ac.use.pause = min(maxAheadPause, max(aheadPause, 2*ac.use.pause))
	ac.use.pausedUntil, ac.use.shortAt = now+ac.use.pause, now
	sh.signalUrgent()
}

// recordUse records a reservation of the team's tokens, after which the given number is free, and signals that a loan ahead is due.
func (sh *Shard) recordUse(ac *account, now time.Duration, tokens, free int64) {
	ac.use.add(now, tokens)
	if free >= ac.use.refillBelow && now-ac.use.checkedAt < estimateInterval {
		return
	}
	if sh.aheadAsk(ac, now, free) == 0 {
		return
	}
	sh.ahead.teams[ac.team] = true
	select {
	case sh.ahead.signal <- struct{}{}:
	default:
	}
}

// aheadAsk returns the number of tokens to borrow ahead now, zero if none. The parameter free is the number of tokens that can be reserved.
func (sh *Shard) aheadAsk(ac *account, now time.Duration, free int64) int64 {
	if ac.use.inFlight || now < ac.use.pausedUntil || sh.closing {
		return 0
	}
	wb := sh.workingBalance(ac, now, free)
	ac.use.checkedAt, ac.use.refillBelow = now, wb.target()*refillPercent/percent
	if ac.use.estimate.assigned && ac.inForce != nil && now-ac.inForce.builtAt < 2*renewInterval {
		// The next row of a holder raises its ceiling and moves its grant.
		return 0
	}
	return wb.ask()
}

// workingBalance returns the state of this instance's balance of a team. The parameter free is the number of tokens that can be reserved.
func (sh *Shard) workingBalance(ac *account, now time.Duration, free int64) workingBalance {
	es := sh.estimate(ac, now)
	return workingBalance{
		free: free, demand: ac.use.perSecond(now), steady: ac.use.slow.perSecond(now), teamDemand: es.demand, meanSize: ac.use.meanSize, largeSize: ac.use.largeSize, unused: es.unused,
		scarce: es.unused <= sh.totals[ac.team]*scarcePercent/percent,
	}
}

// withBalance returns the next row of a borrower with a grant that covers its working balance. Tokens received from peers lower used, so that
// a grant of used alone would give all of them back with each row. The balance is no part of the ceiling's slack: it is as much at risk as the
// balance of a borrower without a row.
func (sh *Shard) withBalance(ac *account, now time.Duration, row Row) Row {
	sr, ok := sh.rows[ac.team][sh.config.Instance]
	used := ac.used()
	if !ok || sh.closing || row.Granted != used || sh.excess(ac.team) > 0 || sh.isAssigned(ac.team, now) {
		return row
	}
	kept := min(sr.row.Granted, ac.granted()) - used
	wb := sh.workingBalance(ac, now, kept)
	kept -= max(0, wb.release(now-ac.use.reservedAt, idleSpan))
	if kept <= 0 {
		return row
	}
	row.Granted = used + kept
	row.Base = max(row.Base, row.Granted)
	row.MaxCeiling = max(row.MaxCeiling, row.Granted)
	return row
}

// estimate returns what the rows say of a team, computed at most every estimateInterval.
func (sh *Shard) estimate(ac *account, now time.Duration) teamEstimate {
	if es := ac.use.estimate; es.valid && now-es.at < estimateInterval {
		return es
	}
	es := teamEstimate{at: now, valid: true, assigned: sh.isAssigned(ac.team, now)}
	for instance, sr := range sh.rows[ac.team] {
		es.unused += max(0, sr.row.Granted-sr.row.Spent-sr.row.NetLent)
		if instance != sh.config.Instance && now-sr.seenAt <= activeSpan {
			es.demand += sr.row.Demand
		}
	}
	ac.use.estimate = es
	return es
}

// ownNeed returns the tokens that this instance keeps for its own requests when it lends.
func (sh *Shard) ownNeed(ac *account, now time.Duration) int64 {
	need := ac.waiting + ac.ownDemand.perSecond(now)*retainSeconds
	if es := sh.estimate(ac, now); es.assigned {
		return need
	}
	return max(need, sh.workingBalance(ac, now, 0).target())
}

// LendAhead lends a part of this instance's surplus to a peer that asks for up to the given number of tokens ahead of its requests, and
// returns the number lent. The tokens count as used here. For overCeiling see Lend.
func (sh *Shard) LendAhead(now time.Duration, team string, tokens int64) (lent int64, overCeiling bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	surplus, beyond := sh.surplus(ac, now)
	lent = lendAhead(tokens, surplus)
	if lent > 0 {
		sh.recordLoan(ac, now, lent)
	}
	return lent, lent < tokens && lendAhead(tokens, beyond) > lent
}

// surplus returns the number of tokens that this instance can lend, and the number that it could lend if its ceiling did not bound them.
func (sh *Shard) surplus(ac *account, now time.Duration) (surplus, beyond int64) {
	excess := sh.excess(ac.team)
	own := sh.ownNeed(ac, now)
	beyond = ac.granted() - excess - ac.used() - own
	if ac.inForce != nil && now-ac.inForce.builtAt < 2*renewInterval {
		// The next row raises the ceiling well before the demand of retainSeconds has come.
		own = ac.waiting
	}
	return min(beyond, ac.limit(now, excess)-ac.used()-own), beyond
}

// ReadWanted reports whether the topic should be read again because this instance does not know who has tokens to lend: it was last read at
// readAt, and since then a loan fell short, or a request waits and no instance is known to have any.
func (sh *Shard) ReadWanted(now, readAt time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if now-readAt < minReadInterval {
		return false
	}
	for team, ac := range sh.accounts {
		if ac.use.shortAt > readAt || (ac.waiting > 0 && sh.holders(team) == 0) {
			return true
		}
	}
	return false
}

// RecordShortfall is called after peers have lent less than a waiting request needs. The rows of the team are then read again soon.
func (sh *Shard) RecordShortfall(now time.Duration, team string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.account(team).use.shortAt = now
	sh.signalUrgent()
}

// recordLoan counts tokens that are lent to a peer.
func (sh *Shard) recordLoan(ac *account, now time.Duration, lent int64) {
	ac.lent += lent
	ac.demand.add(now, lent)
	ac.recordSize(lent)
}
