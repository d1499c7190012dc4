package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// borrowSeconds is the demand in seconds that a holder borrows beside what is short.
	borrowSeconds = 1
	// scarcePercent is the part of a total below which what is unused counts as scarce: then idle tokens of borrowers are missed elsewhere.
	scarcePercent = 10
	// leastSurplus is the number of tokens below which a return is not worth a call.
	leastSurplus = 100
)

// Surplus is what an instance has of a team's tokens that should go to another holder.
type Surplus struct {
	Team   string
	Tokens int64
	Holder string
}

// ReleaseSurpluses takes out of the accounts what other holders can use better: what this instance borrowed and does not need while a team is
// scarce, and, once it is closing and the store away, all that its ceilings let it move. Holders that are resting get nothing.
//
// It answers two loads. Near a team's end each borrower keeps what its last request left over, too little for the next one there, and
// together as much as the team still has. And of an instance that stops in an outage, the next life writes off all that its ceiling
// allowed. What is taken out counts as given away; if it does not arrive it is lost, never doubled.
func (pu *Shard) ReleaseSurpluses(now time.Duration, storeAway bool, resting func(instance string) bool) []Surplus {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	var list []Surplus
	for team, total := range pu.totals {
		ac := pu.account(team)
		tokens := ac.limit(now, pu.excess(team)) - ac.used()
		if tokens < leastSurplus || ac.waiting > 0 {
			continue
		}
		holder, unused := pu.emptiest(team, now, storeAway, resting)
		evacuates := pu.closing && storeAway
		returns := !pu.isHome(team, now) && unused <= total*scarcePercent/percent
		if holder == "" || (!evacuates && !returns) {
			continue
		}
		ac.given += tokens
		list = append(list, Surplus{Team: team, Tokens: tokens, Holder: holder})
	}
	slices.SortFunc(list, func(aa, bb Surplus) int { return cmp.Compare(aa.Team, bb.Team) })
	return list
}

// emptiest returns the holder with the least unused tokens of a team, and what all of them have unused. While the store is away no row is
// renewed, so their ages say nothing.
func (pu *Shard) emptiest(team string, now time.Duration, storeAway bool, resting func(instance string) bool) (name string, sum int64) {
	least := int64(0)
	homes := pu.homes(team, now)
	for instance, ho := range pu.rows[team] {
		unused := max(0, ho.row.Granted-ho.row.Spent-ho.row.NetLent)
		sum += unused
		lapsed := now-ho.seenAt > aliveSpan || !slices.Contains(homes, instance)
		if instance == pu.config.Instance || (lapsed && !storeAway) || resting(instance) {
			continue
		}
		if name == "" || unused < least || (unused == least && instance < name) {
			name, least = instance, unused
		}
	}
	return name, sum
}

// Lend moves up to the given tokens out of the grant to a peer and returns how many; they count as spent here.
//
// Capped reports that the grant would cover more than the ceiling does, which the next row lifts.
func (pu *Shard) Lend(now time.Duration, team string, tokens int64) (given int64, capped bool) {
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
func (pu *Shard) Lenders(now time.Duration, team string, tokens int64, random func() float64) ([]string, int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	var names []string
	unused := map[string]float64{}
	for instance, ho := range pu.rows[team] {
		if instance == pu.config.Instance {
			continue
		}
		names = append(names, instance)
		unused[instance] = float64(max(1, ho.row.Granted-ho.row.Spent-ho.row.NetLent))
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

// Receive adds tokens that a peer gave.
func (pu *Shard) Receive(team string, tokens int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	ac.taken += tokens
	ac.notify()
}
