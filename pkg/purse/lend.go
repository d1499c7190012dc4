package purse

import (
	"cmp"
	"slices"
	"time"
)

// borrowSeconds is the demand in seconds that a holder borrows beside what is short.
const borrowSeconds = 1

// Give moves up to the given tokens out of the grant to a peer and returns how many; they count as spent here.
//
// Capped reports that the grant would cover more than the ceiling does, which the next row lifts.
func (pu *Purse) Give(now time.Duration, team string, tokens int64) (given int64, capped bool) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	excess := pu.excess(team)
	taken := ac.used() + ac.waiting + ac.own.perSecond(now)*keepSeconds
	given = max(0, min(tokens, ac.limit(now, excess)-taken))
	if given > 0 {
		ac.given += given
		ac.demand.add(now, given)
		ac.noteSize(given)
	}
	return given, given < tokens && taken+tokens-given <= ac.granted()-excess
}

// Lenders returns whom to ask for tokens of a team, most promising first, and how many to ask for; random spreads the askers.
func (pu *Purse) Lenders(now time.Duration, team string, tokens int64, random func() float64) ([]string, int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	var names []string
	unused := map[string]float64{}
	for instance, ho := range pu.rows[team] {
		if instance == pu.config.Instance {
			continue
		}
		names = append(names, instance)
		unused[instance] = float64(max(1, ho.row.Granted-ho.row.Spent-ho.row.Moved))
	}
	slices.Sort(names)
	for _, name := range names {
		// An instance comes first as often as its part of what is unused.
		unused[name] *= random()
	}
	slices.SortStableFunc(names, func(aa, bb string) int { return cmp.Compare(unused[bb], unused[aa]) })
	ac := pu.account(team)
	short := max(tokens, ac.used()+tokens-ac.granted())
	if !pu.isHome(team, now) {
		return names, max(0, ac.used()+tokens-ac.granted())
	}
	return names, short + max(ac.waiting, ac.demand.perSecond(now)*borrowSeconds)
}

// Take adds tokens that a peer gave.
func (pu *Purse) Take(team string, tokens int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	ac.taken += tokens
	ac.notify()
}
