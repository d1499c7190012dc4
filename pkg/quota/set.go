package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Set divides the teams among shards, each with a topic of its own, so that appends for teams of different shards do not conflict.
type Set struct {
	shards []*Shard
}

// NewSet returns a set of the given number of shards, which have not read their topics yet; for the other parameters see New.
func NewSet(count int, config Config, now time.Duration, stamp func() Stamp) *Set {
	st := &Set{}
	for range count {
		st.shards = append(st.shards, New(config, now, stamp))
	}
	return st
}

// Shards returns the shards in the order of their topics.
func (st *Set) Shards() []*Shard { return st.shards }

// Shard returns the shard of a team.
func (st *Set) Shard(team string) *Shard {
	return st.shards[xxhash.Sum64String(team)%uint64(len(st.shards))]
}

// SetTotals sets the prepaid totals of all limited teams, in tokens by team name.
func (st *Set) SetTotals(totals map[string]int64) {
	byShard := map[*Shard]map[string]int64{}
	for _, sh := range st.shards {
		byShard[sh] = map[string]int64{}
	}
	for team, total := range totals {
		byShard[st.Shard(team)][team] = total
	}
	for _, sh := range st.shards {
		sh.SetTotals(byShard[sh])
	}
}

// ActiveInstances returns the largest result of Shard.ActiveInstances over all shards.
func (st *Set) ActiveInstances(now time.Duration) int {
	largest := 1
	for _, sh := range st.shards {
		largest = max(largest, sh.ActiveInstances(now))
	}
	return largest
}

// Settled reports whether every shard is settled; see Shard.Settled.
func (st *Set) Settled() bool {
	for _, sh := range st.shards {
		if !sh.Settled() {
			return false
		}
	}
	return true
}

// SetMembers sets the names of all instances that have announced themselves, this one included.
func (st *Set) SetMembers(names []string) {
	for _, sh := range st.shards {
		sh.SetMembers(names)
	}
}

// Close closes every shard; see Shard.Close.
func (st *Set) Close() {
	for _, sh := range st.shards {
		sh.Close()
	}
}
