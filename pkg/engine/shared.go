package engine

import (
	"context"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// sharedRetention is how long an answer stays available to retries of its key.
	sharedRetention = 10 * time.Minute
	// maxSharedBytes bounds the answers that are kept.
	maxSharedBytes = 64 << 20
)

// sharedResponse is the answer of a keyed idempotent request, which several callers may follow from its start.
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

// segment is what a follower has not seen yet.
type segment struct {
	status      int
	contentType string
	chunks      [][]byte
	done        bool
	err         error
	changed     <-chan struct{}
}

func (shr *sharedResponse) next(index int) segment {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	return segment{
		status: shr.status, contentType: shr.contentType, chunks: shr.chunks[index:],
		done: shr.done, err: shr.err, changed: shr.changed,
	}
}

// follow passes the whole answer to a sink, whether it is still running or has ended.
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
			return fault.Wrap(ctx.Err(), fault.Timeout, fault.MayHaveRun, "the answer was not complete in time")
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

// sharedTable holds the joints of one instance by key.
type sharedTable struct {
	mu    sync.Mutex
	byKey map[string]*sharedResponse
	order []string
	size  int
}

func newSharedTable() sharedTable { return sharedTable{byKey: map[string]*sharedResponse{}} }

// join returns the joint of a key and whether the caller has to run the request.
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

// retain keeps a joint that ended whole for retries, and forgets one that failed.
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

// expire forgets the oldest joints beyond the bounds of time and size.
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

// sharedRun runs the request of a joint to its end, whoever follows it.
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

// serveShared answers a keyed idempotent request; a retry follows the run that its key already has here.
func (en *Engine) serveShared(ctx context.Context, ru *run, si Sink) error {
	shr, first := en.shared.join(en.config.Clock(), ru.key, ru.request.ContentHash)
	if shr.contentHash != ru.request.ContentHash {
		return fault.New(fault.KeyMismatch, fault.NotRun, "the idempotency key belongs to a request with other content")
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
