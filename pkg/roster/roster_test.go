package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// step is one event in the life of a roster.
type step struct {
	at      time.Duration
	failed  bool
	reached bool
	change  *Change
}

func registered(id string, started, sequence int64) *Change {
	return &Change{ID: id, Endpoint: &Endpoint{ID: id, Service: "model", StartedMillis: started, Sequence: sequence}}
}

func leaving(id string, started, sequence int64) *Change {
	return &Change{ID: id, Endpoint: &Endpoint{ID: id, Service: "model", StartedMillis: started, Sequence: sequence, Leaving: true}}
}

func ended(id string) *Change { return &Change{ID: id} }

// TestRoster replays what the store shows around outages.
func TestRoster(tt *testing.T) {
	cases := []struct {
		name  string
		steps []step
		want  []string
	}{
		{"registered endpoints are usable", []step{{change: registered("a", 1, 1)}, {change: registered("b", 1, 1)}}, []string{"a", "b"}},
		{"leaving endpoints get no work", []step{{change: registered("a", 1, 1)}, {change: leaving("a", 1, 2)}}, nil},
		{"a leaving report with the same sequence counts", []step{{change: registered("a", 1, 1)}, {change: leaving("a", 1, 1)}}, nil},
		{"an ended registration is gone at once", []step{{change: registered("a", 1, 1)}, {at: time.Second, change: ended("a")}}, nil},
		{"a registration that lapses during an outage stays", []step{
			{change: registered("a", 1, 1)}, {at: time.Second, failed: true}, {at: 3 * time.Second, change: ended("a")},
		}, []string{"a"}},
		{"a lapsed registration that stays away is gone two seconds after the return", []step{
			{change: registered("a", 1, 1)},
			{at: time.Second, failed: true},
			{at: 2 * time.Second, change: ended("a")},
			{at: 2 * time.Second, reached: true},
			{at: 4 * time.Second, reached: true},
		}, nil},
		{"a lapsed registration that comes back stays", []step{
			{change: registered("a", 1, 1)},
			{at: time.Second, failed: true},
			{at: 2 * time.Second, change: ended("a")},
			{at: 2 * time.Second, reached: true},
			{at: 3 * time.Second, change: registered("a", 1, 2)},
			{at: 9 * time.Second, reached: true},
		}, []string{"a"}},
		{"a registration that ends four seconds after the return is gone at once", []step{
			{change: registered("a", 1, 1)},
			{at: time.Second, failed: true},
			{at: 2 * time.Second, reached: true},
			{at: 6 * time.Second, change: ended("a")},
		}, nil},
		{"a registration that ends after the store was out of reach for a moment is gone at once", []step{
			{change: registered("a", 1, 1)},
			{at: 8 * time.Second, reached: true},
			{at: 9 * time.Second, failed: true},
			{at: 9300 * time.Millisecond, change: ended("a")},
		}, nil},
		{"an older registration that arrives late revives nothing", []step{
			{change: registered("a", 1, 5)}, {change: leaving("a", 1, 6)}, {change: registered("a", 1, 5)},
		}, nil},
		{"the same ID in a new life is usable", []step{
			{change: registered("a", 1, 9)}, {change: leaving("a", 1, 10)}, {change: registered("a", 2, 1)},
		}, []string{"a"}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ro := New()
			for _, st := range tc.steps {
				switch {
				case st.failed:
					ro.ReadFailed()
				case st.reached:
					ro.ReadSucceeded(st.at)
				default:
					ro.Apply(st.at, []Change{*st.change})
				}
			}
			var got []string
			for _, en := range ro.Usable("model") {
				got = append(got, en.ID)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
