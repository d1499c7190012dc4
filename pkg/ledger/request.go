package ledger

import (
	"slices"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// MaxResolvedRequests limits the resolved requests that the state keeps; beyond it the oldest are evicted.
const MaxResolvedRequests = 200_000

// MaxStoredBodyBytes limits the total size of all response bodies stored for retries; beyond it the oldest are evicted.
const MaxStoredBodyBytes = 64 << 20

// Phase is the progress of a request with an idempotency key.
type Phase uint8

// The phases of a request with an idempotency key.
const (
	// Pending means that the intent was accepted and no outcome was recorded yet.
	Pending Phase = iota + 1
	// Orphaned means that the incarnation was closed before it recorded an outcome: the request may have run.
	Orphaned
	// Done means that the outcome was recorded.
	Done
	// BilledOnly means that an idempotent request, which needs no intent, was billed under the key.
	BilledOnly
)

// Request is the state of the request with a given idempotency key. Incarnation is the incarnation that recorded the intent of
// the request or, if the request needs no intent, its first bill. Billed is set once a bill for the key was charged.
type Request struct {
	Incarnation int64          `cbor:"incarnation"`
	ContentHash string         `cbor:"contentHash,omitempty"`
	Phase       Phase          `cbor:"phase"`
	Billed      bool           `cbor:"billed,omitempty"`
	Outcome     record.Outcome `cbor:"outcome"`
}

// requestTable holds the requests by idempotency key.
type requestTable struct {
	byKey map[string]Request
	// resolved are the keys of requests that are no longer pending, oldest first.
	resolved []string
	// bodyKeys are the keys with a stored response body, oldest first; bodyBytes is the total size of these bodies.
	bodyKeys  []string
	bodyBytes int
}

func newRequestTable() requestTable { return requestTable{byKey: map[string]Request{}} }

// Request returns the request with the given idempotency key.
func (st *State) Request(key string) (Request, bool) {
	rq, ok := st.requests.byKey[key]
	return rq, ok
}

// markBilled marks the key as billed and reports whether this is its first bill.
func (rt *requestTable) markBilled(key string, number int64) bool {
	rq, ok := rt.byKey[key]
	if ok && rq.Billed {
		return false
	}
	rq.Billed = true
	if !ok {
		rq.Incarnation = number
		rq.Phase = BilledOnly
	}
	rt.byKey[key] = rq
	if !ok {
		rt.addResolved(key)
	}
	return true
}

// addResolved adds a key whose request is over, then evicts the oldest keys and response bodies beyond the bounds.
func (rt *requestTable) addResolved(key string) {
	rt.resolved = append(rt.resolved, key)
	rt.addBody(key)
	for rt.bodyBytes > MaxStoredBodyBytes {
		rt.evictBody()
	}
	for len(rt.resolved) > MaxResolvedRequests {
		if len(rt.bodyKeys) > 0 && rt.bodyKeys[0] == rt.resolved[0] {
			rt.evictBody()
		}
		delete(rt.byKey, rt.resolved[0])
		rt.resolved = rt.resolved[1:]
	}
}

func (rt *requestTable) addBody(key string) {
	if size := len(rt.byKey[key].Outcome.Body); size > 0 {
		rt.bodyKeys = append(rt.bodyKeys, key)
		rt.bodyBytes += size
	}
}

// evictBody drops the oldest stored response body. The key stays, because it prevents a second execution.
func (rt *requestTable) evictBody() {
	key := rt.bodyKeys[0]
	rt.bodyKeys = rt.bodyKeys[1:]
	rq := rt.byKey[key]
	rt.bodyBytes -= len(rq.Outcome.Body)
	rq.Outcome.Body = nil
	rq.Outcome.Complete = false
	rt.byKey[key] = rq
}

// orphanPending marks the pending requests of a closed incarnation as orphaned.
func (rt *requestTable) orphanPending(number int64) {
	for _, key := range rt.pendingKeys(number) {
		rq := rt.byKey[key]
		rq.Phase = Orphaned
		rq.Outcome = record.Outcome{Key: key, Verdict: fault.MayHaveRun}
		rt.byKey[key] = rq
		rt.addResolved(key)
	}
}

func (rt *requestTable) pendingKeys(number int64) []string {
	var keys []string
	for key, rq := range rt.byKey {
		if rq.Incarnation == number && rq.Phase == Pending {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// applyIntent accepts the intent if its key is not known yet and rejects it otherwise.
func (st *State) applyIntent(number int64, in record.Intent) {
	if _, ok := st.requests.byKey[in.Key]; ok {
		st.emit(Event{Kind: IntentRejected, Incarnation: number, Key: in.Key})
		return
	}
	st.requests.byKey[in.Key] = Request{Incarnation: number, ContentHash: in.ContentHash, Phase: Pending}
	st.emit(Event{Kind: IntentAccepted, Incarnation: number, Key: in.Key})
}

// applyOutcome resolves a pending request of the same incarnation; the verdict fault.NotRun frees the key.
func (st *State) applyOutcome(number int64, ou record.Outcome) {
	rq, ok := st.requests.byKey[ou.Key]
	if !ok || rq.Incarnation != number || rq.Phase != Pending {
		return
	}
	if ou.Verdict == fault.NotRun {
		delete(st.requests.byKey, ou.Key)
	} else {
		rq.Phase = Done
		rq.Outcome = ou
		st.requests.byKey[ou.Key] = rq
		st.requests.addResolved(ou.Key)
	}
	st.emit(Event{Kind: Resolved, Incarnation: number, Key: ou.Key})
}
