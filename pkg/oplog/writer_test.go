package oplog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// lastEntryLog is a Log that keeps only the last appended entry.
type lastEntryLog struct {
	last []byte
}

func (le *lastEntryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	le.last = data
	return 0, nil
}

func (le *lastEntryLog) Read(context.Context, ReadRequest) (Page, error) { return Page{}, nil }

// outcomeSource is a Source that adds one outcome to each batch.
type outcomeSource struct{}

func (outcomeSource) Build(time.Duration, int64) []record.Record {
	return []record.Record{{Outcome: &record.Outcome{Key: "k"}}}
}

// TestLeaveIsTheLastRecord submits a leave while the source has an outcome for the same batch. The leave must come last,
// because it closes the incarnation and records after it are lost.
func TestLeaveIsTheLastRecord(t *testing.T) {
	le := &lastEntryLog{}
	wr := NewWriter(WriterConfig{
		Log: le, Relay: NoRelay{}, Replica: NewReplica(), Source: outcomeSource{}, Logger: logr.Discard(),
		Clock: func() time.Duration { return time.Second }, FlushInterval: time.Second, MinInterval: time.Second,
	})
	if err := wr.Submit(context.Background(), record.Record{Leave: &record.Leave{}}); err != nil {
		t.Fatal(err)
	}
	wr.Step(context.Background())
	en, err := record.DecodeEntry(le.last)
	if err != nil {
		t.Fatal(err)
	}
	want := []record.Record{{Outcome: &record.Outcome{Key: "k"}}, {Leave: &record.Leave{}}}
	if diff := cmp.Diff(want, en.Batch.Records); diff != "" {
		t.Error(diff)
	}
}

// acceptingListener tells a writer of each applied entry once the writer looks for batches to send again, or after a while.
type acceptingListener struct {
	writer  *Writer
	entered chan struct{}
	resends chan struct{}
}

func (al *acceptingListener) StateReplaced(*ledger.State) {}

func (al *acceptingListener) EntryApplied(*ledger.State, []ledger.Event) {
	close(al.entered)
	select {
	case <-al.resends:
	case <-time.After(200 * time.Millisecond):
	}
	al.writer.Accepted(1)
}

// TestResendWhileEntryIsApplied guards against a deadlock between a writer that looks for batches to send again and a replica that tells the
// writer of an applied entry.
func TestResendWhileEntryIsApplied(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Second))
	var watched atomic.Bool
	li := &acceptingListener{entered: make(chan struct{}), resends: make(chan struct{}, 16)}
	re := NewReplica()
	wr := NewWriter(WriterConfig{
		Log: &lastEntryLog{}, Relay: NoRelay{}, Replica: re, Source: outcomeSource{}, Logger: logr.Discard(),
		Clock: func() time.Duration {
			if watched.Load() {
				select {
				case li.resends <- struct{}{}:
				default:
				}
			}
			return time.Duration(now.Load())
		},
		FlushInterval: time.Second, MinInterval: time.Second,
	})
	li.writer = wr
	re.AddListener(li)
	wr.Step(context.Background())
	now.Add(int64(2 * resendAfter))
	done := make(chan struct{}, 2)
	go func() {
		_ = re.Apply(Page{Entries: [][]byte{[]byte("an entry of another system")}})
		done <- struct{}{}
	}()
	<-li.entered
	watched.Store(true)
	go func() {
		wr.Step(context.Background())
		done <- struct{}{}
	}()
	for range 2 {
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the writer and the replica wait for each other")
		}
	}
}
