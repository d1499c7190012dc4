package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fair"
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

// queue orders requests by priority, then by turns among teams, then by deadline.
type queue struct {
	list   []*waiter
	rounds fair.Rounds
}

// add queues a request in the next round of its team; it returns false if the queue is full.
func (qe *queue) add(qu Query, qen QueueEntry) (*waiter, bool) {
	if len(qe.list) >= maxQueued {
		return nil, false
	}
	wt := &waiter{QueueEntry: qen, query: qu, round: qe.rounds.Add(qen.Team), placed: make(chan Choice, 1)}
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
	qe.rounds.Leave(wt.round, len(qe.list) == 0)
}

// blocks reports whether a new request must be queued because one of the same or a higher priority is already queued.
func (qe *queue) blocks(qen QueueEntry) bool {
	return len(qe.list) > 0 && qe.list[0].Priority >= qen.Priority
}
