package quota

import (
	"maps"
	"slices"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// claims returns the rows that raise the grants of absent instances to what they may hold by rows that the store has lost and that nobody has read, or that
// others have read in part. They are appended together with the statements of these instances, since grants may be raised from then on.
//
// All grants in the lost rows lay within the pool. So the absent instances together hold at most what the others do not hold of it, and one of them gets the
// claim to all of that.
func (sh *Shard) claims(absent map[string]statement) ([]keyed.Record, error) {
	var list []keyed.Record
	for _, team := range slices.Sorted(maps.Keys(sh.totals)) {
		instance, tokens := sh.claim(team, absent)
		if tokens <= 0 {
			continue
		}
		row := sh.rows[team][instance].row
		row.Granted += tokens
		re, err := encodeRow(team, instance, row)
		if err != nil {
			return nil, err
		}
		list = append(list, re)
	}
	return list, nil
}

// claim returns the absent instance that gets the claim of a team, and the tokens that its grant lacks.
func (sh *Shard) claim(team string, absent map[string]statement) (string, int64) {
	for _, instance := range slices.Sorted(maps.Keys(sh.rows[team])) {
		if _, ok := absent[instance]; ok {
			return instance, sh.poolLimit(team) - sh.sumGranted(team)
		}
	}
	return "", 0
}

// claimDue reports whether an instance has not stated its rows in the present era, and others have not done so in its stead.
func (sh *Shard) claimDue(team, instance string) bool {
	_, limited := sh.totals[team]
	return limited && sh.statements[instance].Era != int64(sh.era)
}

// isRewritten reports whether the row is another one of the same instance in which others have changed the grant.
func (ro Row) isRewritten(other Row) bool {
	return ro != other && ro.Incarnation == other.Incarnation && ro.Boot == other.Boot && ro.Wall == other.Wall && ro.Spent == other.Spent
}
