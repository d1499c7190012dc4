package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// The ways in which a topic fails; every other error leaves open whether an append was executed.
var (
	// ErrConflict reports that the topic no longer ended at the offset that an append named; nothing was appended.
	ErrConflict = eris.New("the topic ends at another offset")
	// ErrTrimmed reports that the records asked for are no longer retained.
	ErrTrimmed = eris.New("the records from this offset on are no longer retained")
	// ErrRefused reports that the store declined the call and did nothing.
	ErrRefused = eris.New("the store refused the call")
)

// Record is the newest fact about a key; a record without a value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Page is a run of records; Next is the offset from which to read on.
type Page struct {
	Records []Record
	Next    int64
}

// Topic is one partition of the store; the platform's client implements it.
type Topic interface {
	// Newest returns the newest record of each key, and the offset from which to follow.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from an offset on, waiting for the first one up to the given time.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Append adds all records if the topic ends at the given offset, and returns its new end.
	Append(ctx context.Context, at int64, list []Record) (int64, error)
}
