package route

import (
	"context"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// recheckInterval is the interval at which a queued request checks its pool and its deadline again.
	recheckInterval = 250 * time.Millisecond
	// maxSkipped is the number of queued requests that dispatch may skip for lack of a usable endpoint before it stops.
	maxSkipped = 4
)

// Admit places the request on an endpoint, and queues it while no endpoint has capacity.
//
// It fails with a *fault.Error of verdict fault.NotRun when no endpoint serves the model or service, the queue is full, the
// expected wait exceeds the deadline, or the context ends.
func (ta *Table) Admit(ctx context.Context, clock func() time.Duration, qu Query, qen QueueEntry) (Choice, error) {
	choice, wt, err := ta.placeOrQueue(clock(), qu, qen)
	if err != nil || wt == nil {
		return choice, err
	}
	for {
		ti := time.NewTimer(recheckInterval)
		select {
		case choice = <-wt.placed:
			ti.Stop()
			return choice, nil
		case <-ctx.Done():
			ti.Stop()
			return ta.leaveQueue(wt)
		case <-ti.C:
		}
		if err := ta.recheck(clock(), wt); err != nil {
			return Choice{}, err
		}
	}
}

// placeOrQueue places the request immediately or adds it to the queue.
func (ta *Table) placeOrQueue(now time.Duration, qu Query, qen QueueEntry) (Choice, *waiter, error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	po, ok := ta.pool(qu)
	if !ok {
		return Choice{}, nil, fault.New(fault.NotFound, fault.NotRun, "no endpoint serves this model or service")
	}
	if !po.queue.blocks(qen) {
		if ca, choice := po.pick(now, qu); ca != nil {
			ca.place(qu)
			return choice, nil, nil
		}
	}
	wt, ok := po.queue.add(qu, qen)
	if !ok {
		return Choice{}, nil, overloadedError("the admission queue is full", recheckInterval)
	}
	if wait := po.expectedWait(slices.Index(po.queue.list, wt)); now+wait > qen.Deadline {
		po.queue.remove(wt)
		return Choice{}, nil, overloadedError("the expected time in the queue exceeds the rest of the class timeout", wait)
	}
	return Choice{}, wt, nil
}

// recheck dispatches the queue and refuses the request if its deadline can no longer be met.
func (ta *Table) recheck(now time.Duration, wt *waiter) error {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	po, ok := ta.pool(wt.query)
	if !ok {
		po.removeWaiter(wt)
		return fault.New(fault.NotFound, fault.NotRun, "no endpoint serves this model or service any more")
	}
	po.dispatch(now)
	ahead := slices.Index(po.queue.list, wt)
	if ahead < 0 {
		return nil
	}
	if wait := po.expectedWait(ahead); now+wait > wt.Deadline {
		po.queue.remove(wt)
		return overloadedError("the expected time in the queue exceeds the rest of the class timeout", wait)
	}
	return nil
}

// leaveQueue removes the request from the queue. If the request was placed in the meantime, leaveQueue returns the choice,
// because the request is already counted on that endpoint.
func (ta *Table) leaveQueue(wt *waiter) (Choice, error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	select {
	case choice := <-wt.placed:
		return choice, nil
	default:
	}
	po, _ := ta.pool(wt.query)
	po.removeWaiter(wt)
	return Choice{}, fault.New(fault.Timeout, fault.NotRun, "no endpoint had capacity in time")
}

// dispatch places queued requests in order while endpoints have capacity.
func (po *pool) dispatch(now time.Duration) {
	skipped := 0
	for ix := 0; ix < len(po.queue.list) && skipped < maxSkipped; {
		wt := po.queue.list[ix]
		ca, choice := po.pick(now, wt.query)
		if ca == nil {
			skipped++
			ix++
			continue
		}
		ca.place(wt.query)
		po.queue.remove(wt)
		wt.placed <- choice
	}
}

// expectedWait estimates how long a request stays in the queue: service time * (ahead + 1) / slots. Here ahead is the number of
// queued requests before it. Of the endpoints that are not leaving, slots is the sum of all slots and the service time is that of
// the slowest.
func (po *pool) expectedWait(ahead int) time.Duration {
	slots := 0
	service := time.Duration(0)
	for _, ca := range po.list {
		if !ca.leaving() {
			slots += ca.endpoint.Slots
			service = max(service, ca.serviceTime.value)
		}
	}
	if slots == 0 {
		return 0
	}
	return service * time.Duration(ahead+1) / time.Duration(slots)
}

// removeWaiter removes a queued request; the pool is nil if its model or service no longer exists.
func (po *pool) removeWaiter(wt *waiter) {
	if po != nil {
		po.queue.remove(wt)
	}
}

func overloadedError(message string, wait time.Duration) error {
	return fault.New(fault.Overloaded, fault.NotRun, message).WithRetryAfter(max(wait, time.Second))
}
