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
	sh.members = names
}

// assignedHolders returns the instances that should hold grants of a team: first those with high demand, then others by rendezvous hashing.
//
// High demand comes first because an instance without a grant must borrow for nearly every request, and during an outage of the store
// only up to the lenders' ceilings. Peers that no longer write rows are left out unless their grant is fully spent.
func (sh *Shard) assignedHolders(team string, now time.Duration) []string {
	if len(sh.members) <= maxHolders {
		return sh.members
	}
	type ranked struct {
		name       string
		highDemand bool
		weight     uint64
	}
	threshold := sh.highDemandThreshold(team, now)
	list := make([]ranked, 0, len(sh.members))
	for _, name := range sh.members {
		sr, ok := sh.rows[team][name]
		if ok && name != sh.config.Instance && now-sr.seenAt > activeSpan && sr.row.Granted != sr.row.statedUse() {
			continue
		}
		list = append(list, ranked{
			name: name, highDemand: sh.ownDemand(team, name, now) > threshold, weight: xxhash.Sum64String(team + "\x00" + name),
		})
	}
	slices.SortFunc(list, func(aa, bb ranked) int {
		if aa.highDemand != bb.highDemand {
			if aa.highDemand {
				return -1
			}
			return 1
		}
		return cmp.Compare(bb.weight, aa.weight)
	})
	names := make([]string, 0, maxHolders)
	for _, ra := range list[:min(len(list), maxHolders)] {
		names = append(names, ra.name)
	}
	return names
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
	return len(sh.members) <= maxHolders || slices.Contains(sh.assignedHolders(team, now), sh.config.Instance)
}
