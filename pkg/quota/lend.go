package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// borrowAheadSeconds is the demand in seconds that a holder borrows beside what is short.
	borrowAheadSeconds = 1
	// scarcePercent is the part of a total below which what is unused counts as scarce: then idle tokens of borrowers are missed elsewhere.
	scarcePercent = 10
	// minSurplus is the number of tokens below which a return is not worth a call.
	minSurplus = 100
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
func (sh *Shard) ReleaseSurpluses(now time.Duration, storeAway bool, resting func(instance string) bool) []Surplus {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []Surplus
	for team, total := range sh.totals {
		ac := sh.account(team)
		tokens := ac.limit(now, sh.excess(team)) - ac.used()
		if tokens < minSurplus || ac.waiting > 0 {
			continue
		}
		holder, unused := sh.mostDepleted(team, now, storeAway, resting)
		evacuates := sh.closing && storeAway
		returns := !sh.isAssigned(team, now) && unused <= total*scarcePercent/percent
		if holder == "" || (!evacuates && !returns) {
			continue
		}
		ac.lent += tokens
		list = append(list, Surplus{Team: team, Tokens: tokens, Holder: holder})
	}
	slices.SortFunc(list, func(aa, bb Surplus) int { return cmp.Compare(aa.Team, bb.Team) })
	return list
}

// mostDepleted returns the holder with the least unused tokens of a team, and what all of them have unused. While the store is away no row is
// renewed, so their ages say nothing.
func (sh *Shard) mostDepleted(team string, now time.Duration, storeAway bool, resting func(instance string) bool) (name string, sum int64) {
	least := int64(0)
	homes := sh.assignedHolders(team, now)
	for instance, sr := range sh.rows[team] {
		unused := max(0, sr.row.Granted-sr.row.Spent-sr.row.NetLent)
		sum += unused
		lapsed := now-sr.seenAt > activeSpan || !slices.Contains(homes, instance)
		if instance == sh.config.Instance || (lapsed && !storeAway) || resting(instance) {
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
func (sh *Shard) Lend(now time.Duration, team string, tokens int64) (given int64, capped bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	excess := sh.excess(team)
	taken := ac.used() + ac.waiting + ac.ownDemand.perSecond(now)*retainSeconds
	given = max(0, min(tokens, ac.limit(now, excess)-taken))
	if given > 0 {
		ac.lent += given
		ac.demand.add(now, given)
		ac.recordSize(given)
	}
	return given, given < tokens && taken+tokens-given <= ac.granted()-excess
}

// Lenders returns whom to ask for tokens of a team, most promising first, and how many to ask for; random spreads the askers.
func (sh *Shard) Lenders(now time.Duration, team string, tokens int64, random func() float64) ([]string, int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var names []string
	unused := map[string]float64{}
	for instance, sr := range sh.rows[team] {
		if instance == sh.config.Instance {
			continue
		}
		names = append(names, instance)
		unused[instance] = float64(max(1, sr.row.Granted-sr.row.Spent-sr.row.NetLent))
	}
	slices.Sort(names)
	for _, name := range names {
		// An instance comes first as often as its part of what is unused.
		unused[name] *= random()
	}
	slices.SortStableFunc(names, func(aa, bb string) int { return cmp.Compare(unused[bb], unused[aa]) })
	ac := sh.account(team)
	short := max(tokens, ac.used()+tokens-ac.granted())
	if !sh.isAssigned(team, now) {
		return names, max(0, ac.used()+tokens-ac.granted())
	}
	return names, short + max(ac.waiting, ac.demand.perSecond(now)*borrowAheadSeconds)
}

// Receive adds tokens that a peer gave.
func (sh *Shard) Receive(team string, tokens int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	ac.received += tokens
	ac.notify()
}
