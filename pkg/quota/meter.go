package quota

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the moving average of the demand. It is short enough that a burst is noticed within a second or two.
const demandHalfLife = 4 * time.Second

// meter measures a rate in tokens a second as an exponentially decaying average.
type meter struct {
	tokens    float64
	updatedAt time.Duration
	// halfLife is the half-life of the average; zero means demandHalfLife.
	halfLife time.Duration
}

// span returns the half-life in seconds.
func (me meter) span() float64 {
	if me.halfLife > 0 {
		return me.halfLife.Seconds()
	}
	return demandHalfLife.Seconds()
}

func (me *meter) add(now time.Duration, tokens int64) {
	me.decay(now)
	me.tokens += float64(tokens)
}

// perSecond returns the rate. It leaves the meter unchanged, so that rounding doesn't depend on how often the rate is read.
func (me meter) perSecond(now time.Duration) int64 {
	me.decay(now)
	return int64(me.tokens * math.Ln2 / me.span())
}

func (me *meter) decay(now time.Duration) {
	if now > me.updatedAt {
		me.tokens *= math.Exp2(-(now - me.updatedAt).Seconds() / me.span())
		me.updatedAt = now
	}
}
