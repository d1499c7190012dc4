package engine

import (
	"context"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// maxOutcomeBytes is the maximum size of one response body that is stored in the log for retries.
	maxOutcomeBytes = 32 << 10
	// conflictRetryAfter is the retry delay given to callers while the outcome of the request with their key is unknown.
	conflictRetryAfter = 5 * time.Second
)

// intentTable holds the keys whose intent this instance has submitted but not read back from the log yet.
//
// The channel of a key receives whether the intent was accepted, that is, was the first for this key.
type intentTable struct {
	mu      sync.Mutex
	waiting map[string]chan bool
	changed chan struct{}
}

func newIntentTable() intentTable {
	return intentTable{waiting: map[string]chan bool{}, changed: make(chan struct{})}
}

// register adds a key and returns the channel that receives whether the intent was accepted. It returns false if another request
// of this instance already registered the key.
func (it *intentTable) register(key string) (chan bool, bool) {
	it.mu.Lock()
	defer it.mu.Unlock()
	if _, ok := it.waiting[key]; ok {
		return nil, false
	}
	accepted := make(chan bool, 1)
	it.waiting[key] = accepted
	return accepted, true
}

func (it *intentTable) unregister(key string) {
	it.mu.Lock()
	defer it.mu.Unlock()
	delete(it.waiting, key)
	it.broadcast()
}

func (it *intentTable) pending(key string) bool {
	it.mu.Lock()
	defer it.mu.Unlock()
	_, ok := it.waiting[key]
	return ok
}

// notify tells the waiting request whether its intent was accepted; it returns false if no request waits for the key.
func (it *intentTable) notify(key string, first bool) bool {
	it.mu.Lock()
	defer it.mu.Unlock()
	accepted, ok := it.waiting[key]
	if !ok {
		return false
	}
	select {
	case accepted <- first:
	default:
	}
	return true
}

// nextChange returns a channel that is closed when a key is unregistered or when a request may have been resolved.
func (it *intentTable) nextChange() <-chan struct{} {
	it.mu.Lock()
	defer it.mu.Unlock()
	return it.changed
}

func (it *intentTable) notifyResolved() {
	it.mu.Lock()
	defer it.mu.Unlock()
	it.broadcast()
}

func (it *intentTable) broadcast() {
	close(it.changed)
	it.changed = make(chan struct{})
}

// serveOnce runs a non-idempotent request at most once; a retry of its key gets the stored outcome.
//
// Before a request is dispatched, an intent for its key is appended to the log. Of several intents for one key, the log's state
// accepts only the first, and only the request of this intent may run.
func (en *Engine) serveOnce(ctx context.Context, ru *run, si Sink) error {
	for {
		previous, err := en.awaitPrevious(ctx, ru)
		if err != nil {
			return err
		}
		if previous != nil {
			return replay(ru, *previous, si)
		}
		re, err := ru.reserve(ctx)
		if err != nil {
			return err
		}
		first, err := en.recordIntent(ctx, ru)
		if err != nil || !first {
			en.config.Book.Settle(en.config.Clock(), re, escrow.Cost{})
		}
		if err != nil {
			return err
		}
		if first {
			return en.runFirst(ctx, ru, re, si)
		}
	}
}

// runFirst runs the request whose intent was accepted. It continues when the caller disconnects, until the class timeout.
func (en *Engine) runFirst(ctx context.Context, ru *run, re escrow.Reservation, si Sink) error {
	deadline, _ := ctx.Deadline()
	rctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	rs := &recordingSink{trackingSink: trackingSink{run: ru, sink: si}}
	err := en.runOnce(rctx, ru, rs)
	ru.settleOnce(re, err)
	en.outbox.put(record.Record{Outcome: rs.outcome(ru.key, err)})
	en.log.Wake()
	return ru.finalError(&rs.trackingSink, err)
}

// awaitPrevious waits until an earlier request with the same key is resolved and returns it, or nil if there is none.
func (en *Engine) awaitPrevious(ctx context.Context, ru *run) (*ledger.Request, error) {
	for {
		changed := en.intents.nextChange()
		rq, ok := en.storedRequest(ru.key)
		if ok && (rq.Phase == ledger.BilledOnly || rq.ContentHash != ru.request.ContentHash) {
			return nil, fault.New(fault.KeyMismatch, fault.NotRun, "the idempotency key was already used for a request with different content")
		}
		if ok && rq.Phase != ledger.Pending {
			return &rq, nil
		}
		if !ok && !en.intents.pending(ru.key) {
			return nil, nil
		}
		select {
		case <-ctx.Done():
			return nil, unresolvedError()
		case <-changed:
		}
	}
}

func (en *Engine) storedRequest(key string) (ledger.Request, bool) {
	var (
		rq ledger.Request
		ok bool
	)
	en.config.Replica.View(func(st *ledger.State) { rq, ok = st.Request(key) })
	return rq, ok
}

func unresolvedError() *fault.Error {
	return fault.New(fault.Conflict, fault.MayHaveRun, "an earlier request with this idempotency key has no known outcome yet").
		WithRetryAfter(conflictRetryAfter)
}

// replay answers a retry with the stored outcome.
func replay(ru *run, rq ledger.Request, si Sink) error {
	ou := rq.Outcome
	if rq.Phase == ledger.Orphaned || !ou.Complete {
		return fault.New(fault.Conflict, ou.Verdict, "the request with this idempotency key was dispatched, but its response is not stored")
	}
	ru.usage = Usage{Known: true}
	if err := si.Head(ou.Status, ou.ContentType); err != nil {
		return fault.Wrap(err, fault.Upstream, fault.Ran, "the caller left")
	}
	if err := si.Chunk(ou.Body); err != nil {
		return fault.Wrap(err, fault.Upstream, fault.Ran, "the caller left")
	}
	return nil
}

// recordIntent appends an intent, waits until it is read back from the log, and returns whether it was accepted. It returns false
// at once if another request of this instance has an intent for the key in progress.
func (en *Engine) recordIntent(ctx context.Context, ru *run) (bool, error) {
	accepted, ok := en.intents.register(ru.key)
	if !ok {
		return false, nil
	}
	in := &record.Intent{Key: ru.key, ContentHash: ru.request.ContentHash}
	if err := en.log.Submit(ctx, record.Record{Intent: in}); err != nil {
		en.intents.unregister(ru.key)
		return false, fault.Wrap(err, fault.Unavailable, fault.NotRun, "the intent of the request could not be queued for the log in time")
	}
	select {
	case first := <-accepted:
		en.intents.unregister(ru.key)
		return first, nil
	case <-ctx.Done():
		en.abandonIntent(ru.key, accepted)
		return false, fault.New(fault.Unavailable, fault.NotRun, "the intent of the request was not read back from the log in time").
			WithRetryAfter(conflictRetryAfter)
	}
}

// abandonIntent unregisters a key; if its intent was accepted in the meantime, the key is released.
func (en *Engine) abandonIntent(key string, accepted <-chan bool) {
	en.intents.unregister(key)
	select {
	case first := <-accepted:
		if first {
			en.releaseKey(key)
		}
	default:
	}
}

// releaseKey records that the request with this key did not run and will not run, which frees the key for later requests.
func (en *Engine) releaseKey(key string) {
	en.outbox.put(record.Record{Outcome: &record.Outcome{Key: key, Verdict: fault.NotRun}})
	en.log.Wake()
}

// runOnce tries endpoints in turn until one has answered the request or may have run it, or until no retry is allowed.
func (en *Engine) runOnce(ctx context.Context, ru *run, rs *recordingSink) error {
	for {
		err := ru.attempt(ctx, rs)
		if err == nil || rs.delivered || !ru.mayRetry(ctx, &rs.trackingSink, err) {
			return err
		}
	}
}

// settleOnce ends the reservation; the tokens of a failed request that may have run are written off.
func (ru *run) settleOnce(re escrow.Reservation, err error) {
	co := escrow.Cost{}
	switch {
	case err == nil:
		co.Key = ru.key
		co.Deduplicate = true
		co.Billed = ru.billed()
	case fault.From(err, fault.MayHaveRun).Verdict() != fault.NotRun:
		co.WrittenOff = ru.writeOff()
	}
	ru.engine.config.Book.Settle(ru.engine.config.Clock(), re, co)
}

// recordingSink forwards a response and keeps a copy for retries; it keeps recording after the caller has disconnected.
type recordingSink struct {
	trackingSink
	disconnected bool
	status       int
	contentType  string
	body         []byte
	// overflow is set once the body exceeds maxOutcomeBytes; no body is stored then.
	overflow bool
}

func (rs *recordingSink) Head(status int, contentType string) error {
	rs.status = status
	rs.contentType = contentType
	rs.disconnected = rs.trackingSink.Head(status, contentType) != nil
	return nil
}

func (rs *recordingSink) Chunk(data []byte) error {
	if len(rs.body)+len(data) > maxOutcomeBytes {
		rs.overflow = true
		rs.body = nil
	}
	if !rs.overflow {
		rs.body = append(rs.body, data...)
	}
	if !rs.disconnected {
		rs.disconnected = rs.trackingSink.Chunk(data) != nil
	}
	return nil
}

func (rs *recordingSink) outcome(key string, err error) *record.Outcome {
	if err != nil {
		return &record.Outcome{Key: key, Verdict: fault.From(err, fault.MayHaveRun).Verdict()}
	}
	return &record.Outcome{
		Key: key, Verdict: fault.Ran, Status: rs.status, ContentType: rs.contentType,
		Body: rs.body, Complete: !rs.overflow,
	}
}
