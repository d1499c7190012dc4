package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// poolPercent is the percentage of a team's remaining tokens that all grants together may hold if the store may come back from an older copy. The
	// others are surely unspent if all instances are killed then. In a wide pool, the percentage is grantedPercent.
	poolPercent = 80
	// poolCeilingPercent takes the place of maxCeilingPercent then, since grants are smaller.
	poolCeilingPercent = 75
	// shortSpan is the demand that an unused grant covers at least; a pool that does not suffice for it becomes wide. A wide pool becomes narrow again when a
	// narrow one covers ampleSpan of the team's demand.
	shortSpan = 25 * time.Second
	ampleSpan = 60 * time.Second
	// poolDivisor sets the number of tokens that are spent until a pool is stated again: total / poolDivisor.
	poolDivisor = 50
	// poolPrefix is the prefix of the keys of the records of pools; builds that do not know them skip them.
	poolPrefix = "pool/"
)

// pool is the record of a team's pool. Without it, nothing is spent and the pool is narrow.
type pool struct {
	// Spent is what the rows stated as spent so long before that every copy of the store has it.
	Spent int64 `cbor:"1,keyasint,omitempty"`
	// Wide is set if the pool is wide, and Copied if that was so so long before that every copy of the store has it.
	Wide   bool `cbor:"2,keyasint,omitempty"`
	Copied bool `cbor:"3,keyasint,omitempty"`
}

// poolRead is what the topic said of a team's pool at a read.
type poolRead struct {
	// spent is what the rows stated as spent, and wide is set if the pool was wide.
	spent int64
	wide  bool
	// at is the time at which the read ended.
	at time.Duration
}

// mayLoseRows reports whether the store may come back from an older copy. Stores that state no era do not.
func (sh *Shard) mayLoseRows() bool { return sh.era != 0 && sh.config.CopyAge > 0 }

// poolSize returns the tokens that all grants of a team may hold together if its rows state so many as spent.
func (sh *Shard) poolSize(team string, spent int64, wide bool) int64 {
	share := int64(poolPercent)
	if wide {
		share = grantedPercent
	}
	return spent + max(0, sh.totals[team]-spent)*share/percent
}

// poolLoaded returns the pool when this instance started, or the total if the store loses nothing. The rows of earlier incarnations, also those that the store has
// lost since, allowed no more together.
func (sh *Shard) poolLoaded(team string) int64 {
	if !sh.mayLoseRows() {
		return sh.totals[team]
	}
	loaded := sh.account(team).loaded
	return sh.poolSize(team, loaded.spent, loaded.wide)
}

// poolLimit returns the pool by the rows as they are now, or the total if the store loses nothing. No rows that the store has lost allowed more together.
func (sh *Shard) poolLimit(team string) int64 {
	if !sh.mayLoseRows() {
		return sh.totals[team]
	}
	return sh.poolSize(team, sh.sumSpent(team), sh.pools[team].Wide)
}

// poolCopied returns the pool as every copy of the store has it at least: by the rows of a read that lies CopyAge back, and wide if it has been so since. If the
// store loses nothing, it is the total.
//
// The total is that of the configuration in force: the operator writes it again after a return. So a larger one is available at once.
func (sh *Shard) poolCopied(ac *account, now time.Duration) int64 {
	if !sh.mayLoseRows() {
		return sh.totals[ac.team]
	}
	return sh.poolSize(ac.team, sh.copiedSpent(ac, now), sh.isWide(ac, now))
}

// copiedSpent returns what the rows state as spent of which every copy of the store has at least as much.
func (sh *Shard) copiedSpent(ac *account, now time.Duration) int64 {
	spent := sh.pools[ac.team].Spent
	for _, re := range ac.poolReads {
		if now-re.at < sh.config.CopyAge {
			break
		}
		spent = max(spent, re.spent)
	}
	return spent
}

// isWide reports whether the pool is wide in every copy of the store.
func (sh *Shard) isWide(ac *account, now time.Duration) bool {
	switch po := sh.pools[ac.team]; {
	case po.Wide && po.Copied:
		return true
	case !po.Wide, len(ac.poolReads) == 0, now-ac.poolReads[0].at < sh.config.CopyAge:
		return false
	}
	first := 0
	for ix, re := range ac.poolReads {
		if now-re.at >= sh.config.CopyAge {
			first = ix
		}
	}
	return !slices.ContainsFunc(ac.poolReads[first:], func(re poolRead) bool { return !re.wide })
}

// recordPools records what the topic says of the pools, as of a read that ended at the given time. Rows that the store has lost say nothing of its content.
func (sh *Shard) recordPools(now time.Duration) {
	if !sh.mayLoseRows() || len(sh.lost) > 0 {
		return
	}
	for team := range sh.totals {
		ac := sh.account(team)
		for len(ac.poolReads) > 1 && now-ac.poolReads[1].at >= sh.config.CopyAge {
			ac.poolReads = ac.poolReads[1:]
		}
		re := poolRead{spent: sh.sumSpent(team), wide: sh.pools[team].Wide, at: now}
		if last := len(ac.poolReads) - 1; last < 0 || ac.poolReads[last].spent != re.spent || ac.poolReads[last].wide != re.wide {
			ac.poolReads = append(ac.poolReads, re)
		}
	}
}

// forgetPools drops the reads of what the store may have lost. It has come back after the last read of the former era.
func (sh *Shard) forgetPools() {
	for _, ac := range sh.accounts {
		for last := len(ac.poolReads) - 1; last >= 0 && ac.poolReads[last].at > sh.readAt-sh.config.CopyAge; last-- {
			ac.poolReads = ac.poolReads[:last]
		}
	}
}

// recordLoaded records what the first snapshot says of the pools.
func (sh *Shard) recordLoaded() {
	for team := range sh.rows {
		sh.account(team).loaded = poolRead{spent: sh.sumSpent(team), wide: sh.pools[team].Wide}
	}
}

func (sh *Shard) sumSpent(team string) int64 {
	sum := int64(0)
	for _, sr := range sh.rows[team] {
		sum += sr.row.Spent
	}
	return sum
}

// duePool returns the record of a team's pool that this instance should append now, and false if there is none.
func (sh *Shard) duePool(ac *account, now time.Duration) (pool, bool) {
	if !sh.mayLoseRows() || sh.closing || ac.inForce == nil {
		return pool{}, false
	}
	next, stored := sh.nextPool(ac, now), sh.pools[ac.team]
	return next, next.Wide != stored.Wide || next.Copied != stored.Copied || next.Spent-stored.Spent > sh.totals[ac.team]/poolDivisor
}

// nextPool returns the record of a team's pool as this instance would write it now.
//
// What is granted from a wide pool must never exceed one that a copy has as narrow. So a wide pool is used only when every copy has it as wide, and it becomes
// narrow only when the grants in the topic fit into a narrow one, and all rows are known to be the newest ones.
func (sh *Shard) nextPool(ac *account, now time.Duration) pool {
	spent := sh.copiedSpent(ac, now)
	if !sh.pools[ac.team].Wide {
		return pool{Spent: spent, Wide: sh.poolShort(ac, now)}
	}
	if sh.sumGranted(ac.team) <= sh.poolSize(ac.team, spent, false) && sh.poolAmple(ac, now) && sh.allNewest(ac.team) {
		return pool{Spent: spent}
	}
	return pool{Spent: spent, Wide: true, Copied: sh.isWide(ac, now)}
}

// addPools adds the records of pools that are due to a batch.
func (sh *Shard) addPools(ba *Batch, now time.Duration) error {
	for _, team := range slices.Sorted(maps.Keys(sh.totals)) {
		next, due := sh.duePool(sh.account(team), now)
		if !due {
			continue
		}
		data, err := record.Marshal(next)
		if err != nil {
			return err
		}
		re := keyed.Record{Key: poolPrefix + team, Value: data}
		ba.Records = append(ba.Records, re)
		ba.pools = append(ba.pools, re)
	}
	return nil
}

// poolShort reports whether the pool leaves too little to this instance.
func (sh *Shard) poolShort(ac *account, now time.Duration) bool {
	if !sh.isAssigned(ac.team, now) || sh.sumGranted(ac.team) < sh.poolSize(ac.team, sh.copiedSpent(ac, now), false)*poolPercent/percent {
		return false
	}
	return ac.waiting > 0 || ac.granted()-ac.used() < tokensIn(ac.demand.perSecond(now), shortSpan)
}

// poolAmple reports whether a narrow pool suffices for the team's demand.
func (sh *Shard) poolAmple(ac *account, now time.Duration) bool {
	demand := ac.demand.perSecond(now)
	for instance, sr := range sh.rows[ac.team] {
		if instance != sh.config.Instance && now-sr.seenAt <= activeSpan {
			demand += sr.row.Demand
		}
	}
	return ac.waiting == 0 && (sh.totals[ac.team]-sh.sumSpent(ac.team))*poolPercent/percent > tokensIn(demand, ampleSpan)
}

// allNewest reports whether all rows of a team are the newest ones of their instances.
func (sh *Shard) allNewest(team string) bool {
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance && !sh.isNewest(instance, sr) {
			return false
		}
	}
	return true
}

// applyPools applies those records that are of pools.
func (sh *Shard) applyPools(list []keyed.Record) {
	for _, re := range list {
		team, ok := cutKey(re.Key, poolPrefix)
		if !ok {
			continue
		}
		var po pool
		if record.Unmarshal(re.Value, &po) != nil {
			po = pool{}
		}
		sh.pools[team] = po
	}
}

// ceilingPercent returns the percentage of the unused grant that the highest ceiling of a row may reach.
func (sh *Shard) ceilingPercent(ac *account, now time.Duration) int64 {
	if sh.mayLoseRows() && !sh.isWide(ac, now) {
		return poolCeilingPercent
	}
	return maxCeilingPercent
}

// sharedPercent returns the percentage of a team's remaining tokens that is granted in advance.
func (sh *Shard) sharedPercent(ac *account, now time.Duration) int64 {
	if sh.mayLoseRows() && (!sh.isWide(ac, now) || sh.poolAmple(ac, now)) {
		return poolPercent
	}
	return grantedPercent
}
