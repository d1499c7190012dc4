package oplog

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	appendTimeout = 2 * time.Second
	appendBackoff = 100 * time.Millisecond
	// maxInFlight is the maximum number of batches in flight.
	maxInFlight = 8
	// queueSize is the number of submitted records that can wait for a batch, and maxQueuedPerBatch the number that one batch
	// takes from the queue at most.
	queueSize         = 4096
	maxQueuedPerBatch = 2048
	// appendBurst is the size of the token bucket that limits the rate of batches. One token is added every MinInterval.
	appendBurst = 8
	// resendAfter is the time after which a batch that the log acknowledged, but that was not read back, is sent again.
	resendAfter = 5 * time.Second
)

// Source supplies the records of each batch when the batch is built.
type Source interface {
	// Build returns records for the batch with the given sequence number; now is the time since the process started.
	Build(now time.Duration, sequence int64) []record.Record
}

// Pause waits until a delay has passed or a context ends; tests replace it by virtual time.
type Pause func(ctx context.Context, delay time.Duration)

// Clock returns the monotonic time since the process started.
type Clock func() time.Duration

// WriterConfig holds the dependencies and the timing of a Writer.
type WriterConfig struct {
	Log Log
	// Relay is used while calls to Log fail.
	Relay Relay
	// Replica is the state that this process built from the log. The last offset that it has applied becomes the anchor of
	// the next batch; see record.Batch.
	Replica *Replica
	// Incarnation is the number of the incarnation that appends the batches.
	Incarnation int64
	// Source supplies the records of each batch.
	Source Source
	Clock  Clock
	// Pause waits before an append is retried and while the rate limit allows no batch; it defaults to a sleep in real time.
	Pause  Pause
	Logger logr.Logger
	// FlushInterval is the time after which the writer looks for records although neither Submit nor Wake requested a batch.
	FlushInterval time.Duration
	// MinInterval is the minimum average time between batches; up to appendBurst batches may be appended faster.
	MinInterval time.Duration
	// Heartbeat is the time without a batch after which an empty batch is appended.
	Heartbeat time.Duration
}

// OwnAppend is an append call of this incarnation: Offset is the log offset of the entry, Start the time when the call began.
type OwnAppend struct {
	Offset int64
	Start  time.Duration
}

// inFlightBatch is a batch that was built but not yet read back from the log.
type inFlightBatch struct {
	sequence int64
	data     []byte
	offset   int64
	// acked is set when the log acknowledged the append; the batch stays in flight until it is read back.
	acked  bool
	sentAt time.Duration
}

// Writer appends the batches of one incarnation in order. It sends a batch again if the log did not acknowledge it or if
// it was not read back from the log in time.
//
// A batch that reaches the log twice takes effect once, because the state machine rejects a used sequence number.
type Writer struct {
	config       WriterConfig
	queue        chan record.Record
	wake         chan struct{}
	mu           sync.Mutex
	inFlight     []*inFlightBatch
	nextSequence int64
	history      appendHistory
	appendTokens float64
	lastRefill   time.Duration
	lastBatch    time.Duration
	appends      int64
	// directFailedAt is the time of the last failed call to the log, or zero if the latest direct append succeeded.
	directFailedAt time.Duration
}

// NewWriter returns a writer for an incarnation that has joined and appended no batch yet.
func NewWriter(config WriterConfig) *Writer {
	if config.Pause == nil {
		config.Pause = sleep
	}
	return &Writer{
		config:       config,
		queue:        make(chan record.Record, queueSize),
		wake:         make(chan struct{}, 1),
		nextSequence: 1,
		appendTokens: appendBurst,
		lastRefill:   config.Clock(),
	}
}

// Submit queues a record and requests a batch for it; it blocks while the queue is full.
func (wr *Writer) Submit(ctx context.Context, re record.Record) error {
	select {
	case wr.queue <- re:
		wr.Wake()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wake requests a batch as soon as the rate limit allows one.
func (wr *Writer) Wake() {
	select {
	case wr.wake <- struct{}{}:
	default:
	}
}

// Accepted is called when the batches up to a sequence number were read back from the log; they are no longer in flight.
func (wr *Writer) Accepted(sequence int64) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	for len(wr.inFlight) > 0 && wr.inFlight[0].sequence <= sequence {
		wr.inFlight = wr.inFlight[1:]
	}
}

// Pending reports whether records are queued or batches are in flight.
func (wr *Writer) Pending() bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return len(wr.queue) > 0 || len(wr.inFlight) > 0
}

// Appends returns the number of append calls for batches, including failed ones.
func (wr *Writer) Appends() int64 {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.appends
}

// AppendStart returns the time at which this incarnation began an append: the last one whose entry is at or before the given
// offset. It returns false if there is none.
func (wr *Writer) AppendStart(offset int64) (time.Duration, bool) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.history.startOf(offset)
}

// RecordJoin adds the append that opened the incarnation to the append history.
func (wr *Writer) RecordJoin(oa OwnAppend) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.history.add(oa)
}

// Run appends batches until the context ends.
func (wr *Writer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wr.awaitDue(ctx)
		if ctx.Err() != nil {
			break
		}
		wr.Step(ctx)
	}
	return nil
}

// Step sends batches again where needed. It then appends a new batch if one is due and fewer than maxInFlight are in flight.
func (wr *Writer) Step(ctx context.Context) {
	if !wr.resend(ctx) {
		wr.config.Pause(ctx, appendBackoff)
		return
	}
	ib, err := wr.build()
	if err != nil {
		wr.config.Logger.Error(err, "could not encode a batch", "event", "batchError")
		return
	}
	if ib != nil {
		wr.send(ctx, ib)
	}
}

// awaitDue blocks until a batch is requested or FlushInterval has passed, and the rate limit allows one.
func (wr *Writer) awaitDue(ctx context.Context) {
	ti := time.NewTimer(wr.config.FlushInterval)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return
	case <-ti.C:
	case <-wr.wake:
	}
	for wr.rateDelay() > 0 && ctx.Err() == nil {
		wr.config.Pause(ctx, wr.rateDelay())
	}
}

// rateDelay refills the tokens of the rate limit and returns the time until one is available, or zero.
func (wr *Writer) rateDelay() time.Duration {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	now := wr.config.Clock()
	wr.appendTokens = min(appendBurst, wr.appendTokens+(now-wr.lastRefill).Seconds()/wr.config.MinInterval.Seconds())
	wr.lastRefill = now
	if wr.appendTokens < 1 {
		return max(time.Millisecond, time.Duration((1-wr.appendTokens)*float64(wr.config.MinInterval)))
	}
	return 0
}

// build returns the next batch. It returns nil if maxInFlight batches are in flight, or if there are no records and no
// heartbeat is due.
func (wr *Writer) build() (*inFlightBatch, error) {
	wr.mu.Lock()
	full := len(wr.inFlight) >= maxInFlight
	wr.mu.Unlock()
	if full {
		return nil, nil
	}
	anchor := wr.config.Replica.Offset()
	now := wr.config.Clock()
	// Submitted records go last, because they may contain a leave. A leave closes the incarnation, so settlements and outcomes
	// after it would be lost.
	records := append(wr.config.Source.Build(now, wr.nextSequence), wr.drainQueue()...)
	if len(records) == 0 && now-wr.lastBatch < wr.config.Heartbeat {
		return nil, nil
	}
	ba := record.Batch{Incarnation: wr.config.Incarnation, Sequence: wr.nextSequence, Anchor: anchor, Records: records}
	data, err := record.EncodeEntry(record.Entry{Batch: &ba})
	if err != nil {
		return nil, err
	}
	ib := &inFlightBatch{sequence: wr.nextSequence, data: data}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.inFlight = append(wr.inFlight, ib)
	wr.nextSequence++
	wr.lastBatch = now
	wr.appendTokens--
	return ib, nil
}

func (wr *Writer) drainQueue() []record.Record {
	var list []record.Record
	for len(list) < maxQueuedPerBatch {
		select {
		case re := <-wr.queue:
			list = append(list, re)
		default:
			return list
		}
	}
	return list
}

// resend sends the batches returned by nextToSend, in order; it reports whether the log acknowledged all of them.
func (wr *Writer) resend(ctx context.Context) bool {
	for {
		ib := wr.nextToSend()
		if ib == nil {
			return true
		}
		if !wr.send(ctx, ib) {
			return false
		}
	}
}

// nextToSend returns the first batch to send again, or nil. A batch is sent again if it was not acknowledged, or if it is
// still in flight although the replica has applied its offset and resendAfter has passed.
func (wr *Writer) nextToSend() *inFlightBatch {
	// The replica calls Accepted while it is locked, so it must not be called with the writer locked.
	applied := wr.config.Replica.Offset()
	wr.mu.Lock()
	defer wr.mu.Unlock()
	now := wr.config.Clock()
	for _, ib := range wr.inFlight {
		if !ib.acked {
			return ib
		}
		if now-ib.sentAt > resendAfter && applied >= ib.offset {
			return ib
		}
	}
	return nil
}

func (wr *Writer) send(ctx context.Context, ib *inFlightBatch) bool {
	start := wr.config.Clock()
	offset, err := wr.append(ctx, ib.data)
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.appends++
	if err != nil {
		return false
	}
	ib.acked = true
	ib.offset = offset
	ib.sentAt = start
	wr.history.add(OwnAppend{Offset: offset, Start: start})
	return true
}

// append appends to the log or, if that fails, through a peer. After a failure of the log, it tries only peers for
// directRetryInterval.
func (wr *Writer) append(ctx context.Context, data []byte) (int64, error) {
	now := wr.config.Clock()
	if wr.directFailedAt > 0 && now-wr.directFailedAt < directRetryInterval {
		return appendRelayed(ctx, wr.config.Relay, data)
	}
	offset, err := appendDirect(ctx, wr.config.Log, data)
	if err == nil {
		wr.directFailedAt = 0
		return offset, nil
	}
	wr.directFailedAt = max(1, wr.config.Clock())
	return appendRelayed(ctx, wr.config.Relay, data)
}

// AppendWithRelay appends to the main stream directly, or through a peer if that fails.
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
