package turn

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fair"
)

const (
	// maxTries bounds the requests that try to take the same room one after the other: the first ones may need more of it than others.
	maxTries = 4
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 1024
)

// Waiter is a request for which no endpoint has room.
type Waiter struct {
	// Service is the service for which the request is.
	Service string
	// Team is the team of the caller.
	Team string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Returned reports whether the caller has come back when it was told.
	Returned bool
	// Deadline is the time by which the response is due.
	Deadline time.Duration
	// MaxWait is the maximum time to wait.
	MaxWait time.Duration
}

// Place is the place of a request in the queue of a service.
type Place struct {
	waiter Waiter
	queue  *queue
	round  int64
	// room receives the number of requests that have tried before to take the room.
	room chan int
}

// Room receives a value when an endpoint may have room for the request. The value is for Pass if it has none.
func (pl *Place) Room() <-chan int { return pl.room }

// queue holds the requests that wait for a service. They are ordered by rank, then those that have come back, then by turns among teams, then by deadline.
type queue struct {
	list   []*Place
	rounds fair.Rounds
}

// Wait adds a request to those that wait for room at an endpoint of its service; the caller of Wait calls Leave in the end. It returns nil if the request, and
// those before it, take more completions than this instance is expected to have within MaxWait.
func (sc *Schedule) Wait(now time.Duration, wt Waiter) *Place {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	la := sc.lane(now, laneKey{service: wt.Service})
	qe := &la.queue
	pl := &Place{waiter: wt, queue: qe, round: qe.rounds.Next(wt.Team), room: make(chan int, 1)}
	ix, _ := slices.BinarySearchFunc(qe.list, pl, comparePlaces)
	if len(qe.list) >= maxWaiting || float64(ix+1)/la.completions.rate(now) > wt.MaxWait.Seconds() {
		return nil
	}
	qe.rounds.Add(wt.Team)
	qe.list = slices.Insert(qe.list, ix, pl)
	return pl
}

// MakeRoom tells the first request that waits for the service that an endpoint may have room.
func (sc *Schedule) MakeRoom(service string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if la, ok := sc.lanes[laneKey{service: service}]; ok && len(la.queue.list) > 0 {
		la.queue.list[0].offer(0)
	}
}

// Pass offers room that is not enough for the request to the next one. The request keeps its place.
func (sc *Schedule) Pass(pl *Place, passes int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if ix := slices.Index(pl.queue.list, pl) + 1; ix > 0 && ix < len(pl.queue.list) && passes+1 < maxTries {
		pl.queue.list[ix].offer(passes + 1)
	}
}

// Leave removes a request from those that wait. Room that was offered to it and not tried goes to the next one.
func (sc *Schedule) Leave(pl *Place) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	qe := pl.queue
	ix := slices.Index(qe.list, pl)
	if ix < 0 {
		return
	}
	qe.list = slices.Delete(qe.list, ix, ix+1)
	qe.rounds.Leave(pl.round, len(qe.list) == 0)
	select {
	case passes := <-pl.room:
		if ix < len(qe.list) {
			qe.list[ix].offer(passes)
		}
	default:
	}
}

// offer never blocks; a request that was told of room and has not tried yet needs no second offer.
func (pl *Place) offer(passes int) {
	select {
	case pl.room <- passes:
	default:
	}
}

func comparePlaces(aa, bb *Place) int {
	return cmp.Or(
		cmp.Compare(aa.waiter.Rank, bb.waiter.Rank),
		cmp.Compare(returnOrder(aa), returnOrder(bb)),
		cmp.Compare(aa.round, bb.round),
		cmp.Compare(aa.waiter.Deadline, bb.waiter.Deadline),
	)
}

func returnOrder(pl *Place) int {
	if pl.waiter.Returned {
		return 0
	}
	return 1
}
