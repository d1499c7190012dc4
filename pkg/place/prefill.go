package place

import (
	"math"
	"time"
)

const (
	// rereadFactor weighs the time to read a shared part again, which delays all that run beside it, too.
	rereadFactor = 4
	// rereadWaitFactor is by how much of that factor the weight grows with each second that prompts wait even at the least busy endpoint.
	rereadWaitFactor = 60
)

// rereadPrice returns the weight of the time to read shared parts again.
//
// It answers the load at which prompts wait everywhere: then each token that is read twice delays all that wait, and a request had better
// wait at its home than be read anew at a runner that is a little less busy.
func rereadPrice(now time.Duration, list []*state, rq Request) float64 {
	if rq.shared() == 0 {
		return rereadFactor
	}
	least := int64(math.MaxInt64)
	for _, st := range list {
		least = min(least, st.unread+st.toldUnread(now))
	}
	wait := time.Duration(float64(least) / readRate * float64(time.Millisecond))
	return rereadFactor * (1 + rereadWaitFactor*wait.Seconds())
}

// rereadTime returns what reading shared parts again costs beyond the wait of the request itself.
func rereadTime(rq Request, unread int64, price float64) time.Duration {
	if len(rq.Parts) < 2 {
		return 0
	}
	shared := max(0, unread-rq.Parts[len(rq.Parts)-1].Tokens)
	return time.Duration((price - 1) * float64(shared) / readRate * float64(time.Millisecond))
}
