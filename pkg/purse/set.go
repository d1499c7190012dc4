package purse

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Set divides the teams among purses, each with a topic of its own, so that appends for one team do not wait for another's.
type Set struct {
	shards []*Purse
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
func (st *Set) Shards() []*Purse { return st.shards }

// Of returns the purse of a team.
func (st *Set) Of(team string) *Purse {
	return st.shards[xxhash.Sum64String(team)%uint64(len(st.shards))]
}

// SetTotals takes the prepaid totals of all limited teams.
func (st *Set) SetTotals(totals map[string]int64) {
	parts := map[*Purse]map[string]int64{}
	for _, pu := range st.shards {
		parts[pu] = map[string]int64{}
	}
	for team, total := range totals {
		parts[st.Of(team)][team] = total
	}
	for _, pu := range st.shards {
		pu.SetTotals(parts[pu])
	}
}

// Instances returns how many instances hold grants and have written lately, this one included.
func (st *Set) Instances(now time.Duration) int {
	most := 1
	for _, pu := range st.shards {
		most = max(most, pu.Instances(now))
	}
	return most
}

// Settled reports whether the topics hold all that this instance has used, and no grant beyond it.
func (st *Set) Settled() bool {
	for _, pu := range st.shards {
		if !pu.Settled() {
			return false
		}
	}
	return true
}

// SetMembers takes the names of all instances that have announced themselves, this one included.
func (st *Set) SetMembers(names []string) {
	for _, pu := range st.shards {
		pu.SetMembers(names)
	}
}

// Close returns every unused grant with the next rows.
func (st *Set) Close() {
	for _, pu := range st.shards {
		pu.Close()
	}
}
