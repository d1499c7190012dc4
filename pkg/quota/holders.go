package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHomes is how many instances hold grants of one team. More of them split a total into parts that are smaller than a request;
// all others borrow for each request from these.
const maxHomes = 4

const (
	// prominentPercent is the part of a team's demand beyond which an instance should hold grants of it; what it still borrows counts twice
	// in the sum, so this is half of the part that is meant.
	prominentPercent = 15
	// leastProminent is the demand in tokens a second below which borrowing costs less than a row that must be renewed.
	leastProminent = 500
)

// SetMembers takes the names of all instances that have announced themselves, this one included.
func (pu *Shard) SetMembers(names []string) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.members = names
}

// homes returns the instances that should hold grants of a team: those where much of its demand arrives, then others by rendezvous hashing.
//
// It answers the load of a team whose callers all come to one instance: nearly every request there would borrow, and in an outage of the
// store only up to the lenders' ceilings. An instance that stopped writing rows is passed over.
func (pu *Shard) homes(team string, now time.Duration) []string {
	if len(pu.members) <= maxHomes {
		return pu.members
	}
	type ranked struct {
		name      string
		prominent bool
		weight    uint64
	}
	least := pu.prominentDemand(team, now)
	list := make([]ranked, 0, len(pu.members))
	for _, name := range pu.members {
		ho, ok := pu.rows[team][name]
		if ok && name != pu.config.Instance && now-ho.seenAt > aliveSpan && ho.row.Granted != ho.row.Spent {
			continue
		}
		list = append(list, ranked{name: name, prominent: pu.ownDemand(team, name, now) > least, weight: xxhash.Sum64String(team + "\x00" + name)})
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
	names := make([]string, 0, maxHomes)
	for _, ra := range list[:min(len(list), maxHomes)] {
		names = append(names, ra.name)
	}
	return names
}

// ownDemand returns what an instance spends itself for a team, in tokens a second, as far as it is known here.
func (pu *Shard) ownDemand(team, instance string, now time.Duration) int64 {
	if instance == pu.config.Instance {
		return pu.account(team).own.perSecond(now)
	}
	ho, ok := pu.rows[team][instance]
	if !ok || now-ho.seenAt > aliveSpan {
		return 0
	}
	return ho.row.OwnDemand
}

// prominentDemand returns the demand above which an instance is prominent for a team.
func (pu *Shard) prominentDemand(team string, now time.Duration) int64 {
	sum := pu.account(team).own.perSecond(now)
	for instance, ho := range pu.rows[team] {
		if instance != pu.config.Instance && now-ho.seenAt <= aliveSpan {
			sum += ho.row.Demand
		}
	}
	return max(leastProminent, sum*prominentPercent/percent)
}

// isHome reports whether this instance should hold grants of a team.
func (pu *Shard) isHome(team string, now time.Duration) bool {
	return len(pu.members) <= maxHomes || slices.Contains(pu.homes(team, now), pu.config.Instance)
}
