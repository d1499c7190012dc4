package edge

import (
	"context"
	"sync"
)

// readSync lets goroutines wait for the next read of a topic that another one reads.
type readSync struct {
	mu sync.Mutex
	// started and finished count the reads.
	started, finished int64
	// succeeded is the result of the last finished read.
	succeeded bool
	// wanted reports whether a goroutine waits for a read that has not begun.
	wanted bool
	// changed is closed at the end of the next read, which also replaces it.
	changed chan struct{}
	// wake receives a value when a read is wanted.
	wake chan struct{}
}

func newReadSync() *readSync {
	return &readSync{changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// await asks for a read and waits for it. It reports whether a read that began after the call has succeeded.
func (rs *readSync) await(ctx context.Context) bool {
	rs.mu.Lock()
	target := rs.started + 1
	rs.wanted = true
	changed := rs.changed
	rs.mu.Unlock()
	select {
	case rs.wake <- struct{}{}:
	default:
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
		rs.mu.Lock()
		finished, succeeded := rs.finished, rs.succeeded
		changed = rs.changed
		rs.mu.Unlock()
		if finished >= target {
			return succeeded
		}
	}
}

// isWanted reports whether a goroutine waits for a read that has not begun.
func (rs *readSync) isWanted() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.wanted
}

// begin is called before a read.
func (rs *readSync) begin() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.started++
	rs.wanted = false
}

// end is called after a read.
func (rs *readSync) end(succeeded bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.finished, rs.succeeded = rs.started, succeeded
	close(rs.changed)
	rs.changed = make(chan struct{})
}
