package quota

import (
	"math"
	"time"
)

// demandHalfLife is the age at which spending counts half; a team's burst shows within a second or two.
const demandHalfLife = 4 * time.Second

// meter measures tokens a second with exponential decay.
type meter struct {
	tokens float64
	last   time.Duration
}

func (me *meter) add(now time.Duration, tokens int64) {
	me.decay(now)
	me.tokens += float64(tokens)
}

func (me *meter) perSecond(now time.Duration) int64 {
	me.decay(now)
	return int64(me.tokens * math.Ln2 / demandHalfLife.Seconds())
}

func (me *meter) decay(now time.Duration) {
	if now > me.last {
		me.tokens *= math.Exp2(-(now - me.last).Seconds() / demandHalfLife.Seconds())
		me.last = now
	}
}
