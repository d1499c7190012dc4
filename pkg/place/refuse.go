package place

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time after which callers are told to retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// lateShare is the part of the time left beyond which the expected first event counts as late: the expected time is exceeded as often
	// as not.
	lateShare = 0.9
)

// queueShares are the parts of the time left that a prompt may wait for the prompts of others, by rank; the time left of a new request is
// about four times the latency target. The prompt's own prefill is not counted, so that long prompts are not refused for their length.
var queueShares = [...]float64{0.25, 0.15, 0.08}

// refuseLate turns a decision into a refusal if the first event is expected too late, or if the endpoints are so busy that one more
// request would make the others late.
//
// Under an overload no placement serves all requests in time. Refusing some at once, the less urgent ones first, keeps the endpoints free
// for those that can still be served in time, and the caller learns when to retry instead of waiting in vain.
func refuseLate(rq Request, de Decision) Decision {
	late := float64(de.TimeToFirstEvent) > lateShare*float64(rq.TimeLeft)
	overloaded := rq.Prompt > 0 && float64(de.QueueTime) > queueShares[min(max(0, rq.Rank), len(queueShares)-1)]*float64(rq.TimeLeft)
	if rq.TimeLeft <= 0 || (!late && !overloaded) {
		return de
	}
	return Decision{
		Reason:           "no endpoint is expected to answer in time",
		RetryAfter:       min(maxRetryAfter, max(minRetryAfter, de.TimeToFirstEvent-rq.TimeLeft/2, de.QueueTime)),
		TimeToFirstEvent: de.TimeToFirstEvent, QueueTime: de.QueueTime, UncachedTokens: de.UncachedTokens, Candidates: de.Candidates,
	}
}
