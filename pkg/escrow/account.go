package escrow

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// account is what the incarnation holds of one budget; all amounts are in tokens.
type account struct {
	name     string
	granted  int64
	spent    int64
	reserved int64
	// waiting is what requests ask for that could not be reserved yet.
	waiting int64
	// ceiling is the accepted schedule.
	ceiling record.Ceiling
	// sent are the schedules and returns in batches that are not accepted yet.
	sent []sentTerms
	// claimed is the batch of the claim in flight, or zero.
	claimed int64
	// claimedAt is when the last claim was built.
	claimedAt time.Duration
	// logWaiting is what the log says that this incarnation waits for.
	logWaiting int64
	// shortElsewhere is what other incarnations wait for.
	shortElsewhere int64
	// remaining is what the log says is left of the budget over all holders.
	remaining int64
	// floor is the grant to keep without demand.
	floor      int64
	bills      []record.Bill
	writtenOff int64
	demand     rateMeter
	// peak is the greatest reservation of the recent past.
	peak    int64
	peakAt  time.Duration
	lastUse time.Duration
	dirty   bool
	removed bool
	changed chan struct{}
}

// sentTerms are the terms of one account in a batch in flight.
type sentTerms struct {
	sequence int64
	ceiling  record.Ceiling
	settles  bool
	returned int64
}

func newAccount(name string) *account {
	return &account{name: name, changed: make(chan struct{})}
}

// usable returns the grant less what is being returned.
func (ac *account) usable() int64 {
	usable := ac.granted
	for _, se := range ac.sent {
		usable -= se.returned
	}
	return usable
}

// limit returns what may be spent and reserved when no batch was built for the given time.
func (ac *account) limit(silence time.Duration) int64 {
	limit := min(ac.usable(), ac.ceiling.At(silence))
	for _, se := range ac.sent {
		if se.settles {
			limit = min(limit, se.ceiling.At(silence))
		}
	}
	return limit
}

func (ac *account) committed() int64 { return ac.spent + ac.reserved }

func (ac *account) idle() int64 { return ac.usable() - ac.committed() }

func (ac *account) notify() {
	close(ac.changed)
	ac.changed = make(chan struct{})
}

// lastCeiling returns the newest schedule, accepted or not.
func (ac *account) lastCeiling() record.Ceiling {
	for ix := len(ac.sent) - 1; ix >= 0; ix-- {
		if ac.sent[ix].settles {
			return ac.sent[ix].ceiling
		}
	}
	return ac.ceiling
}

// accept drops the terms of accepted batches and reports whether there were any.
func (ac *account) accept(sequence int64) bool {
	before := len(ac.sent)
	claimed := ac.claimed
	kept := ac.sent[:0]
	for _, se := range ac.sent {
		if se.sequence > sequence {
			kept = append(kept, se)
			continue
		}
		if se.settles {
			ac.ceiling = se.ceiling
		}
	}
	ac.sent = kept
	if ac.claimed != 0 && ac.claimed <= sequence {
		ac.claimed = 0
	}
	return len(ac.sent) != before || ac.claimed != claimed
}

// notePeak remembers the greatest reservation for a while.
func (ac *account) notePeak(now time.Duration, span time.Duration) {
	if ac.reserved >= ac.peak || now-ac.peakAt > span {
		ac.peak = ac.reserved
		ac.peakAt = now
	}
}
