package escrow

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// sweepInterval is how often every account is examined, even without an event.
	sweepInterval = time.Second
	// claimRetry is the minimum time between two claims in advance of need, as after one that was not granted in full.
	claimRetry = 5 * time.Second
	// contendedSpan is how long the tokens that a holder keeps last at its demand, while other holders wait for tokens.
	contendedSpan = 10 * time.Second
	// activeSpan is the time after its last use for which the ceiling of an account has slack.
	activeSpan = time.Minute
	// idleRiseSpan is the time in which the ceiling of an account without demand rises by the minimum slack.
	idleRiseSpan = 30 * time.Second
	// slackDivisor limits the slack of a ceiling to this fraction of the rest of the budget.
	slackDivisor = 400
	percent      = 100
)

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
	bo.lastBuild = now
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
		ac.lastClaim = now
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

// targetGrant returns the grant that covers what is committed and waited for, and the demand for PartitionSpan.
func (bo *book) targetGrant(ac *account, now time.Duration) int64 {
	demand := int64(ac.demand.perSecond(now) * bo.config.PartitionSpan.Seconds())
	return ac.committed() + ac.waiting + max(demand+bo.slack(ac, now), ac.minGrant)
}

// slack returns the tokens that cover the demand for SlackSpan and a repetition of the recent peak of reservations.
func (bo *book) slack(ac *account, now time.Duration) int64 {
	ac.updatePeak(now, bo.config.SlackSpan)
	demand := int64(ac.demand.perSecond(now) * bo.config.SlackSpan.Seconds())
	return max(demand, bo.config.MinSlack) + max(0, ac.peakReserved-ac.reserved)
}

// ceilingSlack returns the slack of a ceiling. These tokens are written off if the instance crashes, so the slack is
// zero for an idle account and limited to a fraction of the rest of the budget.
func (bo *book) ceilingSlack(ac *account, now time.Duration) int64 {
	idle := ac.lastUse == 0 || now-ac.lastUse > activeSpan
	if idle && ac.reserved == 0 && ac.waiting == 0 {
		return 0
	}
	slack := bo.slack(ac, now)
	return min(slack, ac.remaining/slackDivisor+max(0, ac.peakReserved-ac.reserved))
}

// ceilingRate returns how fast a ceiling rises while no batch is accepted, in tokens per second.
func (bo *book) ceilingRate(ac *account, now time.Duration) int64 {
	demand := int64(ac.demand.perSecond(now)) * bo.config.HeadroomPercent / percent
	minSlack := min(bo.config.MinSlack, ac.remaining/slackDivisor)
	return max(demand, minSlack*int64(time.Second)/int64(idleRiseSpan))
}

// buildClaim returns the claim to send, and whether one is due: when the need differs from what is queued in the log,
// or when the account is in use and less than half of the target above the committed tokens is left.
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
	inUse := ac.waiting > 0 || ac.minGrant > 0 || now-ac.lastUse < bo.config.IdleSpan
	due := ac.lastClaim == 0 || now-ac.lastClaim >= claimRetry
	return cl, low && inUse && due
}

// returnsAllUnused reports whether all unused tokens are to be returned: while draining, or if the budget was removed.
func (bo *book) returnsAllUnused(ac *account) bool {
	return (bo.draining || ac.removed) && ac.waiting == 0
}

// buildSettle returns the settlement to send, and whether one is due: when there are costs to settle, or when the
// ceiling lies too far from the wanted one.
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

// tokensToReturn returns how many unused tokens to return: all while draining, what others wait for beyond the
// holder's own short-term demand, or the surplus over the target once the account is idle.
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
	if now-ac.lastUse > bo.config.IdleSpan && unused > 2*target {
		return unused - target
	}
	return 0
}
