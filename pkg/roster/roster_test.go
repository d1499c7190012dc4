package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// step is one event of a test case: a failed read, a successful read, a return of the store from an older copy, or a change.
type step struct {
	at         time.Duration
	readFailed bool
	readOK     bool
	restored   bool
	change     *Change
}

func registered(id string, started, sequence int64) *Change {
	return &Change{ID: id, Endpoint: &Endpoint{ID: id, Service: "model", StartedMillis: started, Sequence: sequence}}
}

func leaving(id string, started, sequence int64) *Change {
	return &Change{ID: id, Endpoint: &Endpoint{ID: id, Service: "model", StartedMillis: started, Sequence: sequence, Leaving: true}}
}

func ended(id string) *Change { return &Change{ID: id} }

// TestRoster checks which endpoints are usable after each sequence of steps. An endpoint whose registration ended during an outage of the
// store must stay usable until recoveryGrace after the recovery. If its registration ended at another time, it must be gone at once.
func TestRoster(tt *testing.T) {
	cases := []struct {
		name  string
		steps []step
		want  []string
	}{
		{"registered endpoints are usable", []step{{change: registered("a", 1, 1)}, {change: registered("b", 1, 1)}}, []string{"a", "b"}},
		{"leaving endpoints get no new requests", []step{{change: registered("a", 1, 1)}, {change: leaving("a", 1, 2)}}, nil},
		{"a registration with the same sequence can set leaving", []step{{change: registered("a", 1, 1)}, {change: leaving("a", 1, 1)}}, nil},
		{"an ended registration is gone at once", []step{{change: registered("a", 1, 1)}, {at: time.Second, change: ended("a")}}, nil},
		{"a registration that expires during an outage stays", []step{
			{change: registered("a", 1, 1)}, {at: time.Second, readFailed: true}, {at: 3 * time.Second, change: ended("a")},
		}, []string{"a"}},
		{"an expired registration that is not renewed is gone two seconds after the recovery", []step{
			{change: registered("a", 1, 1)},
			{at: time.Second, readFailed: true},
			{at: 2 * time.Second, change: ended("a")},
			{at: 2 * time.Second, readOK: true},
			{at: 4 * time.Second, readOK: true},
		}, nil},
		{"a registration that the store lost stays for the time in which the endpoint can register again", []step{
			{change: registered("a", 1, 1)}, {at: time.Second, restored: true}, {at: time.Second, change: ended("a")}, {at: 2 * time.Second, readOK: true},
		}, []string{"a"}},
		{"a registration that the store lost and that is not renewed is gone two seconds later", []step{
			{change: registered("a", 1, 1)}, {at: time.Second, restored: true}, {at: time.Second, change: ended("a")}, {at: 3 * time.Second, readOK: true},
		}, nil},
		{"a store that lost that an endpoint is leaving does not bring it back", []step{
			{change: registered("a", 1, 1)}, {change: leaving("a", 1, 2)}, {at: time.Second, restored: true}, {at: time.Second, change: registered("a", 1, 1)},
		}, nil},
		{"a store that lost that an endpoint is gone does not bring it back", []step{
			{change: registered("a", 1, 1)}, {change: ended("a")}, {at: time.Second, restored: true}, {at: time.Second, change: registered("a", 1, 1)},
		}, nil},
		{"an expired registration that is renewed stays", []step{
			{change: registered("a", 1, 1)},
			{at: time.Second, readFailed: true},
			{at: 2 * time.Second, change: ended("a")},
			{at: 2 * time.Second, readOK: true},
			{at: 3 * time.Second, change: registered("a", 1, 2)},
			{at: 9 * time.Second, readOK: true},
		}, []string{"a"}},
		{"a registration that ends four seconds after the recovery is gone at once", []step{
			{change: registered("a", 1, 1)},
			{at: time.Second, readFailed: true},
			{at: 2 * time.Second, readOK: true},
			{at: 6 * time.Second, change: ended("a")},
		}, nil},
		{"a registration that ends after a failed read, but less than minOutage after a successful one, is gone at once", []step{
			{change: registered("a", 1, 1)},
			{at: 8 * time.Second, readOK: true},
			{at: 9 * time.Second, readFailed: true},
			{at: 9300 * time.Millisecond, change: ended("a")},
		}, nil},
		{"an older registration that arrives late does not make a leaving endpoint usable", []step{
			{change: registered("a", 1, 5)}, {change: leaving("a", 1, 6)}, {change: registered("a", 1, 5)},
		}, nil},
		{"a new process with the same ID is usable", []step{
			{change: registered("a", 1, 9)}, {change: leaving("a", 1, 10)}, {change: registered("a", 2, 1)},
		}, []string{"a"}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ro := New()
			for _, st := range tc.steps {
				switch {
				case st.readFailed:
					ro.ReadFailed()
				case st.readOK:
					ro.ReadSucceeded(st.at)
				case st.restored:
					ro.StoreRestored(st.at)
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
