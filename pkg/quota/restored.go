package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// statementPrefix is the prefix of the keys of statements.
	statementPrefix = "era/"
	// witnessPrefix is the prefix of the keys of witness records; builds that do not know them skip them.
	witnessPrefix = "seen/"
	// minSettleTime is the time after a return of the store in which no grant is raised. In it, the instances that reach the store state their
	// rows again, also those that the others do not know of.
	minSettleTime = 1500 * time.Millisecond
	// maxSettleTime is the time after which an instance that has not stated its rows counts as gone, so that grants are raised without it.
	maxSettleTime = activeSpan
	// restateDelay is the time after which an instance appends the lost rows of others; by then those that are alive have stated theirs.
	restateDelay = 700 * time.Millisecond
	// recallTime is how long an instance without a statement of the present era waits for others to append the lost rows of its earlier incarnation.
	recallTime = 2500 * time.Millisecond
	// maxWitnessAge is the time since its last read of the topic up to which an instance knows the rows from before a return. It exceeds the
	// length of an outage.
	maxWitnessAge = 15 * time.Second
)

// statement is the record in which an instance says that its rows in the topic are its newest ones, as the store has them in the given era.
//
// As a witness record, it says the same of another instance's rows, as far as an instance knows that was up when the store returned.
type statement struct {
	// Era is the era of the store.
	Era int64 `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the instance that wrote the rows.
	Incarnation int64 `cbor:"2,keyasint"`
	// Absent is set if other instances made the statement, since the instance did not make it in time. It may then have appended newer rows that the store
	// has lost and that nobody has read.
	Absent bool `cbor:"3,keyasint,omitempty"`
}

// rowID identifies a row in the topic.
type rowID struct {
	team     string
	instance string
}

// newerThan reports whether the row was built after another row of the same team and instance.
func (ro Row) newerThan(other Row) bool {
	if ro.Incarnation != other.Incarnation {
		return ro.Incarnation > other.Incarnation
	}
	return ro.Boot > other.Boot
}

// own returns the statement that this instance makes in the present era.
func (sh *Shard) own() statement {
	return statement{Era: int64(sh.era), Incarnation: sh.config.Incarnation}
}

// stated reports whether this instance has stated its rows in the present era, or need not because the store states no era.
func (sh *Shard) stated() bool {
	return sh.era == 0 || sh.statements[sh.config.Instance] == sh.own()
}

// restore begins a new era. Rows that were read or appended before and that the snapshot lacks stay in force, and are appended again.
func (sh *Shard) restore(now time.Duration, list []keyed.Record) {
	known := sh.rows
	newest := time.Duration(0)
	for _, rows := range known {
		for _, sr := range rows {
			newest = max(newest, sr.seenAt)
		}
	}
	sh.restoredAt = now
	sh.rememberCertain(now)
	sh.forgetPools()
	sh.rows = map[string]map[string]seenRow{}
	sh.statements, sh.witnesses = map[string]statement{}, map[string]statement{}
	sh.lost = map[rowID]Row{}
	clear(sh.pools)
	sh.apply(now, list)
	for team, rows := range known {
		for instance, sr := range rows {
			present, ok := sh.rows[team][instance]
			switch {
			case ok && present.row == sr.row:
				sr.inactive = newest-sr.seenAt > activeSpan
				sh.rows[team][instance] = sr
			case !ok || !present.row.newerThan(sr.row):
				sh.setRow(team, instance, sr)
				sh.lost[rowID{team: team, instance: instance}] = sr.row
			}
		}
	}
	for _, ac := range sh.accounts {
		ac.notify()
	}
	sh.signalUrgent()
}

// LostRows returns the number of rows that the store has lost and that are not appended again yet.
func (sh *Shard) LostRows() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.lost)
}

// rememberCertain records whose newest rows this instance knew at the end of an era: of the instances that had stated them in it, and of those of
// which it, or another witness, knew them from the era before. The caller has set the new era.
func (sh *Shard) rememberCertain(now time.Duration) {
	if now-sh.readAt > maxWitnessAge {
		clear(sh.remembered)
		return
	}
	for _, list := range []map[string]statement{sh.statements, sh.witnesses} {
		for instance, st := range list {
			if st.Era == int64(sh.formerEra) {
				sh.remembered[instance] = true
			}
		}
	}
}

// certain reports whether a row is known to be the newest of its instance.
func (sh *Shard) certain(instance string, sr seenRow) bool {
	st := sh.statements[instance]
	return sr.inactive || (st.Era == int64(sh.era) && st.Incarnation == sr.row.Incarnation)
}

// settled reports whether grants of a team may be raised: the sum of the grants is known again since the store last came back from an older copy.
func (sh *Shard) settled(team string, now time.Duration) bool {
	since := now - sh.restoredAt
	switch {
	case sh.restoredAt == 0:
		return true
	case since < minSettleTime:
		return false
	}
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance && !sh.certain(instance, sr) && (since < maxSettleTime || sh.claimDue(team, instance)) {
			return false
		}
	}
	return true
}

// recalling reports whether an instance without a row in force still waits for others to append the lost rows of its earlier incarnation. Until
// then it does not know what that one has used. A copy may be older than the first row and statement of that one, and then does not show that the store
// has returned; so any instance waits that the topic says nothing of, unless the fleet starts for the first time.
func (sh *Shard) recalling(ac *account, now time.Duration) bool {
	own, known := sh.statements[sh.config.Instance]
	if ac.inForce != nil || sh.era == 0 || own.Era == int64(sh.era) || (sh.config.FirstStart && !known && sh.restoredAt == 0) {
		return false
	}
	return now-max(sh.loadedAt, sh.restoredAt) < recallTime
}

// recallingAny reports whether this instance still waits for the row of any team.
func (sh *Shard) recallingAny(now time.Duration) bool {
	for team := range sh.totals {
		if sh.recalling(sh.account(team), now) {
			return true
		}
	}
	return false
}

// outdated reports whether a row of an earlier incarnation of this instance may not be the newest one: it was last stated in another era, or by others. A row
// without an incarnation stands for one that is not in the topic.
func (sh *Shard) outdated(row Row) bool {
	st, ok := sh.statements[sh.config.Instance]
	if row.Incarnation == sh.config.Incarnation || st.Incarnation == sh.config.Incarnation {
		return false
	}
	if st.Absent && row.Incarnation == st.Incarnation {
		return true
	}
	if sh.restoredAt == 0 {
		return false
	}
	if row.Incarnation == 0 {
		return ok && st.Era != int64(sh.era)
	}
	return st.Era != int64(sh.era) || st.Incarnation != row.Incarnation
}

// witnessed reports whether an instance that was up when the store returned knew the rows of an earlier incarnation of this instance.
func (sh *Shard) witnessed() bool { return sh.witnesses[sh.config.Instance].Era == int64(sh.era) }

// outdatedUse returns what an earlier incarnation may have used if its row is outdated: all of the pool that the other instances do not hold. Later rows may
// have raised its grant and its ceiling, also beyond the rates of the row, since a ceiling is raised for requests that wait; and what it appended after the
// last read of the others is known to nobody.
func (sh *Shard) outdatedUse(team string, row Row) int64 {
	others := sh.sumGranted(team) - row.Granted
	return max(row.Granted, sh.poolLoaded(team)-others)
}

// Takeover is what this instance takes over from its earlier incarnations for one team, in tokens.
type Takeover struct {
	// Team is the name of the team.
	Team string `json:"team"`
	// Spent counts as spent; InTopic is the number that the row in the store states as spent.
	Spent   int64 `json:"spent"`
	InTopic int64 `json:"inTopic"`
	// WrittenOff is the part of Spent that the row does not state, and that this takeover writes off.
	WrittenOff int64 `json:"lost"`
	// Lent is what counts as lent to peers, less what was received from them.
	Lent int64 `json:"lent,omitempty"`
	// Age is the time from the row to the start of this incarnation, in milliseconds; it is negative if the clocks do not tell.
	Age int64 `json:"age"`
	// Outdated reports whether the store may have lost newer rows, and Witnessed whether another instance knew them then.
	Outdated  bool `json:"outdated,omitempty"`
	Witnessed bool `json:"witnessed,omitempty"`
}

// recordTakeover keeps a takeover for TakeTakeovers if it writes off tokens or the row may be outdated. One of the same team that was not taken yet is replaced: a newer row of the earlier incarnation
// was read after it.
func (sh *Shard) recordTakeover(ta Takeover) {
	if ta.WrittenOff == 0 && !ta.Outdated {
		return
	}
	sh.takeovers = slices.DeleteFunc(sh.takeovers, func(other Takeover) bool { return other.Team == ta.Team })
	sh.takeovers = append(sh.takeovers, ta)
}

// TakeTakeovers returns the takeovers since the last call.
func (sh *Shard) TakeTakeovers() []Takeover {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := sh.takeovers
	sh.takeovers = nil
	return list
}

// restatements returns the records that state rows: the rows that the store has lost, the statements of this instance and of those that count as
// gone, and the witness records. The batch must contain all other rows of this instance.
func (sh *Shard) restatements(now time.Duration) ([]keyed.Record, error) {
	var list []keyed.Record
	for _, id := range slices.SortedFunc(maps.Keys(sh.lost), compareRowIDs) {
		_, limited := sh.totals[id.team]
		ownRow := id.instance == sh.config.Instance
		if (ownRow && limited) || (!ownRow && now-sh.restoredAt < restateDelay) {
			continue
		}
		re, err := encodeRow(id.team, id.instance, sh.lost[id])
		if err != nil {
			return nil, err
		}
		list = append(list, re)
	}
	statements := map[string]statement{}
	if sh.restoredAt > 0 && now-sh.restoredAt >= maxSettleTime {
		statements = sh.absentStatements()
		claims, err := sh.claims(statements)
		if err != nil {
			return nil, err
		}
		list = append(list, claims...)
	}
	if !sh.stated() && !sh.recallingAny(now) {
		statements[sh.config.Instance] = sh.own()
	}
	list, err := appendStatements(list, statementPrefix, statements)
	if err != nil || !sh.restated(now) {
		return list, err
	}
	return appendStatements(list, witnessPrefix, sh.dueWitnesses())
}

// appendStatements appends the records of the statements to the list, with the given prefix of their keys.
func appendStatements(list []keyed.Record, prefix string, statements map[string]statement) ([]keyed.Record, error) {
	for _, instance := range slices.Sorted(maps.Keys(statements)) {
		data, err := record.Marshal(statements[instance])
		if err != nil {
			return nil, err
		}
		list = append(list, keyed.Record{Key: prefix + instance, Value: data})
	}
	return list, nil
}

// restated reports whether the instances that are alive have had the time to state their rows since the store returned.
func (sh *Shard) restated(now time.Duration) bool {
	return sh.restoredAt > 0 && now-sh.restoredAt >= restateDelay
}

// dueWitnesses returns the witness records that this instance owes: of all instances that have not stated their rows in the present era, if it knew
// them at the end of the one before.
func (sh *Shard) dueWitnesses() map[string]statement {
	due := map[string]statement{}
	for instance := range sh.remembered {
		if instance != sh.config.Instance && sh.statements[instance].Era != int64(sh.era) && sh.witnesses[instance].Era != int64(sh.era) {
			due[instance] = statement{Era: int64(sh.era), Incarnation: sh.statements[instance].Incarnation}
		}
	}
	return due
}

// restatementDue reports whether restatements are to be appended even if no row of this instance is due.
func (sh *Shard) restatementDue(now time.Duration) bool {
	if !sh.restated(now) {
		return false
	}
	return len(sh.lost) > 0 || len(sh.dueWitnesses()) > 0 || (now-sh.restoredAt >= maxSettleTime && len(sh.absentStatements()) > 0)
}

// absentStatements returns the statements of the instances that have not stated their rows in the present era.
func (sh *Shard) absentStatements() map[string]statement {
	absent := map[string]statement{}
	for _, rows := range sh.rows {
		for instance, sr := range rows {
			st := statement{Era: int64(sh.era), Incarnation: sr.row.Incarnation, Absent: true}
			if instance != sh.config.Instance && sh.statements[instance].Era != st.Era &&
				st.Incarnation >= absent[instance].Incarnation {
				absent[instance] = st
			}
		}
	}
	return absent
}

// applyWitness applies a witness record.
func (sh *Shard) applyWitness(instance string, data []byte) {
	var st statement
	if record.Unmarshal(data, &st) != nil {
		// The record says nothing, so the rows of the instance may be older than those that it last had.
		delete(sh.witnesses, instance)
		return
	}
	sh.witnesses[instance] = st
}

// applyStatement applies the record of a statement.
func (sh *Shard) applyStatement(now time.Duration, instance string, data []byte) {
	var st statement
	if err := record.Unmarshal(data, &st); err != nil {
		// The statement says nothing, so the rows of the instance are not known to be its newest ones.
		delete(sh.statements, instance)
		return
	}
	sh.statements[instance] = st
	if st.Era != int64(sh.era) && sh.restoredAt == 0 {
		// The store returned before this instance started, and not all others have stated their rows since.
		sh.restoredAt = now
	}
}

func (sh *Shard) setRow(team, instance string, sr seenRow) {
	if sh.rows[team] == nil {
		sh.rows[team] = map[string]seenRow{}
	}
	sh.rows[team][instance] = sr
}

// cutKey returns the instance of a record whose key has the given prefix, and false for the keys of other records.
func cutKey(key, prefix string) (string, bool) {
	instance, ok := strings.CutPrefix(key, prefix)
	return instance, ok && instance != ""
}

func compareRowIDs(aa, bb rowID) int {
	return cmp.Or(strings.Compare(aa.instance, bb.instance), strings.Compare(aa.team, bb.team))
}
