package route

import (
	"cmp"
	"slices"
	"time"
)

// maxQueued is the capacity of the queue of one model or service.
const maxQueued = 4096

// QueueEntry holds the parameters of a request in the admission queue. Requests of a greater Priority are placed first. Deadline is
// the time by which the request must be answered, measured from the start of the process.
type QueueEntry struct {
	Team string
	// Priority is that of the request class.
	Priority int
	Deadline time.Duration
}

// waiter is a queued request; placed receives the choice of its endpoint.
type waiter struct {
	QueueEntry
	query  Query
	round  int64
	placed chan Choice
}

// queue orders requests by priority, then round-robin among teams, then by deadline. For the round-robin, each request of a team
// gets the round after that of the team's previous request.
type queue struct {
	list []*waiter
	// rounds is the round of the last request queued by each team.
	rounds map[string]int64
	// minRound is R-1, where R is the latest round of all requests that have left the queue since it was last empty. A team
	// that queued nothing for a while continues at round R or later. With a lower round, its requests would overtake those of all
	// other teams.
	minRound int64
}

func newQueue() queue { return queue{rounds: map[string]int64{}} }

// add queues a request in the next round of its team; it returns false if the queue is full.
func (qe *queue) add(qu Query, qen QueueEntry) (*waiter, bool) {
	if len(qe.list) >= maxQueued {
		return nil, false
	}
	round := max(qe.rounds[qen.Team], qe.minRound) + 1
	qe.rounds[qen.Team] = round
	wt := &waiter{QueueEntry: qen, query: qu, round: round, placed: make(chan Choice, 1)}
	ix, _ := slices.BinarySearchFunc(qe.list, wt, compareWaiters)
	qe.list = slices.Insert(qe.list, ix, wt)
	return wt, true
}

func compareWaiters(aa, bb *waiter) int {
	return cmp.Or(
		cmp.Compare(bb.Priority, aa.Priority),
		cmp.Compare(aa.round, bb.round),
		cmp.Compare(aa.Deadline, bb.Deadline),
	)
}

func (qe *queue) remove(wt *waiter) {
	ix := slices.Index(qe.list, wt)
	if ix < 0 {
		return
	}
	qe.list = slices.Delete(qe.list, ix, ix+1)
	qe.minRound = max(qe.minRound, wt.round-1)
	if len(qe.list) == 0 {
		clear(qe.rounds)
		qe.minRound = 0
	}
}

// blocks reports whether a new request must be queued because one of the same or a higher priority is already queued.
func (qe *queue) blocks(qen QueueEntry) bool {
	return len(qe.list) > 0 && qe.list[0].Priority >= qen.Priority
}
