package place

import "time"

const (
	// minRetryAfter and mostRetryAfter bound the advice to callers.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// lateShare is the part of the useful time beyond which a first event is of no use: the expected time is exceeded as often as not.
	lateShare = 0.9
)

// queueShares are the parts of the useful time that a prompt may wait for those of others, by rank; the useful time is about four times the
// objective. Its own length is not counted, so that long prompts are not refused for their length.
var queueShares = [...]float64{0.25, 0.15, 0.08}

// refuseLate turns a decision into a refusal where the first event is expected too late to be of use, or all endpoints are so busy that
// what is admitted makes all others late.
//
// It answers the load that no placement can serve in time: what is refused at once leaves the endpoints to what is still in time, the less
// urgent first, and the caller learns when to come back instead of waiting for nothing.
func refuseLate(rq Request, de Decision) Decision {
	late := float64(de.TimeToFirstEvent) > lateShare*float64(rq.TimeLeft)
	crowded := rq.Prompt > 0 && float64(de.QueueTime) > queueShares[min(max(0, rq.Rank), len(queueShares)-1)]*float64(rq.TimeLeft)
	if rq.TimeLeft <= 0 || (!late && !crowded) {
		return de
	}
	return Decision{
		Reason: "no endpoint is expected to answer in time", RetryAfter: min(maxRetryAfter, max(minRetryAfter, de.TimeToFirstEvent-rq.TimeLeft/2, de.QueueTime)),
		TimeToFirstEvent: de.TimeToFirstEvent, QueueTime: de.QueueTime, UncachedTokens: de.UncachedTokens, Candidates: de.Candidates,
	}
}
