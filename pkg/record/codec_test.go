package record

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

func sample() Entry {
	return Entry{Batch: &Batch{
		Incarnation: 7, Sequence: 3, Anchor: 40,
		Records: []Record{
			{Claim: &Claim{Budget: "b", Need: 5, Want: 9}},
			{Settle: &Settle{Budget: "b", Bills: []Bill{{Key: "k", Tokens: 3, Deduplicate: true}}, Ceiling: Ceiling{Base: 8}}},
		},
	}}
}

func TestDecodeRefusesDamage(t *testing.T) {
	data, err := EncodeEntry(sample())
	if err != nil {
		t.Fatal(err)
	}
	flip := func(at int) []byte {
		cp := bytes.Clone(data)
		cp[at] ^= 1
		return cp
	}
	tests := []struct {
		name string
		data []byte
		want error
	}{
		{"whole", data, nil},
		{"foreign", []byte("hello, this is not ours"), ErrForeign},
		{"empty", nil, ErrForeign},
		{"unknown version", flip(len(magic)), ErrVersion},
		{"damaged checksum", flip(len(magic) + 2), ErrCorrupt},
		{"damaged body", flip(len(data) - 1), ErrCorrupt},
		{"cut", data[:len(data)-1], ErrCorrupt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := DecodeEntry(tt.data)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if diff := cmp.Diff(sample(), got); err == nil && diff != "" {
				t.Error(diff)
			}
		})
	}
}

func FuzzDecodeEntry(f *testing.F) {
	for _, en := range []Entry{sample(), {Join: &Join{Nonce: "n"}}, {Ticket: &ticket.Ticket{Number: 1}}} {
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
