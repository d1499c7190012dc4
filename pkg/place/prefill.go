package place

import (
	"math"
	"time"
)

const (
	// prefillFactor weighs the time to read a shared part again, which delays all that run beside it, too.
	prefillFactor = 4
	// prefillWaitFactor is by how much of that factor the weight grows with each second that prompts wait even at the least busy endpoint.
	prefillWaitFactor = 60
)

// prefillWeight returns the weight of the time to read shared parts again.
//
// It answers the load at which prompts wait everywhere: then each token that is read twice delays all that wait, and a request had better
// wait at its home than be read anew at a runner that is a little less busy.
func prefillWeight(now time.Duration, list []*state, rq Request) float64 {
	if rq.sharedTokens() == 0 {
		return prefillFactor
	}
	least := int64(math.MaxInt64)
	for _, st := range list {
		least = min(least, st.prefillBacklog+st.peerBacklog(now))
	}
	wait := time.Duration(float64(least) / prefillRate * float64(time.Millisecond))
	return prefillFactor * (1 + prefillWaitFactor*wait.Seconds())
}

// prefillPenalty returns what reading shared parts again costs beyond the wait of the request itself.
func prefillPenalty(rq Request, unread int64, price float64) time.Duration {
	if len(rq.Parts) < 2 {
		return 0
	}
	shared := max(0, unread-rq.Parts[len(rq.Parts)-1].Tokens)
	return time.Duration((price - 1) * float64(shared) / prefillRate * float64(time.Millisecond))
}
