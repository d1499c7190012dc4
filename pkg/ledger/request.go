package ledger

import (
	"slices"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// MaxResolvedRequests bounds how many resolved requests the state remembers by key.
const MaxResolvedRequests = 200_000

// MaxStoredAnswerBytes bounds the answers that the state keeps for retries.
const MaxStoredAnswerBytes = 64 << 20

// Phase says how far a keyed request got.
type Phase uint8

// The phases of a keyed request.
const (
	// Pending means that the intent was accepted and no outcome is known.
	Pending Phase = iota + 1
	// Orphaned means that the incarnation was closed without an outcome: the request may have run.
	Orphaned
	// Done means that the outcome is known.
	Done
	// BilledOnly means that an idempotent request of the key was billed.
	BilledOnly
)

// Request is what the log says about an idempotency key.
type Request struct {
	Incarnation int64          `cbor:"incarnation"`
	ContentHash string         `cbor:"contentHash,omitempty"`
	Phase       Phase          `cbor:"phase"`
	Billed      bool           `cbor:"billed,omitempty"`
	Outcome     record.Outcome `cbor:"outcome"`
}

type requestTable struct {
	byKey map[string]Request
	order []string
	// answers are the keys whose answers are kept, in order, and bytes is the size of these answers.
	answers []string
	bytes   int
}

func newRequestTable() requestTable { return requestTable{byKey: map[string]Request{}} }

// Request returns what is known of a key.
func (st *State) Request(key string) (Request, bool) {
	rq, ok := st.requests.byKey[key]
	return rq, ok
}

// bill marks the key as billed and reports whether this is its first bill.
func (rt *requestTable) bill(key string, number int64) bool {
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
		rt.keep(key)
	}
	return true
}

// keep remembers a key that needs no further record, and forgets the oldest keys and the oldest answers beyond the bounds.
func (rt *requestTable) keep(key string) {
	rt.order = append(rt.order, key)
	rt.noteAnswer(key)
	for rt.bytes > MaxStoredAnswerBytes {
		rt.dropAnswer()
	}
	for len(rt.order) > MaxResolvedRequests {
		if len(rt.answers) > 0 && rt.answers[0] == rt.order[0] {
			rt.dropAnswer()
		}
		delete(rt.byKey, rt.order[0])
		rt.order = rt.order[1:]
	}
}

func (rt *requestTable) noteAnswer(key string) {
	if size := len(rt.byKey[key].Outcome.Body); size > 0 {
		rt.answers = append(rt.answers, key)
		rt.bytes += size
	}
}

// dropAnswer forgets the oldest answer but not its key, so that the request still runs at most once.
func (rt *requestTable) dropAnswer() {
	key := rt.answers[0]
	rt.answers = rt.answers[1:]
	rq := rt.byKey[key]
	rt.bytes -= len(rq.Outcome.Body)
	rq.Outcome.Body = nil
	rq.Outcome.Complete = false
	rt.byKey[key] = rq
}

// orphan marks the open requests of a closed incarnation.
func (rt *requestTable) orphan(number int64) {
	for _, key := range rt.openOf(number) {
		rq := rt.byKey[key]
		rq.Phase = Orphaned
		rq.Outcome = record.Outcome{Key: key, Verdict: fault.MayHaveRun}
		rt.byKey[key] = rq
		rt.keep(key)
	}
}

func (rt *requestTable) openOf(number int64) []string {
	var keys []string
	for key, rq := range rt.byKey {
		if rq.Incarnation == number && rq.Phase == Pending {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (st *State) applyIntent(number int64, in record.Intent) {
	if _, ok := st.requests.byKey[in.Key]; ok {
		st.emit(Event{Kind: IntentRejected, Incarnation: number, Key: in.Key})
		return
	}
	st.requests.byKey[in.Key] = Request{Incarnation: number, ContentHash: in.ContentHash, Phase: Pending}
	st.emit(Event{Kind: IntentAccepted, Incarnation: number, Key: in.Key})
}

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
		st.requests.keep(ou.Key)
	}
	st.emit(Event{Kind: Resolved, Incarnation: number, Key: ou.Key})
}
