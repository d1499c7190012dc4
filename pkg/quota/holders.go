package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHolders is how many instances hold grants of one team. More of them split a total into parts that are smaller than a request;
// all others borrow for each request from these.
const maxHolders = 4

const (
	// highDemandPercent is the part of a team's demand beyond which an instance should hold grants of it; what it still borrows counts twice
	// in the sum, so this is half of the part that is meant.
	highDemandPercent = 15
	// minHighDemand is the demand in tokens a second below which borrowing costs less than a row that must be renewed.
	minHighDemand = 500
)

// SetMembers takes the names of all instances that have announced themselves, this one included.
func (sh *Shard) SetMembers(names []string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.members = names
}

// assignedHolders returns the instances that should hold grants of a team: those where much of its demand arrives, then others by rendezvous hashing.
//
// It answers the load of a team whose callers all come to one instance: nearly every request there would borrow, and in an outage of the
// store only up to the lenders' ceilings. An instance that stopped writing rows is passed over.
func (sh *Shard) assignedHolders(team string, now time.Duration) []string {
	if len(sh.members) <= maxHolders {
		return sh.members
	}
	type ranked struct {
		name      string
		prominent bool
		weight    uint64
	}
	least := sh.highDemandThreshold(team, now)
	list := make([]ranked, 0, len(sh.members))
	for _, name := range sh.members {
		sr, ok := sh.rows[team][name]
		if ok && name != sh.config.Instance && now-sr.seenAt > activeSpan && sr.row.Granted != sr.row.Spent {
			continue
		}
		list = append(list, ranked{name: name, prominent: sh.ownDemand(team, name, now) > least, weight: xxhash.Sum64String(team + "\x00" + name)})
	}
	slices.SortFunc(list, func(aa, bb ranked) int {
		if aa.prominent != bb.prominent {
			if aa.prominent {
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

// ownDemand returns what an instance spends itself for a team, in tokens a second, as far as it is known here.
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

// highDemandThreshold returns the demand above which an instance is prominent for a team.
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
