package engine

import "sync"

// activeCount counts the requests in flight on an instance.
type activeCount struct {
	mu      sync.Mutex
	count   int
	waiters []chan struct{}
}

func (ac *activeCount) add() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.count++
}

func (ac *activeCount) done() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.count--
	if ac.count == 0 {
		ac.notifyIdle()
	}
}

// idle returns a channel that is closed once no request is in flight.
func (ac *activeCount) idle() <-chan struct{} {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	done := make(chan struct{})
	ac.waiters = append(ac.waiters, done)
	if ac.count == 0 {
		ac.notifyIdle()
	}
	return done
}

func (ac *activeCount) notifyIdle() {
	for _, done := range ac.waiters {
		close(done)
	}
	ac.waiters = nil
}
