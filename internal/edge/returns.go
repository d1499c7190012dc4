package edge

import (
	"context"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/internal/mesh"
)

const (
	// returnsInterval is the minimum time between two notices of refused callers. The first of them come back after four times as long.
	returnsInterval = 50 * time.Millisecond
	// maxReturnsPerNotice bounds the callers in one notice, so that it fits into an unfragmented datagram: each takes up to 17 bytes.
	maxReturnsPerNotice = 80
	// maxPendingReturns bounds the callers that wait for the next notice.
	maxPendingReturns = 1024
)

// returns notifies the other instances of refused callers that will come back, since a retry reaches another instance.
type returns struct {
	edge *Edge
	mu   sync.Mutex
	// pending are the callers of the next notice.
	pending []pendingReturn
	// wake holds a value while there are pending callers.
	wake chan struct{}
}

// pendingReturn is a refused caller and the time at which it comes back.
type pendingReturn struct {
	content uint64
	due     time.Duration
}

func newReturns(ed *Edge) *returns { return &returns{edge: ed, wake: make(chan struct{}, 1)} }

// NotifyReturn notifies the peers that a refused caller was told to come back with its request after the given delay.
func (ed *Edge) NotifyReturn(content uint64, delay time.Duration) {
	if !ed.returns.add(content, ed.config.Clock()+delay) {
		ed.metrics.Counter("weir_notices_dropped_total").Inc()
	}
}

func (re *returns) add(content uint64, due time.Duration) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	if len(re.pending) >= maxPendingReturns {
		return false
	}
	re.pending = append(re.pending, pendingReturn{content, due})
	select {
	case re.wake <- struct{}{}:
	default:
	}
	return true
}

// run sends the notices until the context ends.
func (re *returns) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-re.wake:
		}
		pause(ctx, returnsInterval)
		for _, nt := range re.take(re.edge.config.Clock()) {
			if !re.edge.notifier.Send(nt) {
				re.edge.metrics.Counter("weir_notices_dropped_total").Inc()
			}
		}
	}
}

// take returns the notices of the pending callers.
func (re *returns) take(now time.Duration) []mesh.Notice {
	re.mu.Lock()
	list := re.pending
	re.pending = nil
	re.mu.Unlock()
	var notices []mesh.Notice
	for len(list) > 0 {
		count := min(len(list), maxReturnsPerNotice)
		nt := mesh.Notice{Returns: make([]mesh.ReturnNotice, 0, count)}
		for _, pe := range list[:count] {
			nt.Returns = append(nt.Returns, mesh.ReturnNotice{Content: pe.content, DelayMs: max(0, (pe.due - now).Milliseconds())})
		}
		notices = append(notices, nt)
		list = list[count:]
	}
	return notices
}

// applyNotice records the callers in a notice of a peer.
func (re *returns) applyNotice(list []mesh.ReturnNotice) {
	now := re.edge.config.Clock()
	for _, nt := range list {
		re.edge.turns.Expect(now, nt.Content, time.Duration(nt.DelayMs)*time.Millisecond)
	}
}
