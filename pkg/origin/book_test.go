package origin

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBook checks how long origins are kept and that own ones are shared once.
func TestBook(tt *testing.T) {
	bo := NewBook()
	own, other := Origin{Key: KeyOf("team", "1"), Service: "model", Build: "v1"}, Origin{Key: KeyOf("team", "2"), Build: "v2"}
	bo.RecordOwn(time.Second, own, false)
	bo.RecordOwn(time.Second, Origin{Key: 3, Service: "model", Build: "v1"}, true)
	bo.RecordOwn(time.Second, Origin{Key: 4, Service: "other", Build: "v1"}, false)
	bo.Record(time.Second, other)
	ofModel := func(service string) bool { return service == "model" }
	if diff := cmp.Diff([]Origin{own}, bo.TakeUnshared(ofModel)); diff != "" {
		tt.Errorf("unshared origins (-want +got): %s", diff)
	}
	if list := bo.TakeUnshared(ofModel); len(list) > 0 {
		tt.Errorf("origins are shared twice: %v", list)
	}
	cases := []struct {
		name  string
		at    time.Duration
		key   Key
		build string
		known bool
	}{
		{"own", time.Second, own.Key, "v1", true},
		{"of another instance", time.Second, other.Key, "v2", true},
		{"the same ID of another team", time.Second, KeyOf("team-2", "1"), "", false},
		{"kept for the lifetime", Lifetime + time.Second, own.Key, "v1", true},
		{"dropped after two lifetimes", 2*Lifetime + 2*time.Second, own.Key, "", false},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			bo.Record(tc.at, Origin{Key: 99, Build: "v9"})
			og, known := bo.Find(tc.key)
			if og.Build != tc.build || known != tc.known {
				tt.Errorf("Find: %q, %t, want %q, %t", og.Build, known, tc.build, tc.known)
			}
		})
	}
	if list := bo.TakeUnshared(func(string) bool { return true }); len(list) > 0 {
		tt.Errorf("%d origins are left to share after two lifetimes, want none", len(list))
	}
}
