package emul

import (
	"container/heap"
	"time"
)

// clock is a discrete-event scheduler; it runs functions in the order of their virtual times.
type clock struct {
	now    time.Duration
	events eventQueue
	// sequence is the sequence number of the latest event.
	sequence int
}

// event is a function scheduled for a virtual time.
type event struct {
	at time.Duration
	// sequence orders events that have the same time: the one scheduled first runs first.
	sequence int
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }

func (eq eventQueue) Less(ii, jj int) bool {
	if eq[ii].at != eq[jj].at {
		return eq[ii].at < eq[jj].at
	}
	return eq[ii].sequence < eq[jj].sequence
}

func (eq eventQueue) Swap(ii, jj int) { eq[ii], eq[jj] = eq[jj], eq[ii] }

func (eq *eventQueue) Push(val any) { *eq = append(*eq, val.(event)) }

func (eq *eventQueue) Pop() any {
	old := *eq
	last := old[len(old)-1]
	*eq = old[:len(old)-1]
	return last
}

// at schedules a function to run at the given virtual time.
func (cl *clock) at(at time.Duration, run func()) {
	cl.sequence++
	heap.Push(&cl.events, event{at: at, sequence: cl.sequence, run: run})
}

// runUntil runs all events up to and including the given time.
func (cl *clock) runUntil(until time.Duration) {
	for len(cl.events) > 0 && cl.events[0].at <= until {
		ev := heap.Pop(&cl.events).(event)
		cl.now = ev.at
		ev.run()
	}
}
