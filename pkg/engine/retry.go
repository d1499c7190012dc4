package engine

import (
	"sync"
	"time"
)

// The size of the token bucket for the retries of one instance, and the number of tokens added to it each second.
const (
	retryBurst     = 20
	retryPerSecond = 10
)

// retryBudget is a token bucket that limits the retries of one instance. Without a limit, retries would add load during an
// outage of all endpoints.
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
