package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Set divides the teams among purses, each with a topic of its own, so that appends for one team do not wait for another's.
type Set struct {
	shards []*Shard
}

// NewSet returns a set of empty purses.
func NewSet(count int, config Config, now time.Duration, stamp func() Stamp) *Set {
	st := &Set{}
	for range count {
		st.shards = append(st.shards, New(config, now, stamp))
	}
	return st
}

// Shards returns the purses in the order of their topics.
func (st *Set) Shards() []*Shard { return st.shards }

// Shard returns the purse of a team.
func (st *Set) Shard(team string) *Shard {
	return st.shards[xxhash.Sum64String(team)%uint64(len(st.shards))]
}

// SetTotals takes the prepaid totals of all limited teams.
func (st *Set) SetTotals(totals map[string]int64) {
	parts := map[*Shard]map[string]int64{}
	for _, sh := range st.shards {
		parts[sh] = map[string]int64{}
	}
	for team, total := range totals {
		parts[st.Shard(team)][team] = total
	}
	for _, sh := range st.shards {
		sh.SetTotals(parts[sh])
	}
}

// ActiveInstances returns how many instances hold grants and have written lately, this one included.
func (st *Set) ActiveInstances(now time.Duration) int {
	most := 1
	for _, sh := range st.shards {
		most = max(most, sh.ActiveInstances(now))
	}
	return most
}

// Settled reports whether the topics hold all that this instance has used, and no grant beyond it.
func (st *Set) Settled() bool {
	for _, sh := range st.shards {
		if !sh.Settled() {
			return false
		}
	}
	return true
}

// SetMembers takes the names of all instances that have announced themselves, this one included.
func (st *Set) SetMembers(names []string) {
	for _, sh := range st.shards {
		sh.SetMembers(names)
	}
}

// Close returns every unused grant with the next rows.
func (st *Set) Close() {
	for _, sh := range st.shards {
		sh.Close()
	}
}
