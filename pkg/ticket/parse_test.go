package ticket

import (
	"errors"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/google/go-cmp/cmp"
)

func TestParseNamesEveryMistake(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{name: "valid", text: `{"number":1,"author":"a","budgets":[{"name":"b","team":"t","prepaidTokens":5}]}`},
		{name: "cut short", text: "{\n\"number\":1,", want: []string{"line 2: /: unexpected EOF"}},
		{name: "unknown member", text: "{\"number\":1,\n\"colour\":2}", want: []string{"line 2: /colour: unknown object member name"}},
		{name: "wrong type", text: `{"number":"x"}`, want: []string{"line 1: /number: not a valid value"}},
		{
			name: "several",
			text: `{"number":0,"author":"","teams":[{"name":"t"}],"budgets":[{"name":"b","team":"t","prepaidTokens":-1},{"name":"b","team":"t"}]}`,
			want: []string{
				"/number: must be 1 or more",
				"/author: is missing",
				"/teams/0/keyHashes: needs at least one hash",
				"/budgets/0/prepaidTokens: must be between 0 and 9007199254740992",
				`/budgets/1: the budget "b" stands twice in this ticket`,
			},
		},
		{name: "touches nothing", text: `{"number":3,"author":"a"}`, want: []string{"/: the ticket touches no object"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.text))
			var ms FieldErrors
			var got []string
			if errors.As(err, &ms) {
				for _, mi := range ms {
					got = append(got, mi.String())
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

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
			t.Errorf("an accepted ticket was refused when written out: %v", err)
		}
	})
}
