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
	// maxContents bounds the contents that are remembered, and what waits to be told.
	maxContents = 4096
)

// quarantine counts which endpoints ended while they ran a content; instances tell each other through the store.
type quarantine struct {
	mu      sync.Mutex
	clock   func() time.Duration
	crashes map[uint64]map[string]time.Duration
	unsent  []keyed.Record
}

func newQuarantine(clock func() time.Duration) *quarantine {
	return &quarantine{clock: clock, crashes: map[uint64]map[string]time.Duration{}}
}

// Blocked reports whether the content has crashed too many endpoints.
func (qu *quarantine) Blocked(content uint64) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	recent := 0
	for _, at := range qu.crashes[content] {
		if qu.clock()-at < crashSpan {
			recent++
		}
	}
	return recent >= crashLimit
}

// RecordCrash notes that an endpoint ended while it ran the content.
func (qu *quarantine) RecordCrash(content uint64, endpoint string) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.addCrash(content, endpoint) && len(qu.unsent) < maxContents {
		qu.unsent = append(qu.unsent, keyed.Record{Key: fmt.Sprintf("%s%016x/%s", crashPrefix, content, endpoint), Value: []byte{1}})
	}
}

// Clear notes that the content was answered.
func (qu *quarantine) Clear(content uint64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	delete(qu.crashes, content)
}

// addCrash remembers a crash and reports whether it is new; the lock is held.
func (qu *quarantine) addCrash(content uint64, endpoint string) bool {
	if len(qu.crashes) >= maxContents {
		clear(qu.crashes)
	}
	if qu.crashes[content] == nil {
		qu.crashes[content] = map[string]time.Duration{}
	}
	_, known := qu.crashes[content][endpoint]
	qu.crashes[content][endpoint] = qu.clock()
	return !known
}

// takeUnsent returns the records that other instances should read.
func (qu *quarantine) takeUnsent() []keyed.Record {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	list := qu.unsent
	qu.unsent = nil
	return list
}

// putBack keeps records that were not appended.
func (qu *quarantine) putBack(list []keyed.Record) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.unsent = append(list, qu.unsent...)
}

// applyRecords takes what other instances have told.
func (qu *quarantine) applyRecords(list []keyed.Record) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, re := range list {
		rest, ok := strings.CutPrefix(re.Key, crashPrefix)
		if !ok || len(re.Value) == 0 {
			continue
		}
		hash, endpoint, _ := strings.Cut(rest, "/")
		var content uint64
		if _, err := fmt.Sscanf(hash, "%x", &content); err == nil {
			qu.addCrash(content, endpoint)
		}
	}
}
