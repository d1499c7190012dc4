package engine

import (
	"context"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// sharedRetention is the time for which a complete response stays available to retries with its key.
	sharedRetention = 10 * time.Minute
	// maxSharedBytes limits the total size of the complete responses; beyond it the oldest are evicted.
	maxSharedBytes = 64 << 20
)

// sharedResponse is the response of one execution of a keyed idempotent request.
//
// All chunks are kept, so that any number of callers with the same key can receive the response from its start.
type sharedResponse struct {
	mu          sync.Mutex
	changed     chan struct{}
	status      int
	contentType string
	chunks      [][]byte
	size        int
	done        bool
	err         error
	contentHash string
	endedAt     time.Duration
}

func newSharedResponse(hash string) *sharedResponse {
	return &sharedResponse{changed: make(chan struct{}), contentHash: hash}
}

func (shr *sharedResponse) Head(status int, contentType string) error {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.status = status
	shr.contentType = contentType
	return nil
}

func (shr *sharedResponse) Chunk(data []byte) error {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.chunks = append(shr.chunks, append([]byte(nil), data...))
	shr.size += len(data)
	shr.broadcast()
	return nil
}

func (shr *sharedResponse) end(now time.Duration, err error) {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.done = true
	shr.err = err
	shr.endedAt = now
	shr.broadcast()
}

func (shr *sharedResponse) broadcast() {
	close(shr.changed)
	shr.changed = make(chan struct{})
}

// segment is the part of a shared response that a caller who follows it has not received yet.
type segment struct {
	status      int
	contentType string
	chunks      [][]byte
	done        bool
	err         error
	changed     <-chan struct{}
}

// next returns the segment that starts with the chunk at the given index.
func (shr *sharedResponse) next(index int) segment {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	return segment{
		status: shr.status, contentType: shr.contentType, chunks: shr.chunks[index:],
		done: shr.done, err: shr.err, changed: shr.changed,
	}
}

// follow writes the response to a sink from its start and waits for further chunks while the execution is in progress.
func (shr *sharedResponse) follow(ctx context.Context, si Sink) error {
	seen := 0
	for {
		sg := shr.next(seen)
		if err := sg.writeTo(si, seen == 0); err != nil {
			return fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the caller left")
		}
		seen += len(sg.chunks)
		if sg.done {
			return sg.err
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Timeout, fault.MayHaveRun, "the response was not complete in time")
		case <-sg.changed:
		}
	}
}

func (sg segment) writeTo(si Sink, first bool) error {
	if len(sg.chunks) == 0 {
		return nil
	}
	if first {
		if err := si.Head(sg.status, sg.contentType); err != nil {
			return err
		}
	}
	for _, data := range sg.chunks {
		if err := si.Chunk(data); err != nil {
			return err
		}
	}
	return nil
}

// sharedTable holds the shared responses of one instance; the keys have the form of run.key.
type sharedTable struct {
	mu    sync.Mutex
	byKey map[string]*sharedResponse
	// order lists the keys of complete responses, oldest first.
	order []string
	size  int
}

func newSharedTable() sharedTable { return sharedTable{byKey: map[string]*sharedResponse{}} }

// join returns the shared response for key, which has the form of run.key. The second result is true if the response is new; the caller
// of join must then execute the request.
func (sht *sharedTable) join(now time.Duration, key, hash string) (*sharedResponse, bool) {
	sht.mu.Lock()
	defer sht.mu.Unlock()
	sht.expire(now)
	if shr, ok := sht.byKey[key]; ok {
		return shr, false
	}
	shr := newSharedResponse(hash)
	sht.byKey[key] = shr
	return shr, true
}

// retain keeps a complete response for retries and removes a failed one.
func (sht *sharedTable) retain(key string, shr *sharedResponse) {
	sht.mu.Lock()
	defer sht.mu.Unlock()
	if shr.err != nil {
		delete(sht.byKey, key)
		return
	}
	sht.order = append(sht.order, key)
	sht.size += shr.size
}

// expire evicts the oldest complete responses until the others are within sharedRetention and maxSharedBytes.
func (sht *sharedTable) expire(now time.Duration) {
	for len(sht.order) > 0 {
		shr := sht.byKey[sht.order[0]]
		if sht.size <= maxSharedBytes && now-shr.endedAt < sharedRetention {
			return
		}
		delete(sht.byKey, sht.order[0])
		sht.size -= shr.size
		sht.order = sht.order[1:]
	}
}

// sharedRun executes the request of a shared response to completion, even if every caller disconnects.
type sharedRun struct {
	engine   *Engine
	request  *run
	response *sharedResponse
}

func (sru sharedRun) run() {
	en := sru.engine
	defer en.active.done()
	ctx, cancel := context.WithTimeout(context.Background(), sru.request.class.Timeout.Std())
	defer cancel()
	err := en.finish(sru.request, en.serveIdempotent(ctx, sru.request, sru.response))
	sru.response.end(en.config.Clock(), err)
	en.shared.retain(sru.request.key, sru.response)
}

// serveShared serves a keyed idempotent request; a retry on the same instance follows the execution already started for its key.
func (en *Engine) serveShared(ctx context.Context, ru *run, si Sink) error {
	shr, first := en.shared.join(en.config.Clock(), ru.key, ru.request.ContentHash)
	if shr.contentHash != ru.request.ContentHash {
		return fault.New(fault.KeyMismatch, fault.NotRun, "the idempotency key was already used for a request with different content")
	}
	if first {
		en.active.add()
		own := *ru
		sru := sharedRun{engine: en, request: &own, response: shr}
		go sru.run()
	}
	ru.reportedElsewhere = first
	return shr.follow(ctx, si)
}
