package escrow

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// sweepInterval is the interval at which every account is examined, even if nothing changed.
	sweepInterval = time.Second
	// claimRetryInterval is the minimum time between two claims in advance. It matters when a claim was not granted in full.
	claimRetryInterval = 5 * time.Second
	// contendedSpan is the time for which an account keeps tokens for its own current demand while other incarnations wait
	// for tokens of the budget.
	contendedSpan = 10 * time.Second
	// activeSpan is the time without use after which an account counts as idle; the ceiling of an idle account has no slack.
	activeSpan = time.Minute
	// idleRiseSpan sets the minimum rate at which a ceiling rises: by the minimum slack every idleRiseSpan. Here the minimum
	// slack is Config.MinSlack, but at most the budget's remaining tokens / slackDivisor.
	idleRiseSpan = 30 * time.Second
	// slackDivisor limits the slack of a ceiling to the budget's remaining tokens / slackDivisor. The term of the slack
	// for the peak of reservations is not limited; see ceilingSlack.
	slackDivisor = 400
	percent      = 100
)

// Build examines the accounts that changed, and every account once per sweepInterval, and returns their claims, settlements
// and returns.
func (bo *book) Build(now time.Duration, sequence int64) []record.Record {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.sweep(now)
	var list []record.Record
	for _, ac := range bo.takeDirty() {
		hadInFlight := ac.hasInFlight()
		list = bo.appendRecords(list, ac, now, sequence)
		if !hadInFlight && ac.hasInFlight() {
			bo.inFlight = append(bo.inFlight, ac)
		}
	}
	bo.lastBuiltAt = now
	return list
}

func (ac *account) hasInFlight() bool { return len(ac.inFlight) > 0 || ac.claimSequence != 0 }

// sweep marks every account as dirty once per sweepInterval.
func (bo *book) sweep(now time.Duration) {
	if now-bo.lastSweep < sweepInterval {
		return
	}
	bo.lastSweep = now
	for _, ac := range bo.accounts {
		bo.markDirty(ac)
	}
}

// appendRecords appends the claim, the settlement and the return of one account, as far as they are due, in the order
// in which the state machine applies them.
func (bo *book) appendRecords(list []record.Record, ac *account, now time.Duration, sequence int64) []record.Record {
	terms := batchTerms{sequence: sequence}
	if cl, ok := bo.buildClaim(ac, now); ok {
		ac.claimSequence = sequence
		ac.lastClaimAt = now
		list = append(list, record.Record{Claim: &cl})
	}
	if se, ok := bo.buildSettle(ac, now); ok {
		terms.hasCeiling = true
		terms.ceiling = se.Ceiling
		list = append(list, record.Record{Settle: &se})
	}
	if tokens := bo.tokensToReturn(ac, now); tokens > 0 {
		terms.returned = tokens
		list = append(list, record.Record{Return: &record.Return{Budget: ac.name, Tokens: tokens}})
	}
	if terms.hasCeiling || terms.returned > 0 {
		ac.inFlight = append(ac.inFlight, terms)
	}
	return list
}

// targetGrant returns the grant that the account should have: the committed tokens, those of waiting requests, and a reserve.
// The reserve is the slack plus the tokens that the current demand uses during PartitionSpan, but at least minGrant.
func (bo *book) targetGrant(ac *account, now time.Duration) int64 {
	demand := int64(ac.demand.perSecond(now) * bo.config.PartitionSpan.Seconds())
	return ac.committed() + ac.waiting + max(demand+bo.slack(ac, now), ac.minGrant)
}

// slack returns how many tokens the account should have beyond the committed ones. It is the sum of two terms:
//   - the tokens that the current demand uses during SlackSpan, at least MinSlack;
//   - peakReserved - reserved, at least zero, so that the reservations can rise to their recent peak again.
func (bo *book) slack(ac *account, now time.Duration) int64 {
	ac.updatePeak(now, bo.config.SlackSpan)
	demand := int64(ac.demand.perSecond(now) * bo.config.SlackSpan.Seconds())
	return max(demand, bo.config.MinSlack) + max(0, ac.peakReserved-ac.reserved)
}

// ceilingSlack returns by how many tokens a new ceiling exceeds the sum of the committed tokens and those that requests wait
// for. These tokens are written off if the instance crashes. The result is therefore zero for an idle account. Otherwise it is
// the sum described at slack, but with a limit on the term for the current demand: the budget's remaining tokens / slackDivisor.
func (bo *book) ceilingSlack(ac *account, now time.Duration) int64 {
	idle := ac.lastUsedAt == 0 || now-ac.lastUsedAt > activeSpan
	if idle && ac.reserved == 0 && ac.waiting == 0 {
		return 0
	}
	slack := bo.slack(ac, now)
	return min(slack, ac.remaining/slackDivisor+max(0, ac.peakReserved-ac.reserved))
}

// ceilingRate returns the rate in tokens per second at which a ceiling rises while no batch is accepted. It is HeadroomPercent
// of the current demand, but at least the minimum rate that idleRiseSpan sets.
func (bo *book) ceilingRate(ac *account, now time.Duration) int64 {
	demand := int64(ac.demand.perSecond(now)) * bo.config.HeadroomPercent / percent
	minSlack := min(bo.config.MinSlack, ac.remaining/slackDivisor)
	return max(demand, minSlack*int64(time.Second)/int64(idleRiseSpan))
}

// buildClaim returns the claim of an account and whether to send it. The claim contains Need, the tokens that are missing
// for committed tokens and waiting requests, and Want, the tokens that are missing to reach the target grant.
//
// No claim is sent while another is in flight or while all unused tokens are to be returned. Otherwise a claim is sent
//   - if Need differs from the tokens of this account that are queued in the log, or
//   - in advance: if the account is in use, usable-committed is below (target-committed)/2, and the last claim is
//     claimRetryInterval old.
func (bo *book) buildClaim(ac *account, now time.Duration) (record.Claim, bool) {
	if ac.claimSequence != 0 || bo.returnsAllUnused(ac) {
		return record.Claim{}, false
	}
	need := max(0, ac.committed()+ac.waiting-ac.usable())
	want := max(0, bo.targetGrant(ac, now)-ac.usable())
	cl := record.Claim{Budget: ac.name, Need: need, Want: want}
	if need != ac.logWaiting {
		return cl, true
	}
	low := want > 0 && ac.usable()-ac.committed() < (bo.targetGrant(ac, now)-ac.committed())/2
	inUse := ac.waiting > 0 || ac.minGrant > 0 || now-ac.lastUsedAt < bo.config.IdleSpan
	due := ac.lastClaimAt == 0 || now-ac.lastClaimAt >= claimRetryInterval
	return cl, low && inUse && due
}

// returnsAllUnused reports whether all unused tokens are to be returned: while draining, or if the budget was removed.
func (bo *book) returnsAllUnused(ac *account) bool {
	return (bo.draining || ac.removed) && ac.waiting == 0
}

// buildSettle returns the settlement of an account and whether to send it. It is sent if there are costs to settle, or if
// the newest ceiling is more than half of the slack too low or more than twice the slack too high.
func (bo *book) buildSettle(ac *account, now time.Duration) (record.Settle, bool) {
	slack := bo.ceilingSlack(ac, now)
	wanted := ac.committed() + ac.waiting + slack
	base := ac.newestCeiling().Base
	tooLow := base < wanted-slack/2
	tooHigh := base > wanted+2*slack
	if len(ac.bills) == 0 && ac.writtenOff == 0 && !tooLow && !tooHigh {
		return record.Settle{}, false
	}
	se := record.Settle{
		Budget: ac.name, Bills: ac.bills, WrittenOff: ac.writtenOff,
		Ceiling: record.Ceiling{
			Base:            wanted,
			TokensPerSecond: bo.ceilingRate(ac, now),
			Delay:           bo.config.Delay,
		},
	}
	ac.bills = nil
	ac.writtenOff = 0
	return se, true
}

// tokensToReturn returns the number of tokens to return to the budget. Tokens that are committed or needed by waiting requests
// are never returned. Of the others, it returns
//   - all, while draining or if the budget was removed;
//   - while other incarnations wait for tokens: as many as they wait for, but the account keeps its own demand for
//     contendedSpan and enough tokens to reach its recent peak of reservations again;
//   - once the account was not used for IdleSpan: the surplus over the reserve of targetGrant, if it exceeds this reserve.
func (bo *book) tokensToReturn(ac *account, now time.Duration) int64 {
	unused := ac.unused() - ac.waiting
	if unused <= 0 {
		return 0
	}
	if bo.returnsAllUnused(ac) {
		return unused
	}
	if ac.waitingElsewhere > 0 {
		keep := int64(ac.demand.perSecond(now)*contendedSpan.Seconds()) + max(0, ac.peakReserved-ac.reserved)
		returned := min(ac.waitingElsewhere, max(0, unused-keep))
		ac.waitingElsewhere -= returned
		return returned
	}
	target := bo.targetGrant(ac, now) - ac.committed() - ac.waiting
	if now-ac.lastUsedAt > bo.config.IdleSpan && unused > 2*target {
		return unused - target
	}
	return 0
}
