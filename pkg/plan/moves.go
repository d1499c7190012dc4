package plan

import (
	"maps"
	"slices"
)

// Move is a change of the services to which requests with some paths go.
type Move struct {
	// Route is the route that matches these paths from now on.
	Route RouteID
	// Before are the services to which they went, in ascending order.
	Before []string
}

// RouteID identifies a route over the versions of the configuration.
type RouteID struct {
	Host   string
	Prefix string
}

// ID returns the identity of the route.
func (ro *Route) ID() RouteID { return RouteID{Host: ro.Host, Prefix: ro.Prefix} }

// Services returns the services to which requests of the route go, in ascending order.
func (ro *Route) Services() []string {
	names := map[string]bool{}
	for _, ba := range ro.Backends {
		if ba.Weight > 0 {
			names[ba.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Moves returns what changes between two versions for the requests of streams that may be resumed: routes that go to other services than those that matched
// the same paths before. A change of the weights alone moves nothing.
func (pl *Plan) Moves(next *Plan) []Move {
	found := map[RouteID]map[string]bool{}
	add := func(before, after *Route) {
		if after.RetrySafety != Resumable || slices.Equal(before.Services(), after.Services()) {
			return
		}
		if found[after.ID()] == nil {
			found[after.ID()] = map[string]bool{}
		}
		for _, name := range before.Services() {
			found[after.ID()][name] = true
		}
	}
	for ix := range pl.config.Routes {
		before := &pl.config.Routes[ix]
		if after, ok := next.Route(before.Host, before.Prefix); ok {
			add(before, after)
		}
	}
	for ix := range next.config.Routes {
		after := &next.config.Routes[ix]
		if before, ok := pl.Route(after.Host, after.Prefix); ok {
			add(before, after)
		}
	}
	var list []Move
	for id, names := range found {
		list = append(list, Move{Route: id, Before: slices.Sorted(maps.Keys(names))})
	}
	slices.SortFunc(list, func(aa, bb Move) int {
		return slices.Compare([]string{aa.Route.Host, aa.Route.Prefix}, []string{bb.Route.Host, bb.Route.Prefix})
	})
	return list
}
