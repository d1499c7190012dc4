package engine

import (
	"sync"
	"time"
)

// The rate of retries of one instance, as a token bucket.
const (
	retryBurst     = 20
	retryPerSecond = 10
)

// retryBudget is a token bucket that limits the retries of one instance, since retries would amplify an outage of all endpoints.
type retryBudget struct {
	mu          sync.Mutex
	tokens      float64
	last        time.Duration
	initialized bool
}

func (rb *retryBudget) allow(now time.Duration) bool {
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
