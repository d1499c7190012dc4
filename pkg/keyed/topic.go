package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// The errors of a topic; after any other error an append may or may not have taken effect.
var (
	// ErrConflict reports that nothing was appended, because the topic did not end at the expected offset.
	ErrConflict = eris.New("the topic ends at another offset")
	// ErrTrimmed reports that the requested records are no longer retained.
	ErrTrimmed = eris.New("the records from this offset on are no longer retained")
	// ErrRefused reports that the store rejected the call without executing it.
	ErrRefused = eris.New("the store refused the call")
)

// Record sets the value of a key; a record without a value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Page is a sequence of records; Next is the offset at which to continue reading.
type Page struct {
	Records []Record
	Next    int64
}

// Topic is one partition of the store; the client of the platform implements it.
type Topic interface {
	// Newest returns a snapshot: the newest record of each key, and the offset at which to continue reading.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on; it waits up to the given time for the first one.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Append adds all records, or none if the topic does not end at the given offset, and returns the new end of the topic.
	Append(ctx context.Context, at int64, list []Record) (int64, error)
}
