package engine

import "sync"

// activeCount counts the running requests of an instance.
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

// idle returns a channel that closes once no request runs.
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
