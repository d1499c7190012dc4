package turn

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fair"
)

const (
	// maxPasses bounds the requests that try to take the same room one after the other: the first ones may need more of it than others.
	maxPasses = 4
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

// Place is the place of a request among those that wait for a service.
type Place struct {
	waiter Waiter
	line   *line
	round  int64
	// room receives the number of requests that have tried before to take the room.
	room chan int
}

// Room receives a value when an endpoint may have room for the request. The value is for Pass if it has none.
func (pl *Place) Room() <-chan int { return pl.room }

// line holds the requests that wait for a service. They are ordered by rank, then those that have come back, then by turns among teams, then by deadline.
type line struct {
	list   []*Place
	rounds fair.Rounds
}

// Wait adds a request to those that wait for room at an endpoint of its service. It returns nil if the completions of this instance make no room in time.
func (sc *Schedule) Wait(now time.Duration, wt Waiter) *Place {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	la := sc.lane(now, laneKey{service: wt.Service})
	li := &la.line
	pl := &Place{waiter: wt, line: li, round: li.rounds.Next(wt.Team), room: make(chan int, 1)}
	ix, _ := slices.BinarySearchFunc(li.list, pl, comparePlaces)
	if len(li.list) >= maxWaiting || float64(ix+1)/la.completions.rate(now) > wt.MaxWait.Seconds() {
		return nil
	}
	li.rounds.Add(wt.Team)
	li.list = slices.Insert(li.list, ix, pl)
	return pl
}

// MakeRoom tells the first request that waits for the service that an endpoint may have room.
func (sc *Schedule) MakeRoom(service string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if la, ok := sc.lanes[laneKey{service: service}]; ok && len(la.line.list) > 0 {
		la.line.list[0].offer(0)
	}
}

// Pass offers room that is not enough for the request to the next one. The request keeps its place.
func (sc *Schedule) Pass(pl *Place, passes int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if ix := slices.Index(pl.line.list, pl) + 1; ix > 0 && ix < len(pl.line.list) && passes+1 < maxPasses {
		pl.line.list[ix].offer(passes + 1)
	}
}

// Leave removes a request from those that wait. Room that was offered to it and not tried goes to the next one.
func (sc *Schedule) Leave(pl *Place) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	li := pl.line
	ix := slices.Index(li.list, pl)
	if ix < 0 {
		return
	}
	li.list = slices.Delete(li.list, ix, ix+1)
	li.rounds.Leave(pl.round, len(li.list) == 0)
	select {
	case passes := <-pl.room:
		if ix < len(li.list) {
			li.list[ix].offer(passes)
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
