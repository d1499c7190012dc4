package escrow

import (
	"math"
	"time"
)

// rateHalfLife is the age at which spent tokens have half the weight of new ones.
const rateHalfLife = 30 * time.Second

// rateMeter measures a rate in tokens per second as an exponentially weighted average.
type rateMeter struct {
	// tokens is the sum of the added tokens, weighted by their age at the time last.
	tokens float64
	last   time.Duration
	// start is the time of the first add; used is set from then on.
	start time.Duration
	used  bool
}

func (rm *rateMeter) add(now time.Duration, tokens int64) {
	if !rm.used {
		rm.used = true
		rm.start = now
		rm.last = now
	}
	rm.decay(now)
	rm.tokens += float64(tokens)
}

// perSecond returns the rate in tokens per second.
//
// The divisor accounts for the short history of a new meter; a history below one second counts as one second.
func (rm *rateMeter) perSecond(now time.Duration) float64 {
	if !rm.used {
		return 0
	}
	rm.decay(now)
	age := max(now-rm.start, time.Second).Seconds()
	halfLife := rateHalfLife.Seconds()
	weight := halfLife / math.Ln2 * (1 - math.Exp2(-age/halfLife))
	return rm.tokens / weight
}

func (rm *rateMeter) decay(now time.Duration) {
	if now <= rm.last {
		return
	}
	rm.tokens *= math.Exp2(-(now - rm.last).Seconds() / rateHalfLife.Seconds())
	rm.last = now
}
