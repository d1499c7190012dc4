package plan

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestMixedRanks guards against urgencies for services whose requests all have one rank, and against services whose ranks differ only by team.
func TestMixedRanks(tt *testing.T) {
	route := func(rank int, anonymous bool) Route {
		return Route{Host: "h", Prefix: "/", Priority: rank, Anonymous: anonymous, Backends: []Backend{{Service: "service", Weight: 1}}}
	}
	ranked := func(rank int) Team { return Team{HasPriority: true, Priority: rank} }
	cases := []struct {
		name   string
		routes []Route
		teams  []Team
		want   bool
	}{
		{"routes of one rank", []Route{route(1, false), route(1, false)}, []Team{{}}, false},
		{"routes of two ranks", []Route{route(0, false), route(2, false)}, []Team{{}}, true},
		{"all teams have the same rank", []Route{route(0, false), route(2, false)}, []Team{ranked(1), ranked(1)}, false},
		{"one team has a rank of its own", []Route{route(0, false)}, []Team{ranked(1), {}}, true},
		{"two teams of different ranks", []Route{route(0, false)}, []Team{ranked(1), ranked(2)}, true},
		{"a route without teams", []Route{route(0, true)}, []Team{ranked(1), ranked(2)}, false},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			if diff := cmp.Diff(tc.want, New(Config{Routes: tc.routes, Teams: tc.teams}).MixedRanks("service")); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
