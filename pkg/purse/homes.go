package purse

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHomes is how many instances hold grants of one team. More of them split a total into parts that are smaller than a request;
// all others borrow for each request from these.
const maxHomes = 4

// SetMembers takes the names of all instances that have announced themselves, this one included.
func (pu *Purse) SetMembers(names []string) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.members = names
}

// homes returns the instances that should hold grants of a team, by rendezvous hashing; one that stopped writing rows is passed over.
func (pu *Purse) homes(team string, now time.Duration) []string {
	if len(pu.members) <= maxHomes {
		return pu.members
	}
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, 0, len(pu.members))
	for _, name := range pu.members {
		ho, ok := pu.rows[team][name]
		if ok && name != pu.config.Instance && now-ho.seenAt > aliveSpan && ho.row.Granted != ho.row.Spent {
			continue
		}
		list = append(list, ranked{name: name, weight: xxhash.Sum64String(team + "\x00" + name)})
	}
	slices.SortFunc(list, func(aa, bb ranked) int { return cmp.Compare(bb.weight, aa.weight) })
	names := make([]string, 0, maxHomes)
	for _, ra := range list[:min(len(list), maxHomes)] {
		names = append(names, ra.name)
	}
	return names
}

// isHome reports whether this instance should hold grants of a team.
func (pu *Purse) isHome(team string, now time.Duration) bool {
	return len(pu.members) <= maxHomes || slices.Contains(pu.homes(team, now), pu.config.Instance)
}
