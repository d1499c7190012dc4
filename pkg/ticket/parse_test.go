package ticket

import (
	"errors"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/google/go-cmp/cmp"
)

// TestParseReportsEveryError checks that one call of Parse returns the errors of all invalid members, with their paths.
func TestParseReportsEveryError(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{name: "valid", text: `{"number":1,"author":"a","budgets":[{"name":"b","team":"t","prepaidTokens":5}]}`},
		{name: "truncated", text: "{\n\"number\":1,", want: []string{"line 2: /: unexpected EOF"}},
		{name: "unknown member", text: "{\"number\":1,\n\"colour\":2}", want: []string{"line 2: /colour: unknown object member name"}},
		{name: "wrong type", text: `{"number":"x"}`, want: []string{"line 1: /number: not a valid value"}},
		{
			name: "several errors",
			text: `{"number":0,"author":"","teams":[{"name":"t"}],"budgets":[{"name":"b","team":"t","prepaidTokens":-1},{"name":"b","team":"t"}]}`,
			want: []string{
				"/number: must be 1 or more",
				"/author: is missing",
				"/teams/0/keyHashes: needs at least one hash",
				"/budgets/0/prepaidTokens: must be between 0 and 9007199254740992",
				`/budgets/1: the budget "b" stands twice in this ticket`,
			},
		},
		{name: "no object", text: `{"number":3,"author":"a"}`, want: []string{"/: the ticket touches no object"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.text))
			var fes FieldErrors
			var got []string
			if errors.As(err, &fes) {
				for _, fe := range fes {
					got = append(got, fe.String())
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// FuzzParse checks that a valid ticket is still valid after it was marshaled and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"number":1,"author":"a","budgets":[{"name":"b","team":"t","prepaidTokens":5}]}`))
	f.Add([]byte(`{"number":1,"classes":[{"name":"c","timeout":"30s","maxAnswerTokens":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ti, err := Parse(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(ti)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(again); err != nil {
			t.Errorf("Parse of the marshaled form of a valid ticket: got error %v, want nil", err)
		}
	})
}
