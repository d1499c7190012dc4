package place

import "time"

// QueueLimit returns the queue time beyond which the request is refused to leave capacity for others (see refuseLate).
func (rq Request) QueueLimit() time.Duration {
	return time.Duration(queueShares[min(max(0, rq.Rank), len(queueShares)-1)] * float64(rq.TimeLeft))
}
