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
	// pageBytes is the ReadRequest.MaxBytes of each read.
	pageBytes = 1 << 20
	// longPollWait is the maximum time for which a read waits for a new entry.
	longPollWait = time.Second
	readTimeout  = 3 * time.Second
	// directRetryInterval is the time for which only peers are tried after a call to the log failed.
	directRetryInterval = time.Second
	// relayPollInterval is the pause after a read that failed or returned nothing new from a peer.
	relayPollInterval = 100 * time.Millisecond
	// maxCorruptReads is the number of times that a damaged entry is read again before the reader fails.
	maxCorruptReads = 5
)

// Connectivity says whether the last read of the log succeeded directly, through a peer, or not at all.
type Connectivity uint8

// The values of Connectivity.
const (
	// Detached means that the log is unreachable, both directly and through peers.
	Detached Connectivity = iota
	// Relayed means that the log is reached through a peer.
	Relayed
	// Direct means that the log is reached directly.
	Direct
)

// String returns the connectivity as shown to operators.
func (co Connectivity) String() string {
	return [...]string{"detached", "relayed", "direct"}[co]
}

// ReaderConfig holds the dependencies of a Reader.
type ReaderConfig struct {
	Log Log
	// Relay is used while calls to Log fail.
	Relay Relay
	// Replica is the replica to which the reader applies entries.
	Replica *Replica
	Clock   Clock
	// Pause waits before a read is retried; it defaults to a sleep in real time.
	Pause  Pause
	Logger logr.Logger
}

// Reader keeps a replica up to date with the log.
type Reader struct {
	config       ReaderConfig
	connectivity atomic.Int32
	// directFailedAt is the time of the last failed read from the log, or zero if the latest direct read succeeded.
	directFailedAt time.Duration
	// corruptReads counts the consecutive reads that ended at a damaged entry.
	corruptReads int
	logEnd       atomic.Int64
}

// NewReader returns a reader; Run or CatchUp makes it read.
func NewReader(config ReaderConfig) *Reader {
	if config.Pause == nil {
		config.Pause = sleep
	}
	return &Reader{config: config}
}

// Connectivity returns how the last read reached the log; it is Detached before the first read.
func (rd *Reader) Connectivity() Connectivity { return Connectivity(rd.connectivity.Load()) }

// LogEnd returns the offset after the newest entry that the reader knows of.
func (rd *Reader) LogEnd() int64 { return rd.logEnd.Load() }

// Run reads and applies entries until the context ends; it fails only on an entry that cannot be applied.
func (rd *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := rd.Step(ctx, longPollWait); err != nil {
			return err
		}
	}
	return nil
}

// Step reads and applies one page. If the log has no new entry, it waits for one, at most maxWait.
func (rd *Reader) Step(ctx context.Context, maxWait time.Duration) error {
	pg, err := rd.read(ctx, maxWait)
	if err != nil {
		rd.connectivity.Store(int32(Detached))
		rd.config.Pause(ctx, relayPollInterval)
		return nil
	}
	rd.logEnd.Store(pg.Next)
	if pg.First > rd.config.Replica.Offset()+1 {
		rd.config.Logger.Info("the log no longer retains the next entry; replacing the state by a checkpoint or by the state of a peer",
			"event", "logGap", "have", rd.config.Replica.Offset(), "first", pg.First)
		rd.replaceState(ctx)
		return nil
	}
	return rd.applyPage(ctx, pg)
}

func (rd *Reader) applyPage(ctx context.Context, pg Page) error {
	err := rd.config.Replica.Apply(pg)
	switch {
	case err == nil, errors.Is(err, ErrGap):
		rd.corruptReads = 0
		return nil
	case errors.Is(err, record.ErrCorrupt) && rd.corruptReads < maxCorruptReads:
		rd.corruptReads++
		rd.config.Pause(ctx, relayPollInterval)
		return nil
	default:
		return err
	}
}

// read returns a page from the log or, if the log fails, from a peer. After a failure of the log, it tries only peers for
// directRetryInterval.
func (rd *Reader) read(ctx context.Context, maxWait time.Duration) (Page, error) {
	from := rd.config.Replica.Offset() + 1
	now := rd.config.Clock()
	if rd.directFailedAt == 0 || now-rd.directFailedAt >= directRetryInterval {
		pg, err := rd.readDirect(ctx, from, maxWait)
		if err == nil {
			rd.connectivity.Store(int32(Direct))
			rd.directFailedAt = 0
			return pg, nil
		}
		rd.directFailedAt = max(1, rd.config.Clock())
	}
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	pg, err := rd.config.Relay.Read(rctx, from)
	if err != nil {
		return Page{}, eris.Wrap(err, "read the log through a peer")
	}
	rd.connectivity.Store(int32(Relayed))
	if len(pg.Entries) == 0 {
		rd.config.Pause(ctx, relayPollInterval)
	}
	return pg, nil
}

func (rd *Reader) readDirect(ctx context.Context, from int64, maxWait time.Duration) (Page, error) {
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return rd.config.Log.Read(rctx, ReadRequest{Stream: MainStream, From: from, MaxBytes: pageBytes, Wait: maxWait})
}

// replaceState replaces the state by the newest checkpoint. If there is no checkpoint newer than the current state, it uses the
// state of a peer instead.
func (rd *Reader) replaceState(ctx context.Context) {
	st, err := LoadCheckpoint(ctx, rd.config.Log)
	if err != nil || st.Offset() <= rd.config.Replica.Offset() {
		st, err = rd.fetchPeerState(ctx)
	}
	if err != nil {
		rd.config.Logger.Error(err, "no newer state from the checkpoint stream or a peer; retrying", "event", "checkpointMissing")
		rd.config.Pause(ctx, directRetryInterval)
		return
	}
	rd.config.Replica.ReplaceState(st)
}

func (rd *Reader) fetchPeerState(ctx context.Context) (*ledger.State, error) {
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, err := rd.config.Relay.State(rctx)
	if err != nil {
		return nil, err
	}
	return ledger.Decode(data)
}

// CatchUp reads until all entries before LogEnd are applied; it fails with ErrUnreachable if the context ends first.
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

// sleep waits until the delay has passed or the context ends.
func sleep(ctx context.Context, delay time.Duration) {
	ti := time.NewTimer(delay)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}
