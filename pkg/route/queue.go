package route

import (
	"cmp"
	"slices"
	"time"
)

// maxQueued bounds the requests that wait for one model or service.
const maxQueued = 4096

// QueueEntry describes a request for the admission queue; Deadline is the time since the process started.
type QueueEntry struct {
	Team     string
	Priority int
	Deadline time.Duration
}

type waiter struct {
	QueueEntry
	query  Query
	round  int64
	placed chan Choice
}

// queue orders waiting requests by priority, then by turns among teams, then by deadline.
type queue struct {
	list     []*waiter
	rounds   map[string]int64
	minRound int64
}

func newQueue() queue { return queue{rounds: map[string]int64{}} }

// add queues a request; each further request of a team takes a later turn, so that teams alternate.
func (qe *queue) add(qu Query, wa QueueEntry) (*waiter, bool) {
	if len(qe.list) >= maxQueued {
		return nil, false
	}
	turn := max(qe.rounds[wa.Team], qe.minRound) + 1
	qe.rounds[wa.Team] = turn
	wt := &waiter{QueueEntry: wa, query: qu, round: turn, placed: make(chan Choice, 1)}
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

// blocks reports whether a queued request of the same or a higher priority goes first.
func (qe *queue) blocks(wa QueueEntry) bool {
	return len(qe.list) > 0 && qe.list[0].Priority >= wa.Priority
}
