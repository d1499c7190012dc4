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
	// ErrRestored means that the records were appended in another era of the store than the one in which the topic was read, so that the
	// condition on its end said nothing.
	ErrRestored = eris.New("the store has come back from an older copy since the topic was read")
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
	// Era is the era of the store that returned the page.
	Era Era
	// Repeated is set if the first read got no answer in time, and the page is that of a repeated one.
	Repeated bool
}

// Era tells apart the times between which the store has come back from an older copy of its content. Offsets of different eras can't be compared,
// since the store gives out again those that it has lost. Zero means that the store, or the peer that relayed the call, did not state the era.
type Era int64

// NewEra returns the era that the store numbers so; it counts from zero or a higher number.
func NewEra(number int64) Era { return Era(number + 1) }

// Number returns the number that the store gives the era, and -1 if it is not known.
func (er Era) Number() int64 { return int64(er) - 1 }

// Differs reports whether both eras are known and not the same.
func (er Era) Differs(other Era) bool { return er != 0 && other != 0 && er != other }

// End is the end of a topic after an append.
type End struct {
	// Offset is the offset after the last record appended.
	Offset int64
	// Era is the era of the store in which the records were appended.
	Era Era
}

// Snapshot is the complete content of a topic.
type Snapshot struct {
	// Records are the newest records of all keys.
	Records []Record
	// Era is the era of the store.
	Era Era
	// Restored reports whether the era has changed since the previous page of the view. Records that were read or appended before may then be
	// missing from the snapshot, or older ones may have taken their place.
	Restored bool
}

// Topic is one append-only topic of the store; the platform's client implements it.
type Topic interface {
	// Newest returns a snapshot: the newest record of each key, and the offset at which to continue reading.
	Newest(ctx context.Context) (Page, error)
	// Read returns the records from the given offset on. If there are none yet, it waits for one, at most maxWait.
	Read(ctx context.Context, offset int64, maxWait time.Duration) (Page, error)
	// Append appends all records if the topic ends at the offset expectedEnd, otherwise none. It returns the new end.
	Append(ctx context.Context, expectedEnd int64, list []Record) (End, error)
}

// Log is one partition of a topic whose records have no keys. The store drops them after a time.
type Log interface {
	// Append appends a record after all others. After an error it is unknown whether it was appended.
	Append(ctx context.Context, data []byte) error
	// Read returns the records that are retained from the given offset on, and the offset at which to continue. It does not wait for records.
	Read(ctx context.Context, from int64) (list [][]byte, next int64, err error)
}
