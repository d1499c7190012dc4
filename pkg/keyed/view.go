package keyed

import (
	"context"
	"errors"
	"time"
)

// Listener receives the records that a view reads or appends, in order.
type Listener interface {
	// Reset is called with the complete content of the topic, which replaces all records received before.
	Reset(sn Snapshot)
	// Apply is called with the records that follow those received before.
	Apply(list []Record)
}

// View follows a topic and passes its records to a listener; it is not safe for concurrent use.
type View struct {
	topic    Topic
	listener Listener
	// next is the offset after the last record passed to the listener.
	next int64
	// loaded is true once a snapshot was read.
	loaded bool
	// era is the era of the store at the last page that stated it.
	era Era
	// repeated is Page.Repeated of the last page.
	repeated bool
}

// NewView returns a view that has not read any records yet.
func NewView(topic Topic, listener Listener) *View {
	return &View{topic: topic, listener: listener}
}

// Next returns the offset after the last record read or appended, at which Append expects the topic to end.
func (vi *View) Next() int64 { return vi.next }

// Era returns the era of the store at the last page that stated it.
func (vi *View) Era() Era { return vi.era }

// Repeated reports whether the last page was that of a repeated read: the store could not be reached for a time.
func (vi *View) Repeated() bool { return vi.repeated }

// Loaded reports whether a snapshot of the topic was read at least once.
func (vi *View) Loaded() bool { return vi.loaded }

// Poll reads new records. If there are none, it waits for one, at most maxWait. The first call, a call that gets ErrTrimmed, and
// one that finds the store in another era read a snapshot instead.
func (vi *View) Poll(ctx context.Context, maxWait time.Duration) error {
	if !vi.loaded {
		return vi.reload(ctx)
	}
	pg, err := vi.topic.Read(ctx, vi.next, maxWait)
	if errors.Is(err, ErrTrimmed) {
		return vi.reload(ctx)
	}
	if err != nil {
		return err
	}
	if pg.Era.Differs(vi.era) {
		return vi.reload(ctx)
	}
	vi.recordEra(pg.Era)
	vi.next, vi.repeated = pg.Next, pg.Repeated
	if len(pg.Records) > 0 {
		vi.listener.Apply(pg.Records)
	}
	return nil
}

// Append appends records directly after the last record read or appended. After any error, Poll must succeed before the next append.
func (vi *View) Append(ctx context.Context, list []Record) error {
	end, err := vi.topic.Append(ctx, vi.next, list)
	if err != nil {
		return err
	}
	if end.Era.Differs(vi.era) {
		return ErrRestored
	}
	vi.recordEra(end.Era)
	vi.next = end.Offset
	vi.listener.Apply(list)
	return nil
}

// reload reads a snapshot and passes it to the listener.
func (vi *View) reload(ctx context.Context) error {
	pg, err := vi.topic.Newest(ctx)
	if err != nil {
		return err
	}
	restored := pg.Era.Differs(vi.era)
	vi.recordEra(pg.Era)
	vi.next, vi.repeated = pg.Next, pg.Repeated
	vi.loaded = true
	vi.listener.Reset(Snapshot{Records: pg.Records, Era: vi.era, Restored: restored})
	return nil
}

func (vi *View) recordEra(er Era) {
	if er != 0 {
		vi.era = er
	}
}
