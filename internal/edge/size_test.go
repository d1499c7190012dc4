package edge

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/quota"
)

// TestFleetSize checks that announced instances without grants are counted, since they share the retry budget as well.
func TestFleetSize(tt *testing.T) {
	cases := []struct {
		name  string
		peers int
		want  int
	}{
		{"no other instance", 0, 2},
		{"four instances", 3, 5},
		{"31 instances, most of which only borrow", 30, 32},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ed := New(Config{
				Settings: config.Edge{Name: "self", PeerAddress: "127.0.0.1:1"},
				Platform: Platform{Topic: func(string, int) keyed.Topic { return nil }, Log: func(string, int) keyed.Log { return nil }},
				Clock:    func() time.Duration { return time.Second }, Stamp: func() quota.Stamp { return quota.Stamp{} },
				Logger: logr.Discard(), Dropped: func() int64 { return 0 },
			})
			var list []keyed.Record
			for ix := range tc.peers {
				data, err := json.Marshal(mesh.Member{Name: fmt.Sprint("peer-", ix), Address: "127.0.0.1:2"})
				if err != nil {
					tt.Fatal(err)
				}
				list = append(list, keyed.Record{Key: fmt.Sprint("member/peer-", ix), Value: data})
			}
			ed.mesh.ApplyAnnouncements(list)
			if diff := cmp.Diff(tc.want, ed.fleetSize(time.Second)); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
