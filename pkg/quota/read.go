package quota

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// Reset takes all that the topic holds.
func (sh *Shard) Reset(now time.Duration, list []keyed.Record) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.rows = map[string]map[string]seenRow{}
	sh.apply(now, list)
}

// Apply takes records that were appended to the topic, in their order.
func (sh *Shard) Apply(now time.Duration, list []keyed.Record) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.apply(now, list)
	sh.dropPending()
}

func (sh *Shard) apply(now time.Duration, list []keyed.Record) {
	for _, re := range list {
		team, instance, ok := splitKey(re.Key)
		if !ok || len(re.Value) == 0 {
			continue
		}
		var row Row
		if err := record.Unmarshal(re.Value, &row); err != nil {
			// The grant of an unreadable row is unknown, so the whole total counts as granted.
			row = Row{Granted: sh.totals[team], Base: sh.totals[team]}
		}
		if sh.rows[team] == nil {
			sh.rows[team] = map[string]seenRow{}
		}
		sh.rows[team][instance] = seenRow{row: row, seenAt: now}
		if instance == sh.config.Instance {
			sh.applyOwn(now, team, row)
		}
	}
}

// dropPending drops the pending rows: the offset at which they were to be appended is taken.
func (sh *Shard) dropPending() {
	for _, ac := range sh.accounts {
		ac.pending = nil
	}
}

// applyOwn takes the row that the topic holds of this life; one that was not pending any more is taken as built now, which allows least.
func (sh *Shard) applyOwn(now time.Duration, team string, row Row) {
	ac := sh.account(team)
	if row.Incarnation != sh.config.Incarnation || (ac.inForce != nil && ac.inForce.row == row) {
		return
	}
	ac.inForce = &builtRow{row: row, builtAt: now}
	for _, br := range ac.pending {
		if br.row == row {
			ac.inForce = &br
		}
	}
	ac.notify()
}
