package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// lostSpan is the age of its last row from which an instance may be lost for good, in which the topic must have been read all the time. Rows are
	// renewed every renewInterval.
	lostSpan = 6 * time.Second
	// longLostSpan is the age from which tokens are taken back also from instances that hold less than lostPercent of what a team has left. It exceeds
	// the usual length of a cut, after which an instance goes on with the grant that it had.
	longLostSpan = 15 * time.Second
	lostPercent  = 50
	// maxReadGap is the longest time between two reads of the topic that counts as reading it all the time.
	maxReadGap = 1600 * time.Millisecond
	// minReclaimDivisor sets the number of tokens from which on taking them back is worth an append: total / minReclaimDivisor.
	minReclaimDivisor = 200
)

// Reclaim is the part of the grant of an instance that it can never use without a further row, and that is taken back after the instance has been silent.
type Reclaim struct {
	// Team is the name of the team.
	Team string `json:"team"`
	// Instance is the name of the silent instance.
	Instance string `json:"instance"`
	// Granted is its grant from now on, and Tokens the number of tokens taken back.
	Granted int64 `json:"granted"`
	Tokens  int64 `json:"tokens"`
	// Silent is the time since the row of the instance was read, in milliseconds.
	Silent int64 `json:"silent"`
	// row is the row that replaces the one of the silent instance.
	row Row
}

// reach returns the maximum number of tokens that the instance may use under the row, however much time passes. More needs a further row, for which it has
// to read the topic first.
func (ro Row) reach() int64 {
	if ro.MaxCeiling <= 0 {
		return ro.Granted
	}
	return min(ro.Granted, ro.MaxCeiling)
}

// lowered returns the row with a grant of what the instance may still use under it.
func (ro Row) lowered() Row {
	ro.Granted = ro.reach()
	ro.Need, ro.Demand, ro.OwnDemand = 0, 0, 0
	return ro
}

// isLowered reports whether the row is another one that was lowered.
func (ro Row) isLowered(other Row) bool { return ro != other && ro == other.lowered() }

// recordRead records that the topic was read to its end.
func (sh *Shard) recordRead(now time.Duration) {
	if now-sh.readAt > maxReadGap {
		sh.readingSince = now
	}
	sh.readAt = now
	sh.recordPools(now)
}

// reclaims returns the grants to lower now, ordered by team and instance.
//
// An instance that is lost for good and one that is cut off look the same, and the latter goes on spending. So only what neither can spend is taken back: the
// part of the grant beyond the highest ceiling of the row. An instance that comes back reads the lowered row before it can append another.
func (sh *Shard) reclaims(now time.Duration) []Reclaim {
	if sh.closing {
		return nil
	}
	var list []Reclaim
	for _, team := range slices.Sorted(maps.Keys(sh.totals)) {
		list = append(list, sh.reclaimsOf(team, now)...)
	}
	return list
}

func (sh *Shard) reclaimsOf(team string, now time.Duration) []Reclaim {
	total := sh.totals[team]
	var list []Reclaim
	held := int64(0)
	longLost := false
	for instance, sr := range sh.rows[team] {
		silent := now - max(sr.seenAt, sh.readingSince)
		if instance == sh.config.Instance || silent < lostSpan || !sh.isNewest(instance, sr) {
			continue
		}
		held += max(0, sr.row.Granted-sr.row.statedUse())
		if tokens := sr.row.Granted - sr.row.reach(); tokens > total/minReclaimDivisor {
			longLost = longLost || silent >= longLostSpan
			list = append(list, Reclaim{Team: team, Instance: instance, Granted: sr.row.reach(), Tokens: tokens, Silent: silent.Milliseconds(), row: sr.row.lowered()})
		}
	}
	if len(list) == 0 || (!longLost && held < sh.leftover(team).remaining*lostPercent/percent) || !sh.isAssigned(team, now) {
		return nil
	}
	slices.SortFunc(list, func(aa, bb Reclaim) int {
		return compareRowIDs(rowID{team: aa.Team, instance: aa.Instance}, rowID{team: bb.Team, instance: bb.Instance})
	})
	return list
}

// isNewest reports whether a row is the newest one of its instance: no return of the store can have taken a newer one. What others state of an instance that is
// absent does not show it.
func (sh *Shard) isNewest(instance string, sr seenRow) bool {
	return sh.restoredAt == 0 || (sh.certain(instance, sr) && !sh.statements[instance].Absent)
}

// addReclaims adds the grants to lower to a batch.
func (sh *Shard) addReclaims(ba *Batch, now time.Duration) error {
	for _, re := range sh.reclaims(now) {
		rc, err := encodeRow(re.Team, re.Instance, re.row)
		if err != nil {
			return err
		}
		ba.Records = append(ba.Records, rc)
		ba.Reclaims = append(ba.Reclaims, re)
	}
	return nil
}

// confirmReclaims applies the lowered grants of a batch that was appended.
func (sh *Shard) confirmReclaims(now time.Duration, list []Reclaim) {
	for _, re := range list {
		sh.applyRow(now, rowID{team: re.Team, instance: re.Instance}, re.row)
	}
	if len(list) > 0 {
		sh.signalUrgent()
	}
}

// adoptLowered lowers the grant of the row in force if others have lowered it in the topic, and reports whether they have.
func (ac *account) adoptLowered(row Row) bool {
	if ac.inForce == nil || !row.isLowered(ac.inForce.row) {
		return false
	}
	ac.inForce.row.Granted = row.Granted
	return true
}

// seenAt returns the time that counts as the one at which a row was written that is read now. Rows of the first snapshot that are older by the wall clock than
// any difference between clocks are those of instances that were silent before this one started.
func (sh *Shard) seenAt(now time.Duration, row Row) time.Duration {
	if sh.loadedAt != now {
		return now
	}
	age := time.Duration(sh.startStamp.Wall.UnixMilli()-row.Wall)*time.Millisecond - maxClockStep
	return now - max(0, min(age, longLostSpan))
}
