package edge

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	// crashPrefix begins the keys under which instances tell each other of crashes.
	crashPrefix = "crash/"
	// crashLimit is the number of endpoints that a content may crash before it is kept away.
	crashLimit = 3
	// crashSpan is how long a crash is remembered.
	crashSpan = 60 * time.Second
	// maxSuspects bounds the contents that are remembered, and what waits to be told.
	maxSuspects = 4096
)

// guard counts which endpoints ended while they ran a content; instances tell each other through the store.
type guard struct {
	mu       sync.Mutex
	clock    func() time.Duration
	suspects map[uint64]map[string]time.Duration
	untold   []keyed.Record
}

func newGuard(clock func() time.Duration) *guard {
	return &guard{clock: clock, suspects: map[uint64]map[string]time.Duration{}}
}

// Blocked reports whether the content has crashed too many endpoints.
func (gu *guard) Blocked(content uint64) bool {
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

// RecordCrash notes that an endpoint ended while it ran the content.
func (gu *guard) RecordCrash(content uint64, endpoint string) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if gu.note(content, endpoint) && len(gu.untold) < maxSuspects {
		gu.untold = append(gu.untold, keyed.Record{Key: fmt.Sprintf("%s%016x/%s", crashPrefix, content, endpoint), Value: []byte{1}})
	}
}

// Clear notes that the content was answered.
func (gu *guard) Clear(content uint64) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	delete(gu.suspects, content)
}

// note remembers a crash and reports whether it is new; the lock is held.
func (gu *guard) note(content uint64, endpoint string) bool {
	if len(gu.suspects) >= maxSuspects {
		clear(gu.suspects)
	}
	if gu.suspects[content] == nil {
		gu.suspects[content] = map[string]time.Duration{}
	}
	_, known := gu.suspects[content][endpoint]
	gu.suspects[content][endpoint] = gu.clock()
	return !known
}

// take returns the records that other instances should read.
func (gu *guard) take() []keyed.Record {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	list := gu.untold
	gu.untold = nil
	return list
}

// putBack keeps records that were not appended.
func (gu *guard) putBack(list []keyed.Record) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.untold = append(list, gu.untold...)
}

// read takes what other instances have told.
func (gu *guard) read(list []keyed.Record) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	for _, re := range list {
		rest, ok := strings.CutPrefix(re.Key, crashPrefix)
		if !ok || len(re.Value) == 0 {
			continue
		}
		hash, endpoint, _ := strings.Cut(rest, "/")
		var content uint64
		if _, err := fmt.Sscanf(hash, "%x", &content); err == nil {
			gu.note(content, endpoint)
		}
	}
}
