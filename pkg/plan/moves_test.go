package plan

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestMoves checks which changes of the routes lead the resumptions of streams to other services than those that may have begun them.
func TestMoves(tt *testing.T) {
	route := func(prefix string, services ...string) Route {
		ro := Route{Host: "host", Prefix: prefix, Stream: true, RetrySafety: Resumable}
		for _, name := range services {
			ro.Backends = append(ro.Backends, Backend{Service: name, Weight: 1})
		}
		return ro
	}
	heavier := route("/a/", "one", "two")
	heavier.Backends[0].Weight = 99
	dropped := route("/a/", "one", "two")
	dropped.Backends[0].Weight = 0
	plain := route("/a/", "two")
	plain.RetrySafety = Idempotent
	move := func(prefix string, before ...string) Move {
		return Move{Route: RouteID{Host: "host", Prefix: prefix}, Before: before}
	}
	cases := []struct {
		name          string
		before, after []Route
		want          []Move
	}{
		{"nothing changes", []Route{route("/a/", "one")}, []Route{route("/a/", "one")}, nil},
		{"the route goes to another service", []Route{route("/a/", "one")}, []Route{route("/a/", "two")}, []Move{move("/a/", "one")}},
		{"the route is split", []Route{route("/a/", "one")}, []Route{route("/a/", "one", "two")}, []Move{move("/a/", "one")}},
		{"only the weights change", []Route{route("/a/", "one", "two")}, []Route{heavier}, nil},
		{"a service gets the weight zero", []Route{route("/a/", "one", "two")}, []Route{dropped}, []Move{move("/a/", "one", "two")}},
		{"a route with a longer prefix is added", []Route{route("/a/", "one")}, []Route{route("/a/", "one"), route("/a/b/", "two")}, []Move{move("/a/b/", "one")}},
		{"a route with a longer prefix is removed", []Route{route("/a/", "one"), route("/a/b/", "two")}, []Route{route("/a/", "one")}, []Move{move("/a/", "two")}},
		{"a new route", []Route{route("/a/", "one")}, []Route{route("/a/", "one"), route("/c/", "two")}, nil},
		{"streams that may not be resumed", []Route{route("/a/", "one")}, []Route{plain}, nil},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			got := New(Config{Routes: tc.before}).Moves(New(Config{Routes: tc.after}))
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
