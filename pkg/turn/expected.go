package turn

import (
	"slices"
	"time"
)

const (
	// maxEarly is the time by which a caller may come back too soon: delays are sent in milliseconds, and the clocks of instances differ in speed.
	maxEarly = 5 * time.Millisecond
	// maxLate is the time by which a caller may come back late: its connection, and the instance that it reaches, may be slow under load.
	maxLate = time.Second
	// maxExpected bounds the requests that are expected. They are those refused by all instances in some seconds.
	maxExpected = 1 << 14
	// sweepInterval is the interval at which overdue returns are removed.
	sweepInterval = 250 * time.Millisecond
)

// expected holds the times at which refused callers come back, by the content of their requests.
type expected struct {
	// dues are ordered.
	dues    map[uint64][]time.Duration
	sweptAt time.Duration
}

// of returns the times at which requests of the content are expected, without the overdue ones.
func (ex *expected) of(now time.Duration, content uint64) []time.Duration {
	dues := ex.dues[content]
	for len(dues) > 0 && dues[0]+maxLate < now {
		dues = dues[1:]
	}
	return dues
}

// add returns false if too many requests are expected.
func (ex *expected) add(now time.Duration, content uint64, due time.Duration) bool {
	ex.sweep(now)
	dues, ok := ex.dues[content]
	if !ok && len(ex.dues) >= maxExpected {
		return false
	}
	ix, _ := slices.BinarySearch(dues, due)
	ex.dues[content] = slices.Insert(dues, ix, due)
	return true
}

// take removes the first expected return of the content, and returns false if none is due.
func (ex *expected) take(now time.Duration, content uint64) bool {
	ex.sweep(now)
	dues := ex.of(now, content)
	if len(dues) == 0 || dues[0] > now+maxEarly {
		return false
	}
	if len(dues) == 1 {
		delete(ex.dues, content)
	} else {
		ex.dues[content] = dues[1:]
	}
	return true
}

func (ex *expected) sweep(now time.Duration) {
	if now-ex.sweptAt < sweepInterval {
		return
	}
	ex.sweptAt = now
	for content := range ex.dues {
		if dues := ex.of(now, content); len(dues) > 0 {
			ex.dues[content] = dues
		} else {
			delete(ex.dues, content)
		}
	}
}
