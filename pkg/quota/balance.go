package quota

import "time"

const (
	// targetSpan is the part of a target balance that covers the instance's own demand. A loan ahead takes milliseconds, and a lender's next
	// row about half a second.
	targetSpan = time.Second
	// targetRequests is the number of requests of average size that a target balance covers at least, since few requests a second arrive
	// unevenly.
	targetRequests = 4
	// targetLargeRequests is the number of its largest recent requests that a target balance covers at least. Half of the target then covers
	// one, so that it need not wait; sizes differ by a factor of 20.
	targetLargeRequests = 2
	// targetRequestSpan bounds the part of a target balance for targetRequests and targetLargeRequests by the demand in this span. An instance that serves a request
	// of the team every now and then would otherwise hold tokens that others need.
	targetRequestSpan = 8 * time.Second
	// refillPercent sets the balance below which an instance asks for a loan ahead, in percent of its target.
	refillPercent = 50
	// fairPercent bounds a target balance to this percentage of the instance's share, by demand, of the team's unused tokens. The rest stays
	// with the holders, which report what they have in their rows.
	fairPercent = 50
	// fewPercent bounds the part of a target balance for targetRequests in the same way. Balances count as spent when all instances lose power, so
	// that the few requests of all borrowers together must remain a small part of what the team has left.
	fewPercent = 10
	// aheadPercent is the percentage of its surplus that a lender gives at most for one loan ahead, so that several borrowers are served.
	aheadPercent = 50
	// idleSpan is the time without a request after which a balance is returned to a holder.
	idleSpan = 5 * time.Second
	// excessFactor makes a balance too large when it exceeds excessFactor * target for idleSpan after the last loan.
	excessFactor = 2
	// aheadPause is the pause after a loan ahead that fell short. Lenders raise their ceilings with their next rows. The pause doubles with each further
	// shortfall up to maxAheadPause: while the store is unreachable, ceilings rise slowly, and most calls to lenders would bring nothing.
	aheadPause    = 150 * time.Millisecond
	maxAheadPause = 600 * time.Millisecond
	// minReadInterval is the minimum time between two reads of the topic because loans fall short.
	minReadInterval = 300 * time.Millisecond
	// fastHalfLife is the half-life of the faster average of the demand for loans, so that a burst raises the target within a second.
	fastHalfLife = time.Second
)

// workingBalance describes the tokens of one team that an instance without a sufficient grant keeps for its own requests.
type workingBalance struct {
	// free is the number of tokens that can be reserved now.
	free int64
	// demand is the rate of the instance's own reservations, steady its average over some seconds, and teamDemand the demand of the whole
	// team, in tokens a second.
	demand, steady, teamDemand int64
	// meanSize is the average size of the instance's own reservations, and largeSize that of its largest recent ones.
	meanSize, largeSize int64
	// unused is the number of unused tokens of the team in all rows.
	unused int64
	// scarce is set if unused is a small part of the team's total.
	scarce bool
}

// share returns a percentage of the instance's share, by demand, of the team's unused tokens.
func (wb workingBalance) share(demand, percentage int64) int64 {
	if demand <= 0 {
		return 0
	}
	part := float64(demand) / float64(max(demand, wb.teamDemand))
	return int64(part * float64(wb.unused) * float64(percentage) / percent)
}

// target returns the number of tokens that the instance should hold; zero means that it borrows for each request.
func (wb workingBalance) target() int64 {
	few := max(targetRequests*wb.meanSize, targetLargeRequests*wb.largeSize)
	few = min(few, tokensIn(wb.steady, targetRequestSpan), wb.share(wb.steady, fewPercent))
	target := max(few, min(tokensIn(wb.demand, targetSpan), wb.share(wb.demand, fairPercent)))
	if target < wb.meanSize {
		// Tokens that lie at many instances and do not cover a request serve none of them.
		return 0
	}
	return target
}

// ask returns the number of tokens to borrow ahead, zero while the balance is at least half of its target.
func (wb workingBalance) ask() int64 {
	target := wb.target()
	if wb.free >= target*refillPercent/percent || target-wb.free < minSurplus {
		return 0
	}
	return target - max(0, wb.free)
}

// release returns the number of tokens to return to a holder. sinceUse and sinceLoan are the times since the last request and the last loan.
func (wb workingBalance) release(sinceUse, sinceLoan time.Duration) int64 {
	target := wb.target()
	switch {
	case wb.scarce && target == 0, sinceUse >= idleSpan:
		return wb.free
	case sinceLoan >= idleSpan && wb.free > excessFactor*target:
		return wb.free - target
	}
	return 0
}

// lendAhead returns the number of tokens to lend for a loan ahead, given the surplus of the lender over its own need.
func lendAhead(asked, surplus int64) int64 {
	given := min(asked, surplus*aheadPercent/percent)
	if given < min(asked, minSurplus) {
		return 0
	}
	return max(0, given)
}

// tokensIn returns the tokens used within a span at a rate a second.
func tokensIn(perSecond int64, span time.Duration) int64 {
	return int64(float64(perSecond) * span.Seconds())
}

// usage measures the reservations of one team at this instance, and controls its loans ahead.
type usage struct {
	fast, slow meter
	// meanSize is the moving average of the sizes, and largeSize the largest size, which decays by 1/meanSizeSamples with each reservation.
	meanSize, largeSize int64
	// reservedAt is the time of the last reservation, and borrowedAt that of the last call to borrow.
	reservedAt, borrowedAt time.Duration
	// inFlight is set while a call for a loan ahead is in flight; pausedUntil is the end of the pause after one that fell short.
	inFlight bool
	// pause is the length of the last pause after a shortfall, zero after a sufficient loan.
	pause       time.Duration
	pausedUntil time.Duration
	// shortAt is the time of the last loan that fell short.
	shortAt time.Duration
	// refillBelow is the balance below which a loan ahead is due, as of checkedAt. With more, reservations need not compute it again for
	// estimateInterval.
	refillBelow int64
	checkedAt   time.Duration
	// estimate is the newest estimate of the team as a whole.
	estimate teamEstimate
}

// teamEstimate holds what the rows say of a team. It is computed at most every estimateInterval, since requests arrive far more often than
// rows.
type teamEstimate struct {
	at       time.Duration
	valid    bool
	assigned bool
	unused   int64
	demand   int64
}

// estimateInterval is the greatest age of a teamEstimate.
const estimateInterval = 200 * time.Millisecond

func newUsage() usage { return usage{fast: meter{halfLife: fastHalfLife}} }

func (us *usage) add(now time.Duration, tokens int64) {
	us.fast.add(now, tokens)
	us.slow.add(now, tokens)
	us.reservedAt = now
	if us.meanSize == 0 {
		us.meanSize = tokens
	}
	us.largeSize = max(tokens, us.largeSize-us.largeSize/meanSizeSamples)
	us.meanSize += (tokens - us.meanSize) / meanSizeSamples
}

// perSecond returns the rate of reservations in tokens a second.
func (us *usage) perSecond(now time.Duration) int64 {
	return max(us.fast.perSecond(now), us.slow.perSecond(now))
}
