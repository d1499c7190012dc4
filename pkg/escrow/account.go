package escrow

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// account is the incarnation's share of one budget; all amounts are in tokens.
type account struct {
	name     string
	granted  int64
	spent    int64
	reserved int64
	// waiting is the sum of the tokens for which requests of this incarnation wait.
	waiting int64
	// ceiling is the ceiling of the newest accepted settlement.
	ceiling record.Ceiling
	// inFlight are the ceilings and returns in batches that are not accepted yet, oldest first.
	inFlight []batchTerms
	// claimSequence is the sequence number of the batch with the claim in flight, or zero.
	claimSequence int64
	// lastClaimAt is the time at which the last claim was built.
	lastClaimAt time.Duration
	// logWaiting is AccountUpdate.Waiting.
	logWaiting int64
	// waitingElsewhere is AccountUpdate.WaitingElsewhere, less the tokens returned since.
	waitingElsewhere int64
	// remaining is AccountUpdate.Remaining.
	remaining int64
	// minGrant is the grant to keep even without demand; Prefetch sets it.
	minGrant int64
	// bills and writtenOff go into the next settlement.
	bills      []record.Bill
	writtenOff int64
	// demand measures the tokens spent per second.
	demand rateMeter
	// peakReserved is the maximum of reserved within the last SlackSpan.
	peakReserved int64
	peakAt       time.Duration
	lastUsedAt   time.Duration
	// dirty is set when the account is used or changes, and once per sweepInterval. The next Build then checks whether a claim, a
	// settlement or a return is due, and clears it.
	dirty   bool
	removed bool
	// changed is closed and replaced whenever more tokens may have become available.
	changed chan struct{}
}

// batchTerms are the ceiling and the returned tokens of one account in a batch in flight.
type batchTerms struct {
	sequence   int64
	ceiling    record.Ceiling
	hasCeiling bool
	returned   int64
}

func newAccount(name string) *account {
	return &account{name: name, changed: make(chan struct{})}
}

// usable returns the grant without the tokens whose return is in flight.
func (ac *account) usable() int64 {
	usable := ac.granted
	for _, bt := range ac.inFlight {
		usable -= bt.returned
	}
	return usable
}

// limit returns the upper bound on the committed tokens. It rises with sinceBuild, the time since the last batch was built.
//
// A batch in flight may or may not take effect. The limit is therefore the least of the usable grant, the accepted ceiling
// and all ceilings in flight.
func (ac *account) limit(sinceBuild time.Duration) int64 {
	limit := min(ac.usable(), ac.ceiling.At(sinceBuild))
	for _, bt := range ac.inFlight {
		if bt.hasCeiling {
			limit = min(limit, bt.ceiling.At(sinceBuild))
		}
	}
	return limit
}

// committed returns the tokens that are spent or reserved.
func (ac *account) committed() int64 { return ac.spent + ac.reserved }

// unused returns the usable tokens that are neither spent nor reserved.
func (ac *account) unused() int64 { return ac.usable() - ac.committed() }

func (ac *account) notify() {
	close(ac.changed)
	ac.changed = make(chan struct{})
}

// newestCeiling returns the newest ceiling that was built, accepted or not.
func (ac *account) newestCeiling() record.Ceiling {
	for ix := len(ac.inFlight) - 1; ix >= 0; ix-- {
		if ac.inFlight[ix].hasCeiling {
			return ac.inFlight[ix].ceiling
		}
	}
	return ac.ceiling
}

// acceptUpTo marks all batches up to the sequence number as accepted and reports whether the account was in any of them.
func (ac *account) acceptUpTo(sequence int64) bool {
	before := len(ac.inFlight)
	claimed := ac.claimSequence
	kept := ac.inFlight[:0]
	for _, bt := range ac.inFlight {
		if bt.sequence > sequence {
			kept = append(kept, bt)
			continue
		}
		if bt.hasCeiling {
			ac.ceiling = bt.ceiling
		}
	}
	ac.inFlight = kept
	if ac.claimSequence != 0 && ac.claimSequence <= sequence {
		ac.claimSequence = 0
	}
	return len(ac.inFlight) != before || ac.claimSequence != claimed
}

// updatePeak sets the peak to the current reservations if they exceed it or if it is older than span.
func (ac *account) updatePeak(now time.Duration, span time.Duration) {
	if ac.reserved >= ac.peakReserved || now-ac.peakAt > span {
		ac.peakReserved = ac.reserved
		ac.peakAt = now
	}
}
