package plan

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Config is the content of one version of the configuration.
type Config struct {
	// Version is the number of this version of the configuration.
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	// Limits apply to the requests and connections of all callers.
	Limits Limits
}

// Plan is one version of the configuration, indexed for lookups; it is immutable.
type Plan struct {
	config Config
	// routes are indexed by host, in lower case, and then by path prefix.
	routes map[string]map[string]*Route
	// services are indexed by name.
	services map[string]*Service
	// keys holds the teams by API key.
	keys map[string]*Team
	// teams holds the teams by name.
	teams map[string]*Team
	// mixedRanks holds the services whose requests can have more than one rank.
	mixedRanks map[string]bool
}

// New returns the plan of a configuration.
func New(config Config) *Plan {
	pl := &Plan{
		config: config, routes: map[string]map[string]*Route{},
		services: make(map[string]*Service, len(config.Services)),
		keys:     map[string]*Team{}, teams: make(map[string]*Team, len(config.Teams)),
	}
	for ix := range config.Routes {
		ro := &pl.config.Routes[ix]
		host := strings.ToLower(ro.Host)
		if pl.routes[host] == nil {
			pl.routes[host] = map[string]*Route{}
		}
		pl.routes[host][ro.Prefix] = ro
	}
	for ix := range config.Services {
		pl.services[config.Services[ix].Name] = &pl.config.Services[ix]
	}
	for ix := range config.Teams {
		te := &pl.config.Teams[ix]
		pl.teams[te.Name] = te
		for _, key := range te.Keys {
			pl.keys[key] = te
		}
	}
	pl.mixedRanks = pl.findMixedRanks()
	return pl
}

// Version returns the version of the configuration.
func (pl *Plan) Version() int64 { return pl.config.Version }

// Limits returns the limits on callers.
func (pl *Plan) Limits() Limits { return pl.config.Limits }

// Teams returns all teams.
func (pl *Plan) Teams() []Team { return slices.Clone(pl.config.Teams) }

// RouteCount returns the number of routes.
func (pl *Plan) RouteCount() int { return len(pl.config.Routes) }

// Team returns the team of the given name.
func (pl *Plan) Team(name string) (*Team, bool) {
	te, ok := pl.teams[name]
	return te, ok
}

// TeamOf returns the team with the given API key.
func (pl *Plan) TeamOf(key string) (*Team, bool) {
	te, ok := pl.keys[key]
	return te, ok
}

// Service returns the service of the given name.
func (pl *Plan) Service(name string) (*Service, bool) {
	se, ok := pl.services[name]
	return se, ok
}

// Route returns the route with the longest matching path prefix on a host.
//
// Only prefixes that end with a slash match; the prefix /a/ does not match the path /a. The lookup time depends on the length of the path,
// not on the number of routes.
func (pl *Plan) Route(host, path string) (*Route, bool) {
	prefixes := pl.routes[strings.ToLower(host)]
	if prefixes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if ro, ok := prefixes[path[:end+1]]; ok {
			return ro, true
		}
	}
	return nil, false
}

// Backend returns the name of one of the route's services, chosen in proportion to the weights by a hash of the seed. The same seed gives
// the same service. The name is empty if the weights add up to zero.
func (ro *Route) Backend(seed string) string {
	total := 0
	for _, ba := range ro.Backends {
		total += ba.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(seed) % uint64(total))
	for _, ba := range ro.Backends {
		if point < ba.Weight {
			return ba.Service
		}
		point -= ba.Weight
	}
	return ""
}
