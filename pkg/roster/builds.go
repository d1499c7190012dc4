package roster

import "slices"

// Builds lists the builds of the endpoints of one service.
type Builds struct {
	// Registered are the builds of all endpoints in ascending order, also of those that are leaving or missing, since streams that they began may be
	// resumed.
	Registered []string
	// Usable are the builds of the endpoints that accept new requests, in ascending order.
	Usable []string
}

// Builds returns the builds of the endpoints of each service that has any. The map must not be changed.
func (ro *Roster) Builds() map[string]Builds { return *ro.builds.Load() }

// publishBuilds updates the builds of all services. The caller holds the lock.
func (ro *Roster) publishBuilds() {
	next := map[string]Builds{}
	for _, en := range ro.byID {
		bu, build := next[en.Service], en.Build()
		bu.Registered = insert(bu.Registered, build)
		if !ro.leaving(en) {
			bu.Usable = insert(bu.Usable, build)
		}
		next[en.Service] = bu
	}
	ro.builds.Store(&next)
}

// insert adds a name to a sorted list unless the list contains it.
func insert(list []string, name string) []string {
	ix, found := slices.BinarySearch(list, name)
	if found {
		return list
	}
	return slices.Insert(list, ix, name)
}

// OfBuild returns those endpoints of the list that have the build.
func OfBuild(list []*Endpoint, build string) []*Endpoint {
	return OfBuilds(list, []string{build})
}

// OfBuilds returns those endpoints of the list that have one of the builds.
func OfBuilds(list []*Endpoint, builds []string) []*Endpoint {
	out := make([]*Endpoint, 0, len(list))
	for _, en := range list {
		if slices.Contains(builds, en.Build()) {
			out = append(out, en)
		}
	}
	return out
}
