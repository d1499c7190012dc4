package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/origin"
)

const (
	// originParts is the number of partitions of the log of origins. An instance appends to one of them.
	originParts = 4
	// minLogInterval is the minimum time between two appends of an instance to the log of origins. Streams that began since the last one are not
	// known after a loss of all instances.
	minLogInterval = 100 * time.Millisecond
	// logAppendsPerSecond bounds the appends of all instances to the log of origins.
	logAppendsPerSecond = 400
	// maxUnlogged bounds the origins that wait to be appended while the store is away; the oldest ones are dropped.
	maxUnlogged = 1 << 14
)

// originLog writes the origins of streams to a log in the store, and reads those that other instances have written.
type originLog struct {
	edge   *Edge
	parts  []keyed.Log
	own    keyed.Log
	learn  func(list []origin.Origin)
	outage outageLog
	mu     sync.Mutex
	// unlogged are the origins to append.
	unlogged []origin.Origin
	wake     chan struct{}
	// reading is held while the log is read. readAt is the start of the last read, and next the offset in each partition at which to continue.
	reading sync.Mutex
	readAt  time.Duration
	next    [originParts]int64
}

func newOriginLog(ed *Edge, learn func(list []origin.Origin)) *originLog {
	ol := &originLog{edge: ed, learn: learn, wake: make(chan struct{}, 1), outage: outageLog{name: "log of origins", logger: ed.config.Logger}}
	for part := range originParts {
		ol.parts = append(ol.parts, ed.config.Platform.Log(ed.config.Platform.Origins, part))
	}
	ol.own = ol.parts[xxhash.Sum64String(ed.config.Settings.Name)%originParts]
	return ol
}

// add queues origins for the next append.
func (ol *originLog) add(list []origin.Origin) {
	ol.mu.Lock()
	ol.unlogged = append(ol.unlogged, list...)
	ol.unlogged = ol.unlogged[max(0, len(ol.unlogged)-maxUnlogged):]
	ol.mu.Unlock()
	select {
	case ol.wake <- struct{}{}:
	default:
	}
}

// run appends queued origins until the context ends.
func (ol *originLog) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ol.wake:
		}
		ol.flush(ctx)
		pause(ctx, ol.interval())
	}
}

// interval returns the time between two appends, which grows with the fleet so that the store is not overloaded.
func (ol *originLog) interval() time.Duration {
	return max(minLogInterval, time.Duration(len(ol.edge.mesh.Members()))*time.Second/logAppendsPerSecond)
}

// flush appends all queued origins.
func (ol *originLog) flush(ctx context.Context) {
	ol.mu.Lock()
	list := ol.unlogged
	ol.unlogged = nil
	ol.mu.Unlock()
	data, err := origin.EncodeBatch(list)
	if err == nil {
		err = ol.own.Append(ctx, data)
	}
	now := ol.edge.config.Clock()
	if err != nil {
		// They were perhaps appended, which does no harm: an origin never changes.
		ol.outage.recordFailure(now, err)
		ol.add(list)
		pause(ctx, retryPause)
		return
	}
	ol.outage.recordSuccess(now)
	ol.edge.metrics.Counter("weir_stream_origins_logged_total").Add(len(list))
}

// refresh reads what was appended before the call.
func (ol *originLog) refresh(ctx context.Context) {
	called := ol.edge.config.Clock()
	ol.reading.Lock()
	defer ol.reading.Unlock()
	if ol.readAt > called {
		return
	}
	started := ol.edge.config.Clock()
	for part, lo := range ol.parts {
		records, next, err := lo.Read(ctx, ol.next[part])
		for _, data := range records {
			list, err := origin.DecodeBatch(data)
			if err != nil {
				ol.edge.config.Logger.Info("batch of origins rejected", "part", part, "reason", err.Error())
				continue
			}
			ol.learn(list)
		}
		ol.next[part] = next
		if err != nil {
			ol.edge.config.Logger.Info("log of origins not read", "part", part, "reason", err.Error())
			return
		}
	}
	ol.readAt = started
}
