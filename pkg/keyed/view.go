package keyed

import (
	"context"
	"errors"
	"time"
)

// Listener is told what a view reads, in order.
type Listener interface {
	// Reset reports that the given records are all that the topic holds.
	Reset(list []Record)
	// Apply reports records that follow what was reported before.
	Apply(list []Record)
}

// View follows a topic; it is not safe for concurrent use.
type View struct {
	topic    Topic
	listener Listener
	next     int64
	loaded   bool
}

// NewView returns a view that has read nothing.
func NewView(topic Topic, listener Listener) *View {
	return &View{topic: topic, listener: listener}
}

// Next returns the offset after the last record that was read.
func (vi *View) Next() int64 { return vi.next }

// Loaded reports whether the whole topic was read at least once.
func (vi *View) Loaded() bool { return vi.loaded }

// Poll reads what is new, waiting for it up to the given time; after ErrTrimmed it reads the whole topic again.
func (vi *View) Poll(ctx context.Context, wait time.Duration) error {
	if !vi.loaded {
		return vi.reload(ctx)
	}
	pg, err := vi.topic.Read(ctx, vi.next, wait)
	if errors.Is(err, ErrTrimmed) {
		return vi.reload(ctx)
	}
	if err != nil {
		return err
	}
	vi.next = pg.Next
	if len(pg.Records) > 0 {
		vi.listener.Apply(pg.Records)
	}
	return nil
}

// Append adds records where the view ends; after any error the view must advance before the next append.
func (vi *View) Append(ctx context.Context, list []Record) error {
	end, err := vi.topic.Append(ctx, vi.next, list)
	if err != nil {
		return err
	}
	vi.next = end
	vi.listener.Apply(list)
	return nil
}

func (vi *View) reload(ctx context.Context) error {
	pg, err := vi.topic.Newest(ctx)
	if err != nil {
		return err
	}
	vi.next = pg.Next
	vi.loaded = true
	vi.listener.Reset(pg.Records)
	return nil
}
