package edge

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	// crashPrefix is the prefix of the keys of crash records.
	crashPrefix = "crash/"
	// crashLimit is the number of endpoints that requests with the same hash must have crashed to be blocked.
	crashLimit = 3
	// crashSpan is how long a crash counts.
	crashSpan = 60 * time.Second
	// maxContents is the maximum number of request hashes with recorded crashes, and also the maximum number of crash records that wait to be
	// appended.
	maxContents = 4096
)

// quarantine blocks requests that crash endpoints. For each hash of a request it counts the endpoints that requests with this hash
// have crashed. Instances share their crash records through the first partition of the grant topic.
type quarantine struct {
	mu     sync.Mutex
	clock  func() time.Duration
	logger logr.Logger
	// crashes holds the time of each endpoint's last crash, by request hash and endpoint ID.
	crashes map[uint64]map[string]time.Duration
	// unsent holds the crash records that wait to be appended.
	unsent []keyed.Record
}

func newQuarantine(clock func() time.Duration, logger logr.Logger) *quarantine {
	return &quarantine{clock: clock, logger: logger, crashes: map[uint64]map[string]time.Duration{}}
}

// Blocked reports whether requests with this hash have crashed too many endpoints.
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

// RecordCrash records that an endpoint crashed while it ran a request with this hash.
func (qu *quarantine) RecordCrash(content uint64, endpoint string) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.addCrash(content, endpoint, "own") && len(qu.unsent) < maxContents {
		qu.unsent = append(qu.unsent, keyed.Record{Key: fmt.Sprintf("%s%016x/%s", crashPrefix, content, endpoint), Value: []byte{1}})
	}
}

// Clear removes the recorded crashes of requests with this hash. It is called after an endpoint completed such a request.
func (qu *quarantine) Clear(content uint64) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if count := len(qu.crashes[content]); count > 0 {
		qu.logger.Info("crashes cleared", "content", fmt.Sprintf("%016x", content), "crashed", count)
		delete(qu.crashes, content)
	}
}

// addCrash records a crash and reports whether it is new; the caller holds the lock. source says for the log who observed the crash.
func (qu *quarantine) addCrash(content uint64, endpoint, source string) bool {
	if len(qu.crashes) >= maxContents {
		clear(qu.crashes)
	}
	if qu.crashes[content] == nil {
		qu.crashes[content] = map[string]time.Duration{}
	}
	_, known := qu.crashes[content][endpoint]
	qu.crashes[content][endpoint] = qu.clock()
	if !known {
		count := len(qu.crashes[content])
		qu.logger.Info("crash recorded", "content", fmt.Sprintf("%016x", content), "endpoint", endpoint, "source", source, "crashed", count,
			"blocked", count >= crashLimit)
	}
	return !known
}

// takeUnsent returns the crash records to append and removes them from the queue.
func (qu *quarantine) takeUnsent() []keyed.Record {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	list := qu.unsent
	qu.unsent = nil
	return list
}

// putBack returns records to the queue after their append failed.
func (qu *quarantine) putBack(list []keyed.Record) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.unsent = append(list, qu.unsent...)
}

// applyRecords applies the crash records of other instances.
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
			qu.addCrash(content, endpoint, "peer")
		}
	}
}
