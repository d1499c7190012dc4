package emul

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual times.
type clock struct {
	now    time.Duration
	events events
	number int
}

type event struct {
	at time.Duration
	// number keeps events of one time in the order in which they were added.
	number int
	run    func()
}

type events []event

func (ev events) Len() int { return len(ev) }

func (ev events) Less(ii, jj int) bool {
	if ev[ii].at != ev[jj].at {
		return ev[ii].at < ev[jj].at
	}
	return ev[ii].number < ev[jj].number
}

func (ev events) Swap(ii, jj int) { ev[ii], ev[jj] = ev[jj], ev[ii] }

func (ev *events) Push(val any) { *ev = append(*ev, val.(event)) }

func (ev *events) Pop() any {
	old := *ev
	last := old[len(old)-1]
	*ev = old[:len(old)-1]
	return last
}

func (cl *clock) at(at time.Duration, run func()) {
	cl.number++
	heap.Push(&cl.events, event{at: at, number: cl.number, run: run})
}

// play runs all events up to a time.
func (cl *clock) play(until time.Duration) {
	for len(cl.events) > 0 && cl.events[0].at <= until {
		ev := heap.Pop(&cl.events).(event)
		cl.now = ev.at
		ev.run()
	}
}
