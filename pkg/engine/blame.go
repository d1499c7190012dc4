package engine

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/pkg/blame"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// partPrefix is the prefix of the keys of suspect records for messages. Builds that quarantine whole requests only keep such records as the
	// content hash of no request.
	partPrefix = "part/"
	// partFields is the number of fields in such a key: message, content, whether the request was repeated, and process.
	partFields = 4
	// crashWindow separates the crashes of one endpoint: requests that break off within a window were in flight at the same crash.
	crashWindow = 10 * time.Second
)

// partTracker is a blame.Tracker that is safe for concurrent use.
type partTracker struct {
	mu      sync.Mutex
	tracker *blame.Tracker
}

func newPartTracker() partTracker { return partTracker{tracker: blame.New()} }

func (pt *partTracker) blocked(now time.Duration, rq blame.Request) bool {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	_, ok := pt.tracker.Blocked(now, rq)
	return ok
}

func (pt *partTracker) recordCrash(now, sentAt time.Duration, rq blame.Request, process string) []blame.Crash {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.tracker.RecordCrash(now, sentAt, rq, process)
}

func (pt *partTracker) recordAnswer(now time.Duration, rq blame.Request) []blame.Crash {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.tracker.RecordAnswer(now, rq)
}

// apply learns a crash from the key of a suspect record, or forgets it if the record was cleared. Other keys have no effect.
func (pt *partTracker) apply(now time.Duration, key string, cleared bool) {
	cr, ok := parsePartKey(key)
	if !ok {
		return
	}
	pt.mu.Lock()
	defer pt.mu.Unlock()
	if cleared {
		pt.tracker.Forget(now, cr.Trait, cr.Process)
		return
	}
	pt.tracker.Learn(now, 0, cr)
}

// partKey returns the key under which the log holds a crash. It contains the process, so a key never collects the two endpoints that would
// quarantine it until an operator releases it.
func partKey(cr blame.Crash) string {
	return fmt.Sprintf("%s%016x/%016x/%t/%s", partPrefix, cr.Trait, cr.Content, cr.Repeated, cr.Process)
}

func parsePartKey(key string) (blame.Crash, bool) {
	rest, ok := strings.CutPrefix(key, partPrefix)
	fields := strings.SplitN(rest, "/", partFields)
	if !ok || len(fields) != partFields {
		return blame.Crash{}, false
	}
	trait, err1 := strconv.ParseUint(fields[0], 16, 64)
	content, err2 := strconv.ParseUint(fields[1], 16, 64)
	repeated, err3 := strconv.ParseBool(fields[2])
	if err1 != nil || err2 != nil || err3 != nil {
		return blame.Crash{}, false
	}
	return blame.Crash{Trait: trait, Content: content, Process: fields[3], Repeated: repeated}, true
}

// traits returns the properties of the request by which crashes are counted.
func (rq Request) traits() blame.Request {
	return blame.Request{Content: xxhash.Sum64String(rq.ContentHash), Parts: rq.Parts}
}

// processOf names the process of an endpoint that crashed at a time.
func processOf(endpoint string, at time.Time) string {
	return endpoint + "@" + strconv.FormatInt(at.UnixNano()/int64(crashWindow), 10)
}

// partBlocked reports whether requests with a message of this one are refused.
func (en *Engine) partBlocked(rq Request) bool {
	return len(rq.Parts) > 0 && en.parts.blocked(en.config.Clock(), rq.traits())
}

// recordPartCrash records that an endpoint crashed when it began to answer a request, and appends the observation to the log. It has no effect if
// the answer had begun: then the request ran beside the cause.
func (en *Engine) recordPartCrash(ru *run, endpoint string) {
	if len(ru.request.Parts) == 0 || ru.chunks > maxCrashChunks {
		return
	}
	rq := ru.request.traits()
	for _, cr := range en.parts.recordCrash(en.config.Clock(), ru.sentAt, rq, processOf(endpoint, time.Now())) {
		if cr.Trait != rq.Content {
			en.outbox.put(record.Record{Suspect: &record.Suspect{ContentHash: partKey(cr), Endpoint: endpoint}})
		}
	}
	if en.partBlocked(ru.request) {
		en.config.Logger.Info("messages quarantined", "event", "partQuarantined", "request", ru.request.ID, "endpoint", endpoint,
			"parts", fmt.Sprintf("%x", rq.Parts))
	}
}

// recordPartAnswer records that an endpoint began to answer a request, and clears the suspicions that this refutes.
func (en *Engine) recordPartAnswer(request Request) {
	if len(request.Parts) == 0 {
		return
	}
	rq := request.traits()
	for _, cr := range en.parts.recordAnswer(en.config.Clock(), rq) {
		if cr.Trait != rq.Content {
			en.outbox.put(record.Record{ClearSuspect: &record.ClearSuspect{ContentHash: partKey(cr)}})
		}
	}
}

// loadPartSuspects learns the crashes that the state holds.
func (en *Engine) loadPartSuspects(st *ledger.State) {
	now := en.config.Clock()
	for _, key := range st.SuspectHashes() {
		en.parts.apply(now, key, false)
	}
}
