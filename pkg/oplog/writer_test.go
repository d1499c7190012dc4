package oplog

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

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
