package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// The errors of a topic. After any other error it is unknown whether an append took effect.
var (
	// ErrConflict means that nothing was appended, because the topic did not end at the offset given to Append.
	ErrConflict = eris.New("the topic ends at another offset")
	// ErrTrimmed means that the requested records are no longer retained.
	ErrTrimmed = eris.New("the records from this offset on are no longer retained")
	// ErrRefused means that the store rejected the call without executing it.
	ErrRefused = eris.New("the store refused the call")
)

// Record sets the value of a key; a record without a value deletes the key.
type Record struct {
	// Key identifies the record in the topic; a newer record replaces the one with the same key.
	Key string
	// Value is the value of the key, or empty if the record deletes the key.
	Value []byte
}

// Page is the result of reading a topic.
type Page struct {
	// Records are the records read, in the order of the topic.
	Records []Record
	// Next is the offset at which to continue reading.
	Next int64
}

// Topic is one append-only topic of the store; the platform's client implements it.
type Topic interface {
	// Newest returns a snapshot: the newest record of each key, and the offset at which to continue reading.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from the given offset on. If there are none yet, it waits for one, at most maxWait.
	Read(ctx context.Context, offset int64, maxWait time.Duration) (Page, error)
	// Append appends all records if the topic ends at the offset expectedEnd, otherwise none. It returns the new end offset.
	Append(ctx context.Context, expectedEnd int64, list []Record) (int64, error)
}
