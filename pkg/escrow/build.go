package escrow

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// sweepInterval is how often accounts without events are looked at.
	sweepInterval = time.Second
	// claimRetry is the time before a claim is repeated that was not granted in full.
	claimRetry = 5 * time.Second
	// sharedSpan is the demand that a holder keeps while others wait.
	sharedSpan = 10 * time.Second
	// activeSpan is the time after its last use in which an account keeps a slack.
	activeSpan = time.Minute
	// openSpan is the time in which the ceiling of an account without demand rises by the least slack.
	openSpan = 30 * time.Second
	// slackDivisor bounds the slack to a part of what remains of the budget.
	slackDivisor = 400
	percent      = 100
)

func (bo *book) Build(now time.Duration, sequence int64) []record.Record {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.sweep(now)
	var list []record.Record
	for _, ac := range bo.takeDirty() {
		was := ac.isOpen()
		list = bo.buildAccount(list, ac, now, sequence)
		if !was && ac.isOpen() {
			bo.open = append(bo.open, ac)
		}
	}
	bo.lastBuild = now
	return list
}

func (ac *account) isOpen() bool { return len(ac.sent) > 0 || ac.claimed != 0 }

// sweep marks every account once an interval.
func (bo *book) sweep(now time.Duration) {
	if now-bo.swept < sweepInterval {
		return
	}
	bo.swept = now
	for _, ac := range bo.accounts {
		bo.mark(ac)
	}
}

// buildAccount appends the claim, the settlement and the return of one account, in the order in which they are folded.
func (bo *book) buildAccount(list []record.Record, ac *account, now time.Duration, sequence int64) []record.Record {
	terms := sentTerms{sequence: sequence}
	if cl, ok := bo.claim(ac, now); ok {
		ac.claimed = sequence
		ac.claimedAt = now
		list = append(list, record.Record{Claim: &cl})
	}
	if se, ok := bo.settle(ac, now); ok {
		terms.settles = true
		terms.ceiling = se.Ceiling
		list = append(list, record.Record{Settle: &se})
	}
	if tokens := bo.surplus(ac, now); tokens > 0 {
		terms.returned = tokens
		list = append(list, record.Record{Return: &record.Return{Budget: ac.name, Tokens: tokens}})
	}
	if terms.settles || terms.returned > 0 {
		ac.sent = append(ac.sent, terms)
	}
	return list
}

// target returns the grant that covers the demand through a partition.
func (bo *book) target(ac *account, now time.Duration) int64 {
	demand := int64(ac.demand.perSecond(now) * bo.config.PartitionSpan.Seconds())
	return ac.committed() + ac.waiting + max(demand+bo.slack(ac, now), ac.floor)
}

func (bo *book) slack(ac *account, now time.Duration) int64 {
	ac.notePeak(now, bo.config.SlackSpan)
	demand := int64(ac.demand.perSecond(now) * bo.config.SlackSpan.Seconds())
	return max(demand, bo.config.MinSlack) + max(0, ac.peak-ac.reserved)
}

// ceilingSlack returns what a ceiling leaves above what is committed; it is what the loss of the instance writes off.
func (bo *book) ceilingSlack(ac *account, now time.Duration) int64 {
	idle := ac.lastUse == 0 || now-ac.lastUse > activeSpan
	if idle && ac.reserved == 0 && ac.waiting == 0 {
		return 0
	}
	slack := bo.slack(ac, now)
	return min(slack, ac.remaining/slackDivisor+max(0, ac.peak-ac.reserved))
}

// ceilingRate returns how fast a ceiling rises without contact, in tokens a second.
func (bo *book) ceilingRate(ac *account, now time.Duration) int64 {
	demand := int64(ac.demand.perSecond(now)) * bo.config.HeadroomPercent / percent
	floor := min(bo.config.MinSlack, ac.remaining/slackDivisor)
	return max(demand, floor*int64(time.Second)/int64(openSpan))
}

func (bo *book) claim(ac *account, now time.Duration) (record.Claim, bool) {
	if ac.claimed != 0 || bo.returning(ac) {
		return record.Claim{}, false
	}
	need := max(0, ac.committed()+ac.waiting-ac.usable())
	want := max(0, bo.target(ac, now)-ac.usable())
	cl := record.Claim{Budget: ac.name, Need: need, Want: want}
	if need != ac.logWaiting {
		return cl, true
	}
	low := want > 0 && ac.usable()-ac.committed() < (bo.target(ac, now)-ac.committed())/2
	inUse := ac.waiting > 0 || ac.floor > 0 || now-ac.lastUse < bo.config.IdleSpan
	due := ac.claimedAt == 0 || now-ac.claimedAt >= claimRetry
	return cl, low && inUse && due
}

// returning reports whether the whole idle grant goes back.
func (bo *book) returning(ac *account) bool {
	return (bo.draining || ac.removed) && ac.waiting == 0
}

func (bo *book) settle(ac *account, now time.Duration) (record.Settle, bool) {
	slack := bo.ceilingSlack(ac, now)
	wanted := ac.committed() + ac.waiting + slack
	base := ac.lastCeiling().Base
	low := base < wanted-slack/2
	loose := base > wanted+2*slack
	if len(ac.bills) == 0 && ac.writtenOff == 0 && !low && !loose {
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

// surplus returns the tokens to give back.
func (bo *book) surplus(ac *account, now time.Duration) int64 {
	idle := ac.idle() - ac.waiting
	if idle <= 0 {
		return 0
	}
	if bo.returning(ac) {
		return idle
	}
	if ac.shortElsewhere > 0 {
		keep := int64(ac.demand.perSecond(now)*sharedSpan.Seconds()) + max(0, ac.peak-ac.reserved)
		given := min(ac.shortElsewhere, max(0, idle-keep))
		ac.shortElsewhere -= given
		return given
	}
	target := bo.target(ac, now) - ac.committed() - ac.waiting
	if now-ac.lastUse > bo.config.IdleSpan && idle > 2*target {
		return idle - target
	}
	return 0
}
