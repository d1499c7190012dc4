package place

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal gives to the caller.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// lateShare defines when a first event is expected too late: TimeToFirstEvent > lateShare * TimeLeft. The rest of the time is a margin,
	// because about half of all requests take longer than expected.
	lateShare = 0.9
)

// queueShares bounds the queue time of a prompt by its rank: QueueTime <= queueShares[rank] * TimeLeft. The TimeLeft of a new request is
// about four times its latency target. The queue time does not include the prefill of the prompt itself; long prompts are therefore not
// refused for their length.
var queueShares = [...]float64{0.25, 0.15, 0.08}

// refuseLate turns a decision into a refusal in two cases: the first event is expected too late (see lateShare), or the queue time exceeds
// the limit in queueShares. In the second case the endpoints are so busy that one more request would make the others late.
//
// Under overload, not all requests can be served in time wherever they run. Refusing some at once, the less urgent ones first, leaves
// capacity for the others. The refused callers learn when to retry instead of waiting in vain.
func refuseLate(rq Request, de Decision) Decision {
	late := float64(de.TimeToFirstEvent) > lateShare*float64(rq.TimeLeft)
	overloaded := rq.Prompt > 0 && !rq.Resumed && de.QueueTime > rq.QueueLimit()
	if rq.TimeLeft <= 0 || (!late && !overloaded) {
		return de
	}
	return Decision{
		Reason:           "no endpoint is expected to answer in time",
		RetryAfter:       min(maxRetryAfter, max(minRetryAfter, de.TimeToFirstEvent-rq.TimeLeft/2, de.QueueTime)),
		TimeToFirstEvent: de.TimeToFirstEvent, QueueTime: de.QueueTime, UncachedTokens: de.UncachedTokens, Candidates: de.Candidates, Examined: de.Examined, PrefillRate: de.PrefillRate,
	}
}
