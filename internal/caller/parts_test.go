package caller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSharedParts counts the parts that two prompts share.
func TestSharedParts(t *testing.T) {
	const chat = `{"model":"m","messages":[{"role":"system","content":"a"},{"role":"system","content":"b"},{"role":"user","content":"c"}]}`
	tests := []struct {
		name   string
		chat   bool
		first  string
		second string
		want   int
	}{
		{"the same messages", true, chat, chat, 3},
		{"one message in another place", true, chat, `{"model":"m","messages":[{"role":"user","content":"x"},{"role":"system","content":"b"}]}`, 1},
		{"the same text in another role", true, chat, `{"model":"m","messages":[{"role":"user","content":"b"}]}`, 0},
		{"one paragraph of a prompt", false, `{"model":"m","prompt":"one\n\ntwo\n\nthree"}`, `{"model":"m","prompt":"two\n\nfour"}`, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, err1 := parseCompletion([]byte(tt.first), tt.chat)
			second, err2 := parseCompletion([]byte(tt.second), tt.chat)
			if err1 != nil || err2 != nil {
				t.Fatal(err1, err2)
			}
			known := map[uint64]bool{}
			for _, pa := range first.parts() {
				known[pa] = true
			}
			got := 0
			for _, pa := range second.parts() {
				if known[pa] {
					got++
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
