package engine

import (
	"context"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// jointKeep is how long an answer stays available to retries of its key.
	jointKeep = 10 * time.Minute
	// maxJointBytes bounds the answers that are kept.
	maxJointBytes = 64 << 20
)

// joint is the answer of a keyed idempotent request, which several callers may follow from its start.
type joint struct {
	mu          sync.Mutex
	changed     chan struct{}
	status      int
	contentType string
	chunks      [][]byte
	size        int
	done        bool
	err         error
	hash        string
	endedAt     time.Duration
}

func newJoint(hash string) *joint {
	return &joint{changed: make(chan struct{}), hash: hash}
}

func (jo *joint) Head(status int, contentType string) error {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.status = status
	jo.contentType = contentType
	return nil
}

func (jo *joint) Chunk(data []byte) error {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.chunks = append(jo.chunks, append([]byte(nil), data...))
	jo.size += len(data)
	jo.signal()
	return nil
}

func (jo *joint) end(now time.Duration, err error) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.done = true
	jo.err = err
	jo.endedAt = now
	jo.signal()
}

func (jo *joint) signal() {
	close(jo.changed)
	jo.changed = make(chan struct{})
}

// piece is what a follower has not seen yet.
type piece struct {
	status      int
	contentType string
	chunks      [][]byte
	done        bool
	err         error
	changed     <-chan struct{}
}

func (jo *joint) from(index int) piece {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	return piece{
		status: jo.status, contentType: jo.contentType, chunks: jo.chunks[index:],
		done: jo.done, err: jo.err, changed: jo.changed,
	}
}

// follow passes the whole answer to a sink, whether it is still running or has ended.
func (jo *joint) follow(ctx context.Context, si Sink) error {
	seen := 0
	for {
		pi := jo.from(seen)
		if err := pi.pass(si, seen == 0); err != nil {
			return fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the caller left")
		}
		seen += len(pi.chunks)
		if pi.done {
			return pi.err
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Timeout, fault.MayHaveRun, "the answer was not complete in time")
		case <-pi.changed:
		}
	}
}

func (pi piece) pass(si Sink, first bool) error {
	if len(pi.chunks) == 0 {
		return nil
	}
	if first {
		if err := si.Head(pi.status, pi.contentType); err != nil {
			return err
		}
	}
	for _, data := range pi.chunks {
		if err := si.Chunk(data); err != nil {
			return err
		}
	}
	return nil
}

// jointTable holds the joints of one instance by key.
type jointTable struct {
	mu    sync.Mutex
	byKey map[string]*joint
	order []string
	size  int
}

func newJointTable() jointTable { return jointTable{byKey: map[string]*joint{}} }

// enter returns the joint of a key and whether the caller has to run the request.
func (jt *jointTable) enter(now time.Duration, key, hash string) (*joint, bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	jt.expire(now)
	if jo, ok := jt.byKey[key]; ok {
		return jo, false
	}
	jo := newJoint(hash)
	jt.byKey[key] = jo
	return jo, true
}

// leave keeps a joint that ended whole for retries, and forgets one that failed.
func (jt *jointTable) leave(key string, jo *joint) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if jo.err != nil {
		delete(jt.byKey, key)
		return
	}
	jt.order = append(jt.order, key)
	jt.size += jo.size
}

// expire forgets the oldest joints beyond the bounds of time and size.
func (jt *jointTable) expire(now time.Duration) {
	for len(jt.order) > 0 {
		jo := jt.byKey[jt.order[0]]
		if jt.size <= maxJointBytes && now-jo.endedAt < jointKeep {
			return
		}
		delete(jt.byKey, jt.order[0])
		jt.size -= jo.size
		jt.order = jt.order[1:]
	}
}

// jointRun runs the request of a joint to its end, whoever follows it.
type jointRun struct {
	engine  *Engine
	request *run
	joint   *joint
}

func (jr jointRun) run() {
	en := jr.engine
	defer en.active.leave()
	ctx, cancel := context.WithTimeout(context.Background(), jr.request.class.Timeout.Std())
	defer cancel()
	err := en.finish(jr.request, en.serveRepeatable(ctx, jr.request, jr.joint))
	jr.joint.end(en.config.Clock(), err)
	en.joints.leave(jr.request.key, jr.joint)
}

// serveJoined answers a keyed idempotent request; a retry follows the run that its key already has here.
func (en *Engine) serveJoined(ctx context.Context, ru *run, si Sink) error {
	jo, first := en.joints.enter(en.config.Clock(), ru.key, ru.request.ContentHash)
	if jo.hash != ru.request.ContentHash {
		return fault.New(fault.KeyMismatch, fault.NotRun, "the idempotency key belongs to a request with other content")
	}
	if first {
		en.active.enter()
		own := *ru
		jr := jointRun{engine: en, request: &own, joint: jo}
		go jr.run()
	}
	ru.followed = first
	return jo.follow(ctx, si)
}
