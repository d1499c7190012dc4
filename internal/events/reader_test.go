package events

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestReader reads complete and truncated streams.
func TestReader(tt *testing.T) {
	type result struct {
		Events []string
		// More states for each event whether another complete event was buffered after it.
		More []bool
		IDs  []int64
		Err  error
	}
	cases := []struct {
		name string
		text string
		want result
	}{
		{"empty", "", result{Err: io.EOF}},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", result{
			[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, []bool{true, false}, []int64{1, 2}, io.EOF,
		}},
		{"truncated within a line", "id: 1\ndata: a\n\nid: 2\nda", result{
			[]string{"id: 1\ndata: a\n\n"}, []bool{false}, []int64{1}, io.ErrUnexpectedEOF,
		}},
		{"truncated between lines", "id: 1\n", result{Err: io.ErrUnexpectedEOF}},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", result{[]string{"id: 1\r\ndata: a\r\n\r\n"}, []bool{false}, []int64{1}, io.EOF}},
		{"another field before the id", "weight-versions: 2\nid: 7\ndata: a\n\n", result{
			[]string{"weight-versions: 2\nid: 7\ndata: a\n\n"}, []bool{false}, []int64{7}, io.EOF,
		}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			var got result
			re := NewReader(strings.NewReader(tc.text))
			for {
				data, err := re.Next()
				if err != nil {
					got.Err = err
					break
				}
				id, _ := ID(data)
				got.Events = append(got.Events, string(data))
				got.More = append(got.More, re.Buffered())
				got.IDs = append(got.IDs, id)
			}
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateErrors()); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
