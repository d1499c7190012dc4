package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// borrowAheadSeconds sets the number of tokens that a holder borrows beyond a request: at least borrowAheadSeconds * demand.
	borrowAheadSeconds = 1
	// scarcePercent defines when a team's tokens are scarce: unused <= total * scarcePercent / 100. Borrowers then return the tokens that they
	// do not use.
	scarcePercent = 10
	// balanceDivisor divides the unused tokens of instances that are not assigned holders in the order of lenders.
	balanceDivisor = 64
	// minSurplus is the minimum size of a surplus, in tokens; sending fewer is not worth the call.
	minSurplus = 100
)

// Surplus is a number of a team's tokens to send to another instance.
type Surplus struct {
	// Team is the name of the team to which the tokens belong.
	Team string
	// Tokens is the number of tokens to send.
	Tokens int64
	// Holder is the name of the receiving instance, one of the team's holders. The sender is this instance.
	Holder string
}

// ReleaseSurpluses removes surplus tokens from the accounts and returns them, ordered by team. There are three cases:
//   - When a team's tokens are scarce, a borrower releases its unused tokens. The tokens left of its last loan are too few for its
//     next request, but those of all borrowers together may be all that the team has left.
//   - A borrower releases its balance when it closes, after some seconds without a request, and what it holds far beyond its target.
//   - While the store is unreachable, a closing instance releases all tokens up to its ceilings, because its next incarnation would
//     write them off.
//
// The caller sends each surplus to the instance Surplus.Holder, which is never one in backoff. Released tokens count as lent here. If they
// do not arrive, they are lost; they are never spent twice.
func (sh *Shard) ReleaseSurpluses(now time.Duration, storeUnreachable bool, inBackoff func(instance string) bool) []Surplus {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []Surplus
	for team := range sh.totals {
		ac := sh.account(team)
		tokens := ac.limit(now, sh.excess(team)) - ac.used()
		if tokens < minSurplus || ac.waiting > 0 {
			continue
		}
		holder, unused := sh.mostDepleted(team, now, storeUnreachable, inBackoff)
		if !sh.closing || !storeUnreachable {
			tokens = sh.unneeded(ac, now, tokens, unused)
		}
		if holder == "" || tokens < minSurplus {
			continue
		}
		ac.lent += tokens
		list = append(list, Surplus{Team: team, Tokens: tokens, Holder: holder})
	}
	slices.SortFunc(list, func(aa, bb Surplus) int { return cmp.Compare(aa.Team, bb.Team) })
	return list
}

// unneeded returns the part of a borrower's free tokens that it should return to a holder, zero for holders. The parameter unused is the
// number of the team's unused tokens in all rows.
func (sh *Shard) unneeded(ac *account, now time.Duration, free, unused int64) int64 {
	if sh.isAssigned(ac.team, now) {
		return 0
	}
	if _, ok := sh.rows[ac.team][sh.config.Instance]; sh.closing && !ok {
		// No row gives the balance back.
		return free
	}
	wb := sh.workingBalance(ac, now, free)
	wb.unused, wb.scarce = unused, unused <= sh.totals[ac.team]*scarcePercent/percent
	if wb.scarce && wb.target() == 0 {
		return free
	}
	// The tokens of a grant are moved by the next row.
	return min(wb.release(now-ac.use.reservedAt, now-ac.use.borrowedAt), ac.received-ac.lent)
}

// mostDepleted returns the holder with the fewest unused tokens of a team, or an empty name, and the sum of the unused tokens of all rows.
// Inactive and unassigned holders are considered only while the store is unreachable, since no row is renewed then.
func (sh *Shard) mostDepleted(
	team string, now time.Duration, storeUnreachable bool, inBackoff func(instance string) bool,
) (name string, sum int64) {
	least := int64(0)
	assigned := sh.assignedHolders(team, now)
	for instance, sr := range sh.rows[team] {
		unused := max(0, sr.row.Granted-sr.row.Spent-sr.row.NetLent)
		sum += unused
		inactive := now-sr.seenAt > activeSpan || !slices.Contains(assigned, instance)
		if instance == sh.config.Instance || (inactive && !storeUnreachable) || inBackoff(instance) {
			continue
		}
		if name == "" || unused < least || (unused == least && instance < name) {
			name, least = instance, unused
		}
	}
	return name, sum
}

// Lend lends up to the given number of tokens to a peer and returns the number lent, which counts as used here.
//
// overCeiling is true if fewer tokens were lent than asked for, and the grant covers the missing ones but the ceiling does not. The next row
// raises the ceiling.
func (sh *Shard) Lend(now time.Duration, team string, tokens int64) (lent int64, overCeiling bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	surplus, beyond := sh.surplus(ac, now)
	lent = max(0, min(tokens, surplus))
	if lent > 0 {
		sh.recordLoan(ac, now, lent)
	}
	return lent, lent < tokens && tokens <= beyond
}

// Lenders returns, for a request that waits, the instances from which to borrow tokens of a team, in the order in which to ask them, and the
// number of tokens to borrow in all. The parameter tokens is the size of the request.
//
// The order is random, weighted by unused tokens, so that borrowers spread over the lenders; random returns numbers from 0 to 1.
func (sh *Shard) Lenders(now time.Duration, team string, tokens int64, random func() float64) ([]string, int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	names := sh.lenders(now, team, random)
	ac := sh.account(team)
	ac.use.borrowedAt = now
	missing := max(tokens, ac.used()+tokens-ac.granted())
	if !sh.isAssigned(team, now) {
		return names, max(0, ac.used()+tokens-ac.granted())
	}
	return names, missing + max(ac.waiting, ac.demand.perSecond(now)*borrowAheadSeconds)
}

// lenders returns the instances from which to borrow tokens of a team, in the order in which to ask them; see Lenders.
func (sh *Shard) lenders(now time.Duration, team string, random func() float64) []string {
	var names []string
	unused := map[string]float64{}
	assigned := sh.assignedHolders(team, now)
	for instance, sr := range sh.rows[team] {
		if instance == sh.config.Instance {
			continue
		}
		names = append(names, instance)
		unused[instance] = float64(max(1, sr.row.Granted-sr.row.Spent-sr.row.NetLent))
		if !slices.Contains(assigned, instance) {
			// What an instance holds that is no assigned holder is the balance for its own requests.
			unused[instance] /= balanceDivisor
		}
	}
	slices.Sort(names)
	for _, name := range names {
		// The more unused tokens an instance has, the more often it comes first.
		unused[name] *= random()
	}
	slices.SortStableFunc(names, func(aa, bb string) int { return cmp.Compare(unused[bb], unused[aa]) })
	return names
}

// Receive adds tokens that a peer lent or returned; they can be spent without a new row.
func (sh *Shard) Receive(team string, tokens int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	ac.received += tokens
	ac.notify()
}
