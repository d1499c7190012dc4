package edge

import (
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	// crashLimit is the number of endpoints that a content may crash before it is kept away.
	crashLimit = 2
	// crashSpan is how long a crash is remembered.
	crashSpan = 60 * time.Second
	// maxSuspects bounds the contents that are remembered.
	maxSuspects = 4096
)

// guard counts which endpoints ended while they ran a content.
type guard struct {
	mu       sync.Mutex
	clock    func() time.Duration
	suspects map[uint64]map[string]time.Duration
}

func newGuard(clock func() time.Duration) *guard {
	return &guard{clock: clock, suspects: map[uint64]map[string]time.Duration{}}
}

// Held reports whether the content has crashed too many endpoints.
func (gu *guard) Held(content uint64) bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	recent := 0
	for _, at := range gu.suspects[content] {
		if gu.clock()-at < crashSpan {
			recent++
		}
	}
	return recent >= crashLimit
}

// Crashed notes that an endpoint ended while it ran the content.
func (gu *guard) Crashed(content uint64, endpoint string) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if len(gu.suspects) >= maxSuspects {
		gu.suspects = map[uint64]map[string]time.Duration{}
	}
	if gu.suspects[content] == nil {
		gu.suspects[content] = map[string]time.Duration{}
	}
	gu.suspects[content][endpoint] = gu.clock()
}

// Cleared notes that the content was answered.
func (gu *guard) Cleared(content uint64) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	delete(gu.suspects, content)
}

func (gu *guard) read([]keyed.Record) {}
