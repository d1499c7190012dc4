package oplog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the streams of the log service.
const (
	// MainStream is the log of the fleet; its entries are the tickets, joins and batches of record.Entry.
	MainStream = "main"
	// CheckpointStream carries checkpoint chunks.
	CheckpointStream = "checkpoints"
)

// ErrUnreachable is returned if the log is unreachable, both directly and through peers.
var ErrUnreachable = eris.New("the log is unreachable, both directly and through peers")

// Log is the platform's append-only log service.
type Log interface {
	// Append adds an entry and returns its offset. If it returns an error, it is unknown whether the entry was added, and the
	// entry may still be added later.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns entries from an offset on; if there are none yet, it waits for one, at most ReadRequest.Wait.
	Read(ctx context.Context, rq ReadRequest) (Page, error)
}

// ReadRequest selects the entries to read.
type ReadRequest struct {
	// Stream is MainStream or CheckpointStream.
	Stream string
	// From is the offset of the first entry to read.
	From int64
	// MaxBytes limits the total size of the returned entries.
	MaxBytes int
	// Wait is the maximum time to wait if there is no entry at From yet.
	Wait time.Duration
}

// Page is a range of consecutive log entries.
type Page struct {
	// First is the offset of the oldest retained entry of the stream.
	First int64
	// Next is the offset after the newest entry of the stream.
	Next int64
	// From is the offset of Entries[0].
	From    int64
	Entries [][]byte
}

// Relay reads and appends to the log through other instances.
type Relay interface {
	// Read returns the entries of MainStream that a peer has applied, starting at the offset from.
	Read(ctx context.Context, from int64) (Page, error)
	// Append adds an entry through a peer and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// State returns the encoded ledger state of a peer.
	State(ctx context.Context) ([]byte, error)
}

// NoRelay is a Relay without peers.
type NoRelay struct{}

// Read fails with ErrUnreachable.
func (NoRelay) Read(context.Context, int64) (Page, error) { return Page{}, ErrUnreachable }

// Append fails with ErrUnreachable.
func (NoRelay) Append(context.Context, string, []byte) (int64, error) { return 0, ErrUnreachable }

// State fails with ErrUnreachable.
func (NoRelay) State(context.Context) ([]byte, error) { return nil, ErrUnreachable }
