package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// TestTable checks which builds may begin streams and when one of them counts as the only one, while an instance follows the registrations and writes the
// rows that are due.
func TestTable(tt *testing.T) {
	both := Presence{Registered: []string{"v1", "v2"}, Usable: []string{"v1", "v2"}}
	first, second := Presence{Registered: []string{"v1"}, Usable: []string{"v1"}}, Presence{Registered: []string{"v2"}, Usable: []string{"v2"}}
	type step struct {
		at       time.Duration
		presence Presence
		active   []string
		sole     string
	}
	cases := []struct {
		name       string
		firstStart bool
		steps      []step
	}{
		{"no endpoint", true, []step{{0, Presence{}, nil, ""}}},
		{"first start", true, []step{{0, first, []string{"v1"}, "v1"}}},
		{"no row, but the fleet ran before", false, []step{
			{0, first, []string{"unknown", "v1"}, ""}, {29 * time.Second, first, []string{"unknown", "v1"}, ""}, {30 * time.Second, first, []string{"v1"}, "v1"},
		}},
		{"first start with two builds", true, []step{{0, both, []string{"v1", "v2"}, ""}}},
		{"a build joins", true, []step{
			{0, first, []string{"v1"}, "v1"},
			{time.Second, both, []string{"v1"}, "v1"},
			{2900 * time.Millisecond, both, []string{"v1"}, "v1"},
			{3 * time.Second, both, []string{"v1", "v2"}, ""},
		}},
		{"a build joins that nothing else can replace", true, []step{
			{0, first, []string{"v1"}, "v1"}, {time.Second, Presence{Registered: []string{"v1", "v2"}, Usable: []string{"v2"}}, []string{"v1", "v2"}, ""},
		}},
		{"a build leaves", true, []step{
			{0, both, []string{"v1", "v2"}, ""},
			{time.Second, second, []string{"v1", "v2"}, ""},
			{30 * time.Second, second, []string{"v1", "v2"}, ""},
			{31 * time.Second, second, []string{"v2"}, "v2"},
		}},
		{"a build leaves and returns", true, []step{
			{0, both, []string{"v1", "v2"}, ""},
			{time.Second, second, []string{"v1", "v2"}, ""},
			{20 * time.Second, both, []string{"v1", "v2"}, ""},
			{31 * time.Second, second, []string{"v1", "v2"}, ""},
			{60 * time.Second, second, []string{"v1", "v2"}, ""},
			{61 * time.Second, second, []string{"v2"}, "v2"},
		}},
		{"replaced while there was none", true, []step{
			{0, first, []string{"v1"}, "v1"},
			{time.Second, Presence{}, []string{"v1"}, "v1"},
			{2 * time.Second, second, []string{"v1", "v2"}, ""},
			{32 * time.Second, second, []string{"v2"}, "v2"},
		}},
		{"a build leaves before it is active", true, []step{
			{0, first, []string{"v1"}, "v1"}, {time.Second, both, []string{"v1"}, "v1"}, {2 * time.Second, first, []string{"v1"}, "v1"},
		}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ta := NewTable(tc.firstStart)
			for _, st := range tc.steps {
				follow(tt, ta, st.at, st.presence, 0)
				sole, _ := ta.Sole("model", 0)
				if diff := cmp.Diff([]any{st.active, st.sole}, []any{ta.Active("model"), sole}); diff != "" {
					tt.Errorf("at %s: active builds and the sole one (-want +got): %s", st.at, diff)
				}
			}
		})
	}
}

// follow writes the rows that are due until none is.
func follow(tt *testing.T, ta *Table, now time.Duration, pr Presence, era keyed.Era) {
	tt.Helper()
	for range 3 {
		row, due := ta.Next(now, "model", pr, era)
		if !due {
			return
		}
		re, err := EncodeRow("model", row)
		if err != nil {
			tt.Fatal(err)
		}
		ta.Apply(now, []keyed.Record{re})
	}
	tt.Fatal("a row is due after each write")
}

// TestTableOfRestoredStore checks that a build is not forgotten that the store has lost, and that a row which may be outdated names no sole build.
func TestTableOfRestoredStore(tt *testing.T) {
	first, both := Presence{Registered: []string{"v1"}, Usable: []string{"v1"}}, Presence{Registered: []string{"v1", "v2"}, Usable: []string{"v1", "v2"}}
	ta := NewTable(true)
	before, after := keyed.NewEra(1), keyed.NewEra(2)
	follow(tt, ta, 0, first, before)
	row, _ := ta.Next(0, "model", both, before)
	row.Builds = row.Builds[:1]
	old, err := EncodeRow("model", row)
	if err != nil {
		tt.Fatal(err)
	}
	follow(tt, ta, time.Second, both, before)
	follow(tt, ta, 4*time.Second, both, before)
	restored := keyed.Snapshot{Records: []keyed.Record{old}, Era: after, Restored: true}
	started := NewTable(false)
	for name, other := range map[string]*Table{"an instance that knew the lost build": ta, "an instance that has started since": started} {
		sn := restored
		sn.Restored = other == ta
		other.Reset(5*time.Second, sn)
		if sole, ok := other.Sole("model", after); ok {
			tt.Errorf("%s: the sole build is %q, want none", name, sole)
		}
	}
	follow(tt, ta, 5*time.Second, both, after)
	if diff := cmp.Diff([]string{"v1", "v2"}, ta.Active("model")); diff != "" {
		tt.Errorf("active builds (-want +got): %s", diff)
	}
}

// TestUnreadableRow checks that a row which cannot be read does not make one build the only one.
func TestUnreadableRow(tt *testing.T) {
	first := Presence{Registered: []string{"v1"}, Usable: []string{"v1"}}
	for _, value := range []string{"", "\x80", "no row"} {
		tt.Run(fmt.Sprintf("%q", value), func(tt *testing.T) {
			ta := NewTable(true)
			ta.Apply(0, []keyed.Record{{Key: RowKey("model"), Value: []byte(value)}})
			follow(tt, ta, time.Second, first, 0)
			if sole, ok := ta.Sole("model", 0); ok {
				tt.Errorf("the sole build is %q, want none", sole)
			}
		})
	}
}

// FuzzDecodeBatch checks that arbitrary bytes give either an error or origins that are encoded again.
func FuzzDecodeBatch(ff *testing.F) {
	seed, err := EncodeBatch([]Origin{{Key: 1, Build: "v1"}, {Key: 2, Build: "v2"}, {Key: 3, Build: "v1"}})
	if err != nil {
		ff.Fatal(err)
	}
	ff.Add(seed)
	ff.Fuzz(func(tt *testing.T, data []byte) {
		list, err := DecodeBatch(data)
		if err != nil {
			return
		}
		again, err := EncodeBatch(list)
		if err != nil {
			tt.Fatal(err)
		}
		got, err := DecodeBatch(again)
		if diff := cmp.Diff(list, got); err != nil || diff != "" {
			tt.Errorf("decoded again (-want +got): %s, error %v", diff, err)
		}
	})
}
