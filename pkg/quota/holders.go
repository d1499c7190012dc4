package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHolders is the maximum number of instances assigned to hold grants of one team; the other instances borrow from them for each request.
// With more holders, a total would be split into grants that are smaller than a request.
const maxHolders = 4

const (
	// highDemandPercent is the percentage of a team's demand above which the demand of an instance is high, so that it is preferred as a
	// holder. The demand of the team is summed over the instances. Borrowed tokens count twice in the sum, at the lender and at the
	// borrower: if all tokens are borrowed, 15 percent of the sum is 30 percent of the actual demand.
	highDemandPercent = 15
	// minHighDemand is the minimum high demand, in tokens a second. At a lower demand, borrowing costs less than renewing a row.
	minHighDemand = 500
)

// SetMembers sets the names of all instances that have announced themselves, this one included.
func (sh *Shard) SetMembers(names []string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if slices.Equal(sh.members, names) {
		return
	}
	sh.members = names
	clear(sh.rankings)
}

// ranking returns the members in the order of rendezvous hashing for a team. Computing it takes far longer than the rest of assignedHolders.
func (sh *Shard) ranking(team string) []string {
	if list, ok := sh.rankings[team]; ok {
		return list
	}
	weights := make(map[string]uint64, len(sh.members))
	for _, name := range sh.members {
		weights[name] = xxhash.Sum64String(team + "\x00" + name)
	}
	list := slices.Clone(sh.members)
	slices.SortFunc(list, func(aa, bb string) int { return cmp.Compare(weights[bb], weights[aa]) })
	sh.rankings[team] = list
	return list
}

// assignedHolders returns the instances that should hold grants of a team: first those with high demand, then others by rendezvous hashing.
//
// High demand comes first because an instance without a grant must borrow for nearly every request, and during an outage of the store
// only up to the lenders' ceilings. Peers that no longer write rows are left out unless their grant is fully spent.
func (sh *Shard) assignedHolders(team string, now time.Duration) []string {
	if len(sh.members) <= maxHolders {
		return sh.members
	}
	threshold := sh.highDemandThreshold(team, now)
	high := make([]string, 0, maxHolders)
	var others []string
	for _, name := range sh.ranking(team) {
		sr, ok := sh.rows[team][name]
		if ok && name != sh.config.Instance && now-sr.seenAt > activeSpan && sr.row.Granted != sr.row.statedUse() {
			continue
		}
		switch {
		case sh.ownDemand(team, name, now) > threshold:
			high = append(high, name)
		case len(others) < maxHolders:
			others = append(others, name)
		}
	}
	high = append(high, others...)
	return high[:min(len(high), maxHolders)]
}

// ownDemand returns the tokens a second that an instance spends itself for a team; it is zero for peers that are not active.
func (sh *Shard) ownDemand(team, instance string, now time.Duration) int64 {
	if instance == sh.config.Instance {
		return sh.account(team).ownDemand.perSecond(now)
	}
	sr, ok := sh.rows[team][instance]
	if !ok || now-sr.seenAt > activeSpan {
		return 0
	}
	return sr.row.OwnDemand
}

// highDemandThreshold returns the demand in tokens a second above which an instance has high demand for a team.
func (sh *Shard) highDemandThreshold(team string, now time.Duration) int64 {
	sum := sh.account(team).ownDemand.perSecond(now)
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance && now-sr.seenAt <= activeSpan {
			sum += sr.row.Demand
		}
	}
	return max(minHighDemand, sum*highDemandPercent/percent)
}

// isAssigned reports whether this instance should hold grants of a team.
func (sh *Shard) isAssigned(team string, now time.Duration) bool {
	if sh.discovering(team, now) {
		// Only one of several rows that are appended at the same offset is accepted, so that no more than maxHolders instances see too few
		// holders.
		return sh.account(team).inForce != nil || sh.holders(team) < maxHolders
	}
	return len(sh.members) <= maxHolders || slices.Contains(sh.assignedHolders(team, now), sh.config.Instance)
}

// discovering reports whether this instance might not know all other instances and has no row of a team by an earlier incarnation.
//
// All instances of a fleet that start together would otherwise write rows of every team, each as one of the few instances that it knows. Rows
// are never removed, and each is renewed every renewInterval.
func (sh *Shard) discovering(team string, now time.Duration) bool {
	sr, ok := sh.rows[team][sh.config.Instance]
	return now-sh.started < sh.config.DiscoverySpan && (!ok || sr.row.Incarnation == sh.config.Incarnation)
}

// holders returns the number of instances with unused tokens of a team, by their rows.
func (sh *Shard) holders(team string) int {
	count := 0
	for _, sr := range sh.rows[team] {
		if sr.row.Granted > sr.row.Spent+sr.row.NetLent {
			count++
		}
	}
	return count
}
