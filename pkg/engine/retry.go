package engine

import (
	"sync"
	"time"
)

const (
	retryBurst     = 20
	retryPerSecond = 10
)

// retryBudget bounds the retries of one instance, so that a shared fault is not amplified.
type retryBudget struct {
	mu          sync.Mutex
	tokens      float64
	last        time.Duration
	initialized bool
}

func (rb *retryBudget) take(now time.Duration) bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if !rb.initialized {
		rb.initialized = true
		rb.tokens = retryBurst
		rb.last = now
	}
	rb.tokens = min(retryBurst, rb.tokens+(now-rb.last).Seconds()*retryPerSecond)
	rb.last = now
	if rb.tokens < 1 {
		return false
	}
	rb.tokens--
	return true
}
