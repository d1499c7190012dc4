package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// Reset replaces all rows by those of a snapshot of the topic.
func (sh *Shard) Reset(now time.Duration, sn keyed.Snapshot) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.formerEra, sh.era = sh.era, sn.Era
	if sh.loadedAt == 0 {
		sh.loadedAt = now
		defer sh.recordLoaded()
	}
	if sn.Restored {
		sh.restore(now, sn.Records)
		return
	}
	sh.rows = map[string]map[string]seenRow{}
	clear(sh.pools)
	sh.apply(now, sn.Records)
	// The snapshot may be of the time before the lost rows were appended again.
	for id, row := range sh.lost {
		sh.setRow(id.team, id.instance, seenRow{row: row, seenAt: now})
	}
}

// Apply applies the records that were appended to the topic since the last call, in their order.
func (sh *Shard) Apply(now time.Duration, list []keyed.Record) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.apply(now, list)
	sh.dropPending()
}

func (sh *Shard) apply(now time.Duration, list []keyed.Record) {
	sh.applyPools(list)
	for _, re := range list {
		if instance, ok := cutKey(re.Key, statementPrefix); ok {
			sh.applyStatement(now, instance, re.Value)
			continue
		}
		if instance, ok := cutKey(re.Key, witnessPrefix); ok {
			sh.applyWitness(instance, re.Value)
			continue
		}
		team, instance, ok := splitKey(re.Key)
		if !ok || len(re.Value) == 0 {
			continue
		}
		var row Row
		if err := record.Unmarshal(re.Value, &row); err != nil {
			// The grant of an unreadable row is unknown, so the whole total counts as granted.
			row = Row{Granted: sh.totals[team], Base: sh.totals[team]}
		}
		sh.applyRow(now, rowID{team: team, instance: instance}, row)
	}
}

// applyRow applies a row that was read from the topic.
func (sh *Shard) applyRow(now time.Duration, id rowID, row Row) {
	known, ok := sh.rows[id.team][id.instance]
	lost, missing := sh.lost[id]
	switch {
	case missing && lost.newerThan(row):
		// Another instance had read less before the store came back.
		return
	case ok && known.row.Incarnation == row.Incarnation && known.row.newerThan(row):
		// An append of an earlier era was executed late.
		sh.lost[id] = known.row
		return
	case ok && row.isRewritten(known.row):
		// The instance itself has written nothing.
		sh.setRow(id.team, id.instance, seenRow{row: row, seenAt: known.seenAt, inactive: known.inactive})
	case !ok || known.row != row:
		sh.setRow(id.team, id.instance, seenRow{row: row, seenAt: sh.seenAt(now, row)})
	}
	delete(sh.lost, id)
	if id.instance == sh.config.Instance {
		sh.applyOwn(now, id.team, row)
	}
}

// dropPending removes the pending rows of this era. An append succeeds only if the topic still ends at the offset for which the rows were built.
// Since then the records just read were appended there, so pending rows that are not among them can no longer be appended.
func (sh *Shard) dropPending() {
	for _, ac := range sh.accounts {
		// A row of an earlier era may have been appended before the store came back. It stays pending until a row of this era replaces it.
		ac.pending = slices.DeleteFunc(ac.pending, func(br builtRow) bool { return !br.era.Differs(sh.era) })
	}
}

// applyOwn puts a row in force that this incarnation wrote and that was read from the topic.
//
// If the row is no longer pending, the time at which it was built is unknown. It then counts as built now, which gives the lowest ceiling.
func (sh *Shard) applyOwn(now time.Duration, team string, row Row) {
	ac := sh.account(team)
	if row.Incarnation != sh.config.Incarnation || (ac.inForce != nil && ac.inForce.row == row) || ac.adoptLowered(row) {
		return
	}
	ix := slices.IndexFunc(ac.pending, func(br builtRow) bool { return br.row == row })
	switch {
	case ix >= 0 && ac.pending[ix].era.Differs(sh.era):
		// The grant was computed from rows of an earlier era.
		return
	case ix >= 0:
		ac.putInForce(ac.pending[ix])
	case sh.restoredAt > 0:
		return
	default:
		ac.putInForce(builtRow{row: row, builtAt: now, era: sh.era})
	}
	sh.found[team] = true
	ac.notify()
}

// TakeFound returns the rows in force of the teams whose rows were put in force since the last call because they were read from the topic: the outcome of
// their appends was not known.
func (sh *Shard) TakeFound() []RowSummary {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := make([]RowSummary, 0, len(sh.found))
	for _, team := range slices.Sorted(maps.Keys(sh.found)) {
		if ac := sh.account(team); ac.inForce != nil {
			list = append(list, ac.inForce.row.summary(team))
		}
	}
	clear(sh.found)
	return list
}
