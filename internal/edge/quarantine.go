package edge

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/blame"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// crashPrefix is the prefix of the keys of crash records. The key continues with the hash of the trait and the process of the endpoint.
	crashPrefix = "crash/"
	// maxUnsent bounds the crash records that wait to be appended.
	maxUnsent = 4096
	// maxRecordAge is the age from which a crash record is deleted, by the instance that wrote it or by any that reads it at its start.
	maxRecordAge = time.Hour
	// expireInterval is the interval at which an instance searches its records for old ones.
	expireInterval = time.Minute
)

// crashRow is the value of a crash record. The value of older builds is not a map; their keys hold the hash of a whole request.
type crashRow struct {
	// Content is the hash of the whole request.
	Content uint64 `cbor:"1,keyasint"`
	// Repeated reports whether the request was sent when an earlier crash with the trait was known.
	Repeated bool `cbor:"2,keyasint,omitempty"`
	// Wall is the wall-clock time of the crash in Unix milliseconds.
	Wall int64 `cbor:"3,keyasint"`
}

// quarantine blocks requests that crash endpoints; it is safe for concurrent use. Instances share their crash records through the first
// partition of the grant topic, and send them to their peers directly, which is faster and also works while the store is unreachable.
type quarantine struct {
	config  quarantineConfig
	mu      sync.Mutex
	tracker *blame.Tracker
	// own holds the keys of the records that this instance queued or appended, with the times. It deletes them when an answer refutes them or
	// after maxRecordAge.
	own map[string]time.Duration
	// known holds the records in the topic that this instance wrote or read, by key, and withdrawn the keys of those that were deleted.
	known     map[string][]byte
	withdrawn map[string]bool
	// expiredAt is the time when own was last searched for old records.
	expiredAt time.Duration
	// blocks describes the blocked parts as they were last logged.
	blocks string
	// unsent holds the crash records and deletions that wait to be appended.
	unsent []keyed.Record
}

// quarantineConfig holds the dependencies of a quarantine.
type quarantineConfig struct {
	// Clock returns the monotonic time since the process started.
	Clock func() time.Duration
	// Wall returns the wall-clock time.
	Wall func() time.Time
	// Notify sends a crash to the peers and never blocks.
	Notify func(nt mesh.CrashNotice)
	Logger logr.Logger
}

func newQuarantine(cf quarantineConfig) *quarantine {
	return &quarantine{
		config: cf, tracker: blame.New(), own: map[string]time.Duration{}, known: map[string][]byte{}, withdrawn: map[string]bool{},
	}
}

// Blocked reports whether the request is expected to crash endpoints, and for how long it stays blocked.
func (qu *quarantine) Blocked(rq blame.Request) (time.Duration, bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	now := qu.config.Clock()
	until, ok := qu.tracker.Blocked(now, rq)
	return until - now, ok
}

// RecordCrash records that an endpoint crashed when it began to answer the request, and shares the observation.
func (qu *quarantine) RecordCrash(rq blame.Request, sentAt time.Duration, en *roster.Endpoint) {
	process := en.Process()
	qu.mu.Lock()
	list := qu.tracker.RecordCrash(qu.config.Clock(), sentAt, rq, process)
	for _, cr := range list {
		qu.logCrash(cr, "own")
		qu.queueCrash(cr)
	}
	qu.logBlocks()
	qu.mu.Unlock()
	if len(list) > 0 {
		qu.config.Notify(noticeOf(list))
	}
}

// RecordAnswer records that an endpoint began to answer the request without crashing, and withdraws the crash records that this refutes.
func (qu *quarantine) RecordAnswer(rq blame.Request, en *roster.Endpoint) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.tracker.RecordUp(en.Process())
	for _, cr := range qu.tracker.RecordAnswer(qu.config.Clock(), rq) {
		qu.config.Logger.Info("crash refuted", "trait", traitName(cr.Trait), "process", cr.Process)
		qu.withdraw(crashKey(cr))
	}
	qu.logBlocks()
}

// queueCrash queues the record of a crash; the caller holds the lock.
func (qu *quarantine) queueCrash(cr blame.Crash) {
	if len(qu.unsent) >= maxUnsent || len(qu.own) >= maxUnsent {
		return
	}
	data, err := record.Marshal(crashRow{Content: cr.Content, Repeated: cr.Repeated, Wall: qu.config.Wall().UnixMilli()})
	if err != nil {
		qu.config.Logger.Error(err, "cannot encode a crash record", "trait", traitName(cr.Trait))
		return
	}
	key := crashKey(cr)
	qu.own[key] = qu.config.Clock()
	qu.remember(key, data)
	qu.unsent = append(qu.unsent, keyed.Record{Key: key, Value: data})
}

// remember keeps a record, or the fact that it was deleted if it has no value; the caller holds the lock.
func (qu *quarantine) remember(key string, value []byte) {
	if len(value) > 0 {
		delete(qu.withdrawn, key)
		if len(qu.known) < maxUnsent {
			qu.known[key] = value
		}
		return
	}
	delete(qu.known, key)
	if len(qu.withdrawn) < maxUnsent {
		qu.withdrawn[key] = true
	}
}

// restore applies the records of a store that has come back from an older copy. Records that it has lost are appended again, by whichever instance
// is first, and those that were deleted since are deleted again.
func (qu *quarantine) restore(list []keyed.Record) {
	qu.mu.Lock()
	present := map[string]bool{}
	list = slices.DeleteFunc(slices.Clone(list), func(re keyed.Record) bool {
		present[re.Key] = true
		return qu.withdrawn[re.Key]
	})
	for _, key := range slices.Sorted(maps.Keys(qu.known)) {
		if !present[key] {
			qu.queue(keyed.Record{Key: key, Value: qu.known[key]})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(qu.withdrawn)) {
		if present[key] {
			qu.queue(keyed.Record{Key: key})
		}
	}
	qu.mu.Unlock()
	qu.applyRecords(list)
}

// queue queues a record to append, in place of an earlier one with the same key; the caller holds the lock.
func (qu *quarantine) queue(re keyed.Record) {
	qu.unqueue(re.Key)
	if len(qu.unsent) < maxUnsent {
		qu.unsent = append(qu.unsent, re)
	}
}

// unqueue removes the records with a key from the queue; the caller holds the lock.
func (qu *quarantine) unqueue(key string) {
	qu.unsent = slices.DeleteFunc(qu.unsent, func(re keyed.Record) bool { return re.Key == key })
}

// withdraw queues the deletion of a record that this instance wrote; the caller holds the lock.
func (qu *quarantine) withdraw(key string) {
	if _, ok := qu.own[key]; ok && len(qu.unsent) < maxUnsent {
		delete(qu.own, key)
		qu.remember(key, nil)
		qu.unsent = append(qu.unsent, keyed.Record{Key: key})
	}
}

// takeUnsent returns the records to append and removes them from the queue.
func (qu *quarantine) takeUnsent() []keyed.Record {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.expire()
	list := qu.unsent
	qu.unsent = nil
	return list
}

// expire withdraws old records of this instance; the caller holds the lock.
func (qu *quarantine) expire() {
	now := qu.config.Clock()
	if now-qu.expiredAt < expireInterval {
		return
	}
	qu.expiredAt = now
	for key, at := range qu.own {
		if now-at >= maxRecordAge {
			qu.withdraw(key)
		}
	}
}

// putBack returns records to the queue after their append failed.
func (qu *quarantine) putBack(list []keyed.Record) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.unsent = append(list, qu.unsent...)
}

// applyRecords applies crash records and their deletions. Records that this instance just appended are among them and change nothing.
func (qu *quarantine) applyRecords(list []keyed.Record) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	defer qu.logBlocks()
	now := qu.config.Clock()
	for _, re := range list {
		trait, process, ok := cutCrashKey(re.Key)
		if !ok {
			continue
		}
		if known := qu.known[re.Key]; bytes.Equal(known, re.Value) {
			// Another instance was first to append again what the store had lost.
			qu.unqueue(re.Key)
		}
		qu.remember(re.Key, re.Value)
		if len(re.Value) == 0 {
			qu.tracker.Forget(now, trait, process)
			continue
		}
		row := crashRow{Content: trait}
		age := time.Duration(0)
		if err := record.Unmarshal(re.Value, &row); err != nil {
			// The record of an older build states no more than its key.
			row = crashRow{Content: trait}
		} else {
			age = qu.config.Wall().Sub(time.UnixMilli(row.Wall))
		}
		if age >= maxRecordAge {
			qu.own[re.Key] = now
			qu.withdraw(re.Key)
			continue
		}
		qu.learn(now, age, blame.Crash{Trait: trait, Content: row.Content, Process: process, Repeated: row.Repeated}, "store")
	}
}

// applyNotice applies the crash that a peer observed.
func (qu *quarantine) applyNotice(nt mesh.CrashNotice) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	now := qu.config.Clock()
	for _, tr := range nt.Traits {
		qu.learn(now, 0, blame.Crash{Trait: tr.Hash, Content: nt.Content, Process: nt.Process, Repeated: tr.Repeated}, "peer")
	}
	qu.logBlocks()
}

// learn records a crash that another instance observed; the caller holds the lock.
func (qu *quarantine) learn(now, age time.Duration, cr blame.Crash, source string) {
	if qu.tracker.Learn(now, age, cr) {
		qu.logCrash(cr, source)
	}
}

// logCrash writes the log line of a new crash; the caller holds the lock.
func (qu *quarantine) logCrash(cr blame.Crash, source string) {
	qu.config.Logger.Info("crash recorded", "trait", traitName(cr.Trait), "content", traitName(cr.Content), "process", cr.Process,
		"repeated", cr.Repeated, "source", source, "crashed", qu.tracker.Crashes(cr.Trait))
}

// logBlocks writes a log line if the blocked parts have changed; the caller holds the lock.
func (qu *quarantine) logBlocks() {
	list := qu.tracker.Blocks(qu.config.Clock())
	if len(list) == 0 && qu.blocks == "" {
		return
	}
	names := make([]string, 0, len(list))
	for _, parts := range list {
		names = append(names, fmt.Sprintf("%x", parts))
	}
	if text := strings.Join(names, " "); text != qu.blocks {
		qu.blocks = text
		qu.config.Logger.Info("quarantine", "blocked", names)
	}
}

func traitName(hash uint64) string { return fmt.Sprintf("%016x", hash) }

func crashKey(cr blame.Crash) string { return crashPrefix + traitName(cr.Trait) + "/" + cr.Process }

// cutCrashKey returns the trait and the process of a crash record, and false for the keys of other records.
func cutCrashKey(key string) (trait uint64, process string, ok bool) {
	rest, ok := strings.CutPrefix(key, crashPrefix)
	if !ok {
		return 0, "", false
	}
	hash, process, ok := strings.Cut(rest, "/")
	trait, err := strconv.ParseUint(hash, 16, 64)
	return trait, process, ok && err == nil
}

// noticeOf returns the notice of the crash of one process.
func noticeOf(list []blame.Crash) mesh.CrashNotice {
	nt := mesh.CrashNotice{Content: list[0].Content, Process: list[0].Process}
	for _, cr := range list {
		nt.Traits = append(nt.Traits, mesh.CrashTrait{Hash: cr.Trait, Repeated: cr.Repeated})
	}
	return nt
}

var _ gate.Quarantine = (*quarantine)(nil)
