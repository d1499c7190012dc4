package quota

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// Reset takes all that the topic holds.
func (pu *Shard) Reset(now time.Duration, list []keyed.Record) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.rows = map[string]map[string]holding{}
	pu.read(now, list)
}

// Apply takes records that were appended to the topic, in their order.
func (pu *Shard) Apply(now time.Duration, list []keyed.Record) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.read(now, list)
	pu.resolve()
}

func (pu *Shard) read(now time.Duration, list []keyed.Record) {
	for _, re := range list {
		team, instance, ok := splitKey(re.Key)
		if !ok || len(re.Value) == 0 {
			continue
		}
		var row Row
		if err := record.Unmarshal(re.Value, &row); err != nil {
			// The grant of an unreadable row is unknown, so the whole total counts as granted.
			row = Row{Granted: pu.totals[team], Base: pu.totals[team]}
		}
		if pu.rows[team] == nil {
			pu.rows[team] = map[string]holding{}
		}
		pu.rows[team][instance] = holding{row: row, seenAt: now}
		if instance == pu.config.Instance {
			pu.readOwn(now, team, row)
		}
	}
}

// resolve drops the pending rows: the offset at which they were to be appended is taken.
func (pu *Shard) resolve() {
	for _, ac := range pu.accounts {
		ac.pending = nil
	}
}

// readOwn takes the row that the topic holds of this life; one that was not pending any more is taken as built now, which allows least.
func (pu *Shard) readOwn(now time.Duration, team string, row Row) {
	ac := pu.account(team)
	if row.Incarnation != pu.config.Incarnation || (ac.held != nil && ac.held.row == row) {
		return
	}
	ac.held = &term{row: row, builtAt: now}
	for _, te := range ac.pending {
		if te.row == row {
			ac.held = &te
		}
	}
	ac.notify()
}
