package plan

// RunsModel reports whether the endpoints of the service run a model.
func (se *Service) RunsModel() bool {
	return se.Slots > 0 || se.TokensPerEvent > 0 || se.KVCapacityTokens > 0
}

// Rank returns the urgency of the requests of a team on the route; 0 is the most urgent. A priority of the team goes before that of the route. The team is
// nil for requests without one.
func (ro *Route) Rank(te *Team) int {
	if te != nil && te.HasPriority {
		return te.Priority
	}
	return ro.Priority
}

// MixedRanks reports whether the requests to the service can have more than one rank.
func (pl *Plan) MixedRanks(service string) bool { return pl.mixedRanks[service] }

// findMixedRanks returns the services whose requests can have more than one rank.
func (pl *Plan) findMixedRanks() map[string]bool {
	teamRanks := map[int]bool{}
	unranked := len(pl.config.Teams) == 0
	for _, te := range pl.config.Teams {
		if te.HasPriority {
			teamRanks[te.Priority] = true
		} else {
			unranked = true
		}
	}
	first := map[string]int{}
	mixed := map[string]bool{}
	add := func(service string, rank int) {
		if earlier, ok := first[service]; ok && earlier != rank {
			mixed[service] = true
			return
		}
		first[service] = rank
	}
	for _, ro := range pl.config.Routes {
		for _, ba := range ro.Backends {
			if ro.Anonymous || unranked {
				add(ba.Service, ro.Priority)
			}
			if ro.Anonymous {
				continue
			}
			for rank := range teamRanks {
				add(ba.Service, rank)
			}
		}
	}
	return mixed
}
