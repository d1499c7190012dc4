package oplog

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	appendTimeout  = 2 * time.Second
	appendBackoff  = 100 * time.Millisecond
	maxWindow      = 8
	queueRecords   = 4096
	appendBurst    = 8
	resendAfter    = 5 * time.Second
	maxBatchRecord = 2048
)

// Source adds records to each batch when it is built.
type Source interface {
	// Build returns records for the batch of the given sequence; now is the time since the process started.
	Build(now time.Duration, sequence int64) []record.Record
}

// Pause waits for a delay or the end of a context; where a configuration has none, real time is waited for.
type Pause func(ctx context.Context, delay time.Duration)

// Clock returns the monotonic time since the process started.
type Clock func() time.Duration

// WriterConfig holds the parts and the timing of a writer.
type WriterConfig struct {
	Log         Log
	Relay       Relay
	Replica     *Replica
	Incarnation int64
	Source      Source
	Clock       Clock
	Pause       Pause
	Logger      logr.Logger
	// FlushInterval is the time between batches without an urgent record.
	FlushInterval time.Duration
	// MinInterval is the mean time between batches that urgent records may reach.
	MinInterval time.Duration
	// Heartbeat is the time after which an empty batch is appended.
	Heartbeat time.Duration
}

// OwnAppend describes one of the writer's own appends: it began at Start and received Offset.
type OwnAppend struct {
	Offset int64
	Start  time.Duration
}

type flight struct {
	sequence int64
	data     []byte
	offset   int64
	acked    bool
	sentAt   time.Duration
}

// Writer appends the batches of one incarnation in order, each until it is read back.
type Writer struct {
	config  WriterConfig
	queue   chan record.Record
	urgent  chan struct{}
	mu      sync.Mutex
	flights []*flight
	next    int64
	sent    sentRing
	tokens  float64
	refill  time.Duration
	last    time.Duration
	appends int64
	// directFailed is when the log itself last failed; peers are asked first for a while after it.
	directFailed time.Duration
}

// NewWriter returns a writer whose incarnation was just opened.
func NewWriter(config WriterConfig) *Writer {
	if config.Pause == nil {
		config.Pause = sleep
	}
	return &Writer{
		config: config,
		queue:  make(chan record.Record, queueRecords),
		urgent: make(chan struct{}, 1),
		next:   1,
		tokens: appendBurst,
		refill: config.Clock(),
	}
}

// Submit queues a record for the next batch and asks for that batch soon; it blocks while the queue is full.
func (wr *Writer) Submit(ctx context.Context, re record.Record) error {
	select {
	case wr.queue <- re:
		wr.Wake()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wake asks for a batch as soon as the append rate allows one.
func (wr *Writer) Wake() {
	select {
	case wr.urgent <- struct{}{}:
	default:
	}
}

// Accepted drops the batches up to a sequence, which were read back.
func (wr *Writer) Accepted(sequence int64) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	for len(wr.flights) > 0 && wr.flights[0].sequence <= sequence {
		wr.flights = wr.flights[1:]
	}
}

// Pending reports whether records or batches wait to be read back.
func (wr *Writer) Pending() bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return len(wr.queue) > 0 || len(wr.flights) > 0
}

// Appends returns how many append calls were made.
func (wr *Writer) Appends() int64 {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.appends
}

// AppendStart returns when the latest own append at or before an offset began.
func (wr *Writer) AppendStart(offset int64) (time.Duration, bool) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.sent.startOf(offset)
}

// RecordJoin records the append of the writer's own join.
func (wr *Writer) RecordJoin(se OwnAppend) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.sent.add(se)
}

// Run appends batches until the context ends.
func (wr *Writer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wr.await(ctx)
		if ctx.Err() != nil {
			break
		}
		wr.Step(ctx)
	}
	return nil
}

// Step resends what was not acknowledged and then appends one batch if the window has room.
func (wr *Writer) Step(ctx context.Context) {
	if !wr.resend(ctx) {
		wr.config.Pause(ctx, appendBackoff)
		return
	}
	fl, err := wr.build()
	if err != nil {
		wr.config.Logger.Error(err, "batch not encoded", "event", "batchError")
		return
	}
	if fl != nil {
		wr.send(ctx, fl)
	}
}

// await blocks until a batch is due.
func (wr *Writer) await(ctx context.Context) {
	ti := time.NewTimer(wr.config.FlushInterval)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return
	case <-ti.C:
	case <-wr.urgent:
	}
	for wr.delay() > 0 && ctx.Err() == nil {
		wr.config.Pause(ctx, wr.delay())
	}
}

// delay takes a token of the append rate, or returns the time until there is one.
func (wr *Writer) delay() time.Duration {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	now := wr.config.Clock()
	wr.tokens = min(appendBurst, wr.tokens+(now-wr.refill).Seconds()/wr.config.MinInterval.Seconds())
	wr.refill = now
	if wr.tokens < 1 {
		return max(time.Millisecond, time.Duration((1-wr.tokens)*float64(wr.config.MinInterval)))
	}
	return 0
}

// build makes the next batch, or none if there is nothing to say.
func (wr *Writer) build() (*flight, error) {
	wr.mu.Lock()
	full := len(wr.flights) >= maxWindow
	wr.mu.Unlock()
	if full {
		return nil, nil
	}
	anchor := wr.config.Replica.Offset()
	now := wr.config.Clock()
	// What was submitted goes last, so that a leave follows every settlement and outcome of its batch.
	records := append(wr.config.Source.Build(now, wr.next), wr.drainQueue()...)
	if len(records) == 0 && now-wr.last < wr.config.Heartbeat {
		return nil, nil
	}
	ba := record.Batch{Incarnation: wr.config.Incarnation, Sequence: wr.next, Anchor: anchor, Records: records}
	data, err := record.EncodeEntry(record.Entry{Batch: &ba})
	if err != nil {
		return nil, err
	}
	fl := &flight{sequence: wr.next, data: data}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.flights = append(wr.flights, fl)
	wr.next++
	wr.last = now
	wr.tokens--
	return fl, nil
}

func (wr *Writer) drainQueue() []record.Record {
	var list []record.Record
	for len(list) < maxBatchRecord {
		select {
		case re := <-wr.queue:
			list = append(list, re)
		default:
			return list
		}
	}
	return list
}

// resend sends the batches without an acknowledgment in order; it reports whether none is left.
func (wr *Writer) resend(ctx context.Context) bool {
	for {
		fl := wr.unacked()
		if fl == nil {
			return true
		}
		if !wr.send(ctx, fl) {
			return false
		}
	}
}

func (wr *Writer) unacked() *flight {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	now := wr.config.Clock()
	for _, fl := range wr.flights {
		if !fl.acked {
			return fl
		}
		if now-fl.sentAt > resendAfter && wr.config.Replica.Offset() >= fl.offset {
			return fl
		}
	}
	return nil
}

func (wr *Writer) send(ctx context.Context, fl *flight) bool {
	start := wr.config.Clock()
	offset, err := wr.append(ctx, fl.data)
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.appends++
	if err != nil {
		return false
	}
	fl.acked = true
	fl.offset = offset
	fl.sentAt = start
	wr.sent.add(OwnAppend{Offset: offset, Start: start})
	return true
}

// append tries the log and then the peers, or only the peers shortly after the log failed.
func (wr *Writer) append(ctx context.Context, data []byte) (int64, error) {
	now := wr.config.Clock()
	if wr.directFailed > 0 && now-wr.directFailed < directRetry {
		return appendRelayed(ctx, wr.config.Relay, data)
	}
	offset, err := appendDirect(ctx, wr.config.Log, data)
	if err == nil {
		wr.directFailed = 0
		return offset, nil
	}
	wr.directFailed = max(1, wr.config.Clock())
	return appendRelayed(ctx, wr.config.Relay, data)
}

// AppendWithRelay appends to the main stream, directly or else through a peer.
func AppendWithRelay(ctx context.Context, lo Log, re Relay, data []byte) (int64, error) {
	offset, err := appendDirect(ctx, lo, data)
	if err == nil {
		return offset, nil
	}
	return appendRelayed(ctx, re, data)
}

func appendDirect(ctx context.Context, lo Log, data []byte) (int64, error) {
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return lo.Append(actx, MainStream, data)
}

func appendRelayed(ctx context.Context, re Relay, data []byte) (int64, error) {
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return re.Append(actx, MainStream, data)
}
