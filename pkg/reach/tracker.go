package reach

import (
	"sync"
	"time"
)

const (
	// minEndpoints is the number of different endpoints that must be unreachable, or silent, before the link is suspected to be cut.
	minEndpoints = 2
	// failureExpiry is the age from which a failed connection attempt no longer counts.
	failureExpiry = 2 * time.Second
	// silenceTime is how long all endpoints must have sent nothing, with requests waiting at several, before the link counts as cut. Prompts at an
	// endpoint that is not overloaded are prefilled in less.
	silenceTime = 700 * time.Millisecond
	// probeInterval is the interval at which a cut link is probed.
	probeInterval = 500 * time.Millisecond
)

// Tracker keeps what happens on the connections to endpoints; it is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// failedAt holds the times of the failed connection attempts since the last successful one, by endpoint.
	failedAt map[string]time.Duration
	// waiting holds the requests that wait for the first data of their responses, by endpoint.
	waiting map[string]*waiters
	// dataAt is the time at which an endpoint last sent data.
	dataAt time.Duration
	cut    bool
	// probedAt is the time of the last probe of the cut link.
	probedAt time.Duration
}

// waiters are the requests that wait at one endpoint.
type waiters struct {
	count int
	since time.Duration
}

// New returns a tracker that knows of no connection yet.
func New() *Tracker {
	return &Tracker{failedAt: map[string]time.Duration{}, waiting: map[string]*waiters{}}
}

// Cut reports whether the link counts as cut, so that connections should be opened in another way.
func (tr *Tracker) Cut() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.cut
}

// Silent reports whether the link counts as cut and open connections bring no data either.
func (tr *Tracker) Silent(now time.Duration) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.cut && now-tr.dataAt >= silenceTime
}

// DialFailed records that no connection to an endpoint could be opened, and reports whether the link is suspected to be cut, so that other endpoints
// should be probed: several that have crashed stay registered for some seconds, while the others can be reached. known is the number of endpoints.
func (tr *Tracker) DialFailed(now time.Duration, endpoint string, known int) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failedAt[endpoint] = now
	for id, at := range tr.failedAt {
		if now-at > failureExpiry {
			delete(tr.failedAt, id)
		}
	}
	return !tr.cut && len(tr.failedAt) >= min(minEndpoints, max(1, known))
}

// Failed reports whether the last attempt to connect to an endpoint failed recently.
func (tr *Tracker) Failed(now time.Duration, endpoint string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at, ok := tr.failedAt[endpoint]
	return ok && now-at <= failureExpiry
}

// Broken records that no probed endpoint could be reached, and reports whether the link counts as cut from now on.
func (tr *Tracker) Broken(now time.Duration) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.cut {
		return false
	}
	tr.setCut(now)
	return true
}

// Connected records that a connection to an endpoint was opened while the link did not count as cut.
func (tr *Tracker) Connected() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	clear(tr.failedAt)
}

// Sent records that a request was sent to an endpoint. The returned function must be called when data has arrived or the request has ended; further
// calls have no effect.
func (tr *Tracker) Sent(now time.Duration, endpoint string) (done func()) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	wa, ok := tr.waiting[endpoint]
	if !ok {
		wa = &waiters{since: now}
		tr.waiting[endpoint] = wa
	}
	wa.count++
	return sync.OnceFunc(func() {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if wa.count--; wa.count == 0 && tr.waiting[endpoint] == wa {
			delete(tr.waiting, endpoint)
		}
	})
}

// Received records that an endpoint sent data.
func (tr *Tracker) Received(now time.Duration, endpoint string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.dataAt = now
	if wa, ok := tr.waiting[endpoint]; ok {
		wa.since = now
	}
}

// Check reports whether the link counts as cut from now on because all endpoints are silent.
func (tr *Tracker) Check(now time.Duration) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.cut || now-tr.dataAt < silenceTime {
		return false
	}
	silent := 0
	for _, wa := range tr.waiting {
		if now-wa.since >= silenceTime {
			silent++
		}
	}
	if silent < minEndpoints {
		return false
	}
	tr.setCut(now)
	return true
}

// TakeProbe reports whether the cut link should be probed now.
func (tr *Tracker) TakeProbe(now time.Duration) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !tr.cut || now-tr.probedAt < probeInterval {
		return false
	}
	tr.probedAt = now
	return true
}

// Recovered records that a probe was answered.
func (tr *Tracker) Recovered(now time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.cut = false
	tr.dataAt = now
	clear(tr.failedAt)
	for _, wa := range tr.waiting {
		// What was sent before is lost, or answered late.
		wa.since = now
	}
}

func (tr *Tracker) setCut(now time.Duration) {
	tr.cut = true
	tr.probedAt = now
}
