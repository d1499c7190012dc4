package oplog

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	pageBytes     = 1 << 20
	readWait      = time.Second
	readTimeout   = 3 * time.Second
	directRetry   = time.Second
	relayInterval = 100 * time.Millisecond
	// maxCorruptReads bounds how often a damaged entry is read again before the reader stops.
	maxCorruptReads = 5
)

// Connectivity says how the log was last reached.
type Connectivity uint8

// The ways to reach the log.
const (
	// Detached means that neither the log nor a peer that reaches it answers.
	Detached Connectivity = iota
	// Relayed means that a peer passes entries on.
	Relayed
	// Direct means that the log answers.
	Direct
)

// String returns the contact as shown to operators.
func (co Connectivity) String() string {
	return [...]string{"detached", "relayed", "direct"}[co]
}

// ReaderConfig holds the parts of a reader.
type ReaderConfig struct {
	Log     Log
	Relay   Relay
	Replica *Replica
	Clock   Clock
	Pause   Pause
	Logger  logr.Logger
}

// Reader keeps a replica up to date with the log.
type Reader struct {
	config   ReaderConfig
	contact  atomic.Int32
	failedAt time.Duration
	corrupt  int
	reached  atomic.Int64
}

// NewReader returns a reader; Run starts it.
func NewReader(config ReaderConfig) *Reader {
	if config.Pause == nil {
		config.Pause = sleep
	}
	return &Reader{config: config}
}

// Connectivity returns how the log was last reached.
func (rd *Reader) Connectivity() Connectivity { return Connectivity(rd.contact.Load()) }

// LogEnd returns the offset after the newest entry that the reader knows of.
func (rd *Reader) LogEnd() int64 { return rd.reached.Load() }

// Run reads until the context ends; it fails only where the fold must stop.
func (rd *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := rd.Step(ctx, readWait); err != nil {
			return err
		}
	}
	return nil
}

// Step reads and folds one page.
func (rd *Reader) Step(ctx context.Context, wait time.Duration) error {
	pg, err := rd.read(ctx, wait)
	if err != nil {
		rd.contact.Store(int32(Detached))
		rd.config.Pause(ctx, relayInterval)
		return nil
	}
	rd.reached.Store(pg.Next)
	if pg.First > rd.config.Replica.Offset()+1 {
		rd.config.Logger.Info("log gap", "event", "logGap", "have", rd.config.Replica.Offset(), "first", pg.First)
		rd.recover(ctx)
		return nil
	}
	return rd.fold(ctx, pg)
}

func (rd *Reader) fold(ctx context.Context, pg Page) error {
	err := rd.config.Replica.Apply(pg)
	switch {
	case err == nil, errors.Is(err, ErrGap):
		rd.corrupt = 0
		return nil
	case errors.Is(err, record.ErrCorrupt) && rd.corrupt < maxCorruptReads:
		rd.corrupt++
		rd.config.Pause(ctx, relayInterval)
		return nil
	default:
		return err
	}
}

func (rd *Reader) read(ctx context.Context, wait time.Duration) (Page, error) {
	from := rd.config.Replica.Offset() + 1
	now := rd.config.Clock()
	if rd.failedAt == 0 || now-rd.failedAt >= directRetry {
		pg, err := rd.readDirect(ctx, from, wait)
		if err == nil {
			rd.contact.Store(int32(Direct))
			rd.failedAt = 0
			return pg, nil
		}
		rd.failedAt = max(1, rd.config.Clock())
	}
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	pg, err := rd.config.Relay.Read(rctx, from)
	if err != nil {
		return Page{}, eris.Wrap(err, "read through a peer")
	}
	rd.contact.Store(int32(Relayed))
	if len(pg.Entries) == 0 {
		rd.config.Pause(ctx, relayInterval)
	}
	return pg, nil
}

func (rd *Reader) readDirect(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return rd.config.Log.Read(rctx, ReadRequest{Stream: MainStream, From: from, MaxBytes: pageBytes, Wait: wait})
}

// recover replaces the state from the newest checkpoint, or from a peer.
func (rd *Reader) recover(ctx context.Context) {
	st, err := LoadCheckpoint(ctx, rd.config.Log)
	if err != nil || st.Offset() <= rd.config.Replica.Offset() {
		st, err = rd.peerState(ctx)
	}
	if err != nil {
		rd.config.Logger.Error(err, "no checkpoint", "event", "checkpointMissing")
		rd.config.Pause(ctx, directRetry)
		return
	}
	rd.config.Replica.ReplaceState(st)
}

func (rd *Reader) peerState(ctx context.Context) (*ledger.State, error) {
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, err := rd.config.Relay.State(rctx)
	if err != nil {
		return nil, err
	}
	return ledger.Decode(data)
}

// CatchUp reads until everything that the log held at the call is folded; it fails with ErrUnreachable after the context ends.
func (rd *Reader) CatchUp(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := rd.Step(ctx, 0); err != nil {
			return err
		}
		if rd.Connectivity() != Detached && rd.config.Replica.Offset()+1 >= rd.LogEnd() {
			return nil
		}
	}
	return ErrUnreachable
}

// sleep waits for the delay or the end of the context.
func sleep(ctx context.Context, delay time.Duration) {
	ti := time.NewTimer(delay)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}
