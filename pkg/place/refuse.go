package place

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal gives to the caller.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// lateShare is the maximum share of the time left that the first event is expected to take; beyond it, it counts as late. The rest is a
	// margin, because about half of all requests take longer than expected.
	lateShare = 0.9
)

// queueShares limits the queue time of a prompt by the rank of the request, as a share of the time left. The time left of a new request is
// about four times its latency target. The prefill of the prompt itself does not count, so that long prompts are not refused for their
// length.
var queueShares = [...]float64{0.25, 0.15, 0.08}

// refuseLate turns a decision into a refusal if the first event is expected too late, or if the queue time exceeds the limit in
// queueShares. Then the endpoints are so busy that one more request would make the others late.
//
// Under overload, not all requests can be served in time wherever they run. Refusing some at once, the less urgent ones first, leaves
// capacity for the others. The refused callers learn when to retry instead of waiting in vain.
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
