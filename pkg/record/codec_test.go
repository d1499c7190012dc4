package record

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

func sampleBatch() Entry {
	return Entry{Batch: &Batch{
		Incarnation: 7, Sequence: 3, Anchor: 40,
		Records: []Record{
			{Claim: &Claim{Budget: "b", Need: 5, Want: 9}},
			{Settle: &Settle{Budget: "b", Bills: []Bill{{Key: "k", Tokens: 3, Deduplicate: true}}, Ceiling: Ceiling{Base: 8}}},
		},
	}}
}

// TestDecodeRejectsDamage checks the error for foreign entries, for entries of an unknown version and for damaged entries.
func TestDecodeRejectsDamage(t *testing.T) {
	data, err := EncodeEntry(sampleBatch())
	if err != nil {
		t.Fatal(err)
	}
	flipBit := func(index int) []byte {
		flipped := bytes.Clone(data)
		flipped[index] ^= 1
		return flipped
	}
	tests := []struct {
		name string
		data []byte
		want error
	}{
		{"intact", data, nil},
		{"foreign", []byte("hello, this is not ours"), ErrForeign},
		{"empty", nil, ErrForeign},
		{"unknown version", flipBit(len(magic)), ErrVersion},
		{"damaged checksum", flipBit(len(magic) + 2), ErrCorrupt},
		{"damaged body", flipBit(len(data) - 1), ErrCorrupt},
		{"truncated", data[:len(data)-1], ErrCorrupt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := DecodeEntry(tt.data)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if diff := cmp.Diff(sampleBatch(), got); err == nil && diff != "" {
				t.Error(diff)
			}
		})
	}
}

// FuzzDecodeEntry checks that arbitrary bytes cause no panic and that a decoded entry can be encoded.
func FuzzDecodeEntry(f *testing.F) {
	for _, en := range []Entry{sampleBatch(), {Join: &Join{Nonce: "n"}}, {Ticket: &ticket.Ticket{Number: 1}}} {
		data, _ := EncodeEntry(en)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		en, err := DecodeEntry(data)
		if err != nil {
			return
		}
		if _, err := EncodeEntry(en); err != nil {
			t.Error(err)
		}
	})
}
