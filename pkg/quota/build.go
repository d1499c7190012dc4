package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	// ceilingDelay is the time from building a row until the ceiling of the row starts to rise, unless a new row replaces the row. The
	// ceiling rises so that the instance can use more of its grant while it cannot append rows. The delay exceeds the time in which a
	// killed process restarts, so that at most the slack is lost then (see maxLossPercent). At 2 s more is lost after a restart that takes
	// 3 s, and no fewer requests are refused in an outage of the store.
	ceilingDelay = 2400 * time.Millisecond
	// ceilingRatePercent sets the rate at which a ceiling rises: demand * ceilingRatePercent / 100, or more if demand is low (idleRateDivisor).
	ceilingRatePercent = 125
	// burstDelay is the time from building a row until its ceiling rises faster, unless a new row replaces it. A machine that lost power has
	// restarted by then if its teams are in use, since their rows are less than a second old. A longer time without a new row means an outage
	// of the store, in which bursts must be served; the lower slack needs an earlier burst rate than 5 s, or more of a surge is refused.
	burstDelay = 3700 * time.Millisecond
	// burstRatePercent is the additional rate at which a ceiling rises after burstDelay, in percent of the current demand.
	burstRatePercent = 300
	// slackPercent sets the part of a row's slack that depends on demand: demand * ceilingDelay * slackPercent / 100. The slack is the
	// initial ceiling of the row (Base) less the tokens used when it is built.
	slackPercent = 120
	// maxLossPercent bounds the slack to (granted - used) * maxLossPercent / 100, plus the tokens that requests wait for. The slack is what a
	// team loses when all instances are killed and restart within ceilingDelay. With 4.5 percent, TestReplay refuses too many requests in an
	// outage of the store.
	maxLossPercent = 5
	// silentSpan, minCeilingPercent and maxCeilingPercent set the highest ceiling of a row, which an instance can reach without a further row:
	// MaxCeiling = used + demand * silentSpan, but at least the slack and minCeilingPercent and at most maxCeilingPercent of the unused grant, with the
	// tokens used when the row is built. It covers a long outage of the store. What is above it is never written off and can be taken back, so the
	// team keeps it even if the instance that holds the grant is lost for good.
	silentSpan        = 25 * time.Second
	minCeilingPercent = 15
	maxCeilingPercent = 60
	// slackRequests is the number of requests of average size that the slack covers in addition to the demand.
	slackRequests = 2
	// retainSeconds sets the number of tokens that a lender does not lend: retainSeconds * its own demand (Row.OwnDemand).
	retainSeconds = 1
	// activeSpan is the time for which an instance counts as active after its last row; rows are renewed every renewInterval.
	activeSpan = 8 * time.Second
	// renewInterval is the age at which a row is written again even if nothing has changed.
	renewInterval = 3 * time.Second
	// renewSlackPercent makes a new row due when Base - used, the unused part of the initial ceiling, is too small. The limit is
	// renewSlackPercent of the value that Base - used would have with the new row.
	renewSlackPercent = 75
	// equalSharePercent is the percentage of a team's remaining tokens that is divided equally among its holders, because demand moves between
	// instances. The remaining percentage is divided in proportion to demand.
	equalSharePercent = 35
	// startupSpan is the time after the start during which instances might not have discovered each other yet.
	startupSpan = 3 * time.Second
	// startupHolders is the minimum number of holders that an instance assumes during startupSpan.
	startupHolders = 8
	// toleranceDivisor sets the tolerance for changes of the grant and of the tokens spent. A new row is due when one of them has changed by
	// more than Granted / toleranceDivisor of the row in force.
	toleranceDivisor = 12
	// idleSlackDivisor and idleRateDivisor set minimums that also hold without demand: the minimum slack, (granted - used) / idleSlackDivisor
	// tokens, and the minimum rate at which the ceiling rises, (granted - used) / idleRateDivisor tokens a second. Teams with much left for
	// their demand lose these when all instances are killed: with 30 for both, 3 to 4 percent of what is left instead of 2.
	idleSlackDivisor = 50
	idleRateDivisor  = 50
	percent          = 100
	// grantedPercent is the percentage of a team's remaining tokens that is granted in advance; the other tokens are kept for sudden
	// demand.
	grantedPercent = 97
)

// Batch is a set of rows to append together.
type Batch struct {
	// Records are the encoded rows.
	Records []keyed.Record
	// Reclaims are the grants of silent instances that the rows lower.
	Reclaims []Reclaim
	// pools are the records of pools.
	pools []keyed.Record
	// teams and built are the teams of the rows and the rows themselves, in the order of Records.
	teams []string
	built []builtRow
}

// RowSummary describes one row of a batch in log messages. Team is the name of the team; the other fields are those of the same name in Row.
// Rate is in tokens a second, the other amounts are in tokens.
type RowSummary struct {
	Team       string `json:"team"`
	Granted    int64  `json:"granted"`
	Spent      int64  `json:"spent"`
	WrittenOff int64  `json:"lost,omitempty"`
	Base       int64  `json:"base"`
	Rate       int64  `json:"rate"`
	Need       int64  `json:"need,omitempty"`
}

// Summary returns a short form of each row of the batch, for log messages.
func (ba Batch) Summary() []RowSummary {
	list := make([]RowSummary, 0, len(ba.built))
	for ix, br := range ba.built {
		list = append(list, br.row.summary(ba.teams[ix]))
	}
	return list
}

func (ro Row) summary(team string) RowSummary {
	return RowSummary{
		Team: team, Granted: ro.Granted, Spent: ro.Spent, WrittenOff: ro.WrittenOff, Base: ro.Base, Rate: ro.Rate, Need: ro.Need,
	}
}

// Empty reports whether there is nothing to append.
func (ba Batch) Empty() bool { return len(ba.Records) == 0 }

// Build returns the rows that are due. They must be appended at the offset up to which the topic was read, or not at all.
//
// The caller then calls Confirm if the rows were appended, or Discard if they were not. If it does not know, it calls neither, and the rows
// stay pending until the next records of the topic are read.
func (sh *Shard) Build(now time.Duration) (Batch, error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var ba Batch
	stamp := sh.stamp()
	sh.recordRead(now)
	for _, team := range slices.Sorted(maps.Keys(sh.totals)) {
		ac := sh.account(team)
		row := sh.nextRow(ac, now, stamp)
		if !sh.due(ac, row, now) {
			continue
		}
		re, err := encodeRow(team, sh.config.Instance, row)
		if err != nil {
			return Batch{}, err
		}
		br := builtRow{row: row, builtAt: now, era: sh.era}
		ac.pending = append(ac.pending, br)
		ba.Records = append(ba.Records, re)
		ba.teams = append(ba.teams, team)
		ba.built = append(ba.built, br)
	}
	if err := sh.addPools(&ba, now); err != nil {
		return Batch{}, err
	}
	if err := sh.addReclaims(&ba, now); err != nil {
		return Batch{}, err
	}
	if len(ba.Records) == 0 && !sh.restatementDue(now) {
		return ba, nil
	}
	list, err := sh.restatements(now)
	ba.Records = append(ba.Records, list...)
	return ba, err
}

// Due reports whether Build would return any rows, given the part of the topic that was read so far.
func (sh *Shard) Due(now time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	stamp := sh.stamp()
	// In the order of the names, since estimates are kept for a while and this returns at the first row that is due.
	for _, team := range slices.Sorted(maps.Keys(sh.totals)) {
		ac := sh.account(team)
		if sh.due(ac, sh.nextRow(ac, now, stamp), now) {
			return true
		}
		if _, due := sh.duePool(ac, now); due {
			return true
		}
	}
	return sh.restatementDue(now) || len(sh.reclaims(now)) > 0
}

// Confirm puts the rows of a batch in force. It is called after they were appended at the expected offset.
func (sh *Shard) Confirm(now time.Duration, ba Batch) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for ix, team := range ba.teams {
		ac := sh.account(team)
		br := ba.built[ix]
		ac.putInForce(br)
		ac.pending = nil
		delete(sh.found, team)
		sh.setRow(team, sh.config.Instance, seenRow{row: br.row, seenAt: now})
		ac.notify()
	}
	sh.applyPools(ba.pools)
	sh.confirmReclaims(now, ba.Reclaims)
}

// Discard drops the pending rows of a batch. It is called when they were not appended and can no longer be.
func (sh *Shard) Discard(ba Batch) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for ix, team := range ba.teams {
		ac := sh.account(team)
		ac.pending = slices.DeleteFunc(ac.pending, func(br builtRow) bool { return br.row == ba.built[ix].row })
	}
}

// nextRow returns the row that this instance would append now for a team.
func (sh *Shard) nextRow(ac *account, now time.Duration, stamp Stamp) Row {
	if ac.inForce == nil && !sh.recalling(ac, now) {
		sh.inherit(ac)
	}
	demand := ac.demand.perSecond(now)
	granted := sh.nextGrant(ac, now)
	// Without demand, the ceiling leaves room for the first requests, in proportion to the unused grant.
	rate := max(demand*ceilingRatePercent/percent, max(0, granted-ac.used())/idleRateDivisor)
	slack := demand*slackPercent/percent*int64(ceilingDelay)/int64(time.Second) + slackRequests*ac.meanSize
	// The unused grant is this instance's share of the team's remaining tokens. A bound on the slack of each instance, relative to its unused
	// grant, therefore bounds the loss of the team.
	slack = min(slack, max(0, granted-ac.used())*maxLossPercent/percent) + ac.waiting
	slack = max(slack, max(0, granted-ac.used())/idleSlackDivisor)
	free := max(0, granted-ac.used())
	silent := min(free*sh.ceilingPercent(ac, now)/percent, max(free*minCeilingPercent/percent, tokensIn(demand, silentSpan)))
	return sh.withBalance(ac, now, Row{
		MaxCeiling: ac.used() + max(slack, silent),
		Granted:    granted, Base: ac.used() + slack, Rate: rate, Delay: ceilingDelay,
		Spent: ac.totalSpent(), WrittenOff: ac.writtenOff, Demand: demand,
		BurstRate: demand * burstRatePercent / percent, BurstDelay: burstDelay, Need: ac.waiting,
		Wall: stamp.Wall.UnixMilli(), Boot: stamp.Boot.Milliseconds(), Incarnation: sh.config.Incarnation,
		OwnDemand: ac.ownDemand.perSecond(now), NetLent: ac.netLent(),
	})
}

// unknownAge stands for the age of a row that the clocks do not tell.
const unknownAge = -time.Millisecond

// inherit takes over the row of an earlier incarnation of this instance: all tokens that the row allowed it to use until the start of this incarnation
// count as used. Those that the row states as lent stay lent, since the borrowers count them as spent; what goes beyond the row is written off.
func (sh *Shard) inherit(ac *account) {
	old, ok := sh.rows[ac.team][sh.config.Instance]
	outdated := sh.outdated(old.row)
	if !ok && (!outdated || sh.witnessed()) {
		return
	}
	if len(ac.pending) > 0 && old.row.Incarnation == sh.config.Incarnation {
		return
	}
	// The limit of a row includes the tokens lent less those received, because these count as used.
	use, age := old.row.Granted, unknownAge
	if elapsed, ok := old.row.elapsed(sh.startStamp); ok {
		use, age = old.row.limit(elapsed), elapsed
	}
	if outdated {
		use = sh.outdatedUse(ac.team, old.row)
	}
	// The first value is taken even if it is negative, as it is when an earlier incarnation received more from peers than it used.
	if use > ac.inheritedUse || !ac.inherited {
		ac.inherited = true
		ac.inheritedUse = use
		ac.inheritedNetLent = sh.inheritedNetLent(ac.team, old.row, use)
		beyond := use - ac.inheritedNetLent - old.row.Spent
		ac.writtenOff = max(0, old.row.WrittenOff+beyond)
		sh.recordTakeover(Takeover{
			Team: ac.team, Spent: use - ac.inheritedNetLent, InTopic: old.row.Spent, WrittenOff: max(0, beyond),
			Lent: ac.inheritedNetLent, Age: age.Milliseconds(), Outdated: outdated, Witnessed: outdated && sh.witnessed(),
		})
	}
}

// inheritedNetLent returns the part of the use of an earlier incarnation that counts as lent: what its row states, and what the rows of others
// show that they have received from somebody whose row does not state it. Rows of builds that do not state transfers count as if they had
// spent what they state.
//
// The result decides only how the use is described. The use itself, which bounds the grants, does not depend on it.
func (sh *Shard) inheritedNetLent(team string, row Row, use int64) int64 {
	if use <= row.statedUse() {
		return use - row.Spent
	}
	// What this instance received is not held against it if the lender's row does not state it.
	unstated := max(0, row.NetLent)
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance {
			unstated += sr.row.NetLent
		}
	}
	return row.NetLent + min(use-row.statedUse(), max(0, -unstated))
}

// nextGrant returns the grant for the next row: the tokens used, and a share of the team's remaining tokens.
func (sh *Shard) nextGrant(ac *account, now time.Duration) int64 {
	used := ac.used()
	total := sh.totals[ac.team]
	old := int64(0)
	if sr, ok := sh.rows[ac.team][sh.config.Instance]; ok {
		old = sr.row.Granted
	}
	others := sh.sumGranted(ac.team) - old
	// More than the old grant counts as used only if the store has lost the newest row of an earlier incarnation; see outdatedUse.
	lowest := min(used, max(old, total-others))
	if sh.closing {
		return lowest
	}
	if !sh.settled(ac.team, now) {
		// The sum of all grants is not known, but the grant in force is part of it.
		return max(used, ac.granted())
	}
	if !sh.isAssigned(ac.team, now) {
		return lowest
	}
	entitled := max(used+sh.entitlement(ac, now), used+ac.waiting)
	if others+old > total {
		entitled = used
	}
	grant := max(used, min(entitled, total-others, sh.poolCopied(ac, now)-others))
	if old > grant && old-grant < old/toleranceDivisor && sh.needOfOthers(ac.team) == 0 && others+old <= total {
		return old
	}
	return grant
}

// needOfOthers returns the tokens that requests at other instances wait for.
func (sh *Shard) needOfOthers(team string) int64 {
	sum := int64(0)
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance {
			sum += sr.row.Need
		}
	}
	return sum
}

// entitlement returns this instance's share of the team's remaining tokens. equalSharePercent of them are divided equally among the
// holders, the other tokens in proportion to demand.
func (sh *Shard) entitlement(ac *account, now time.Duration) int64 {
	remaining := sh.totals[ac.team]
	own := ac.demand.perSecond(now)
	holders, demand := int64(1), own
	assigned := sh.assignedHolders(ac.team, now)
	for instance, sr := range sh.rows[ac.team] {
		if instance == sh.config.Instance {
			continue
		}
		remaining -= sr.row.usedAtLeast()
		if now-sr.seenAt > activeSpan || !slices.Contains(assigned, instance) {
			// An instance that no longer writes rows, or is no longer assigned, can still spend its whole grant.
			remaining -= sr.row.Granted - sr.row.usedAtLeast()
			continue
		}
		holders++
		demand += sr.row.Demand
		remaining -= sr.row.Need
	}
	remaining = (remaining - ac.used()) * sh.sharedPercent(ac, now) / percent
	if now-sh.started < startupSpan {
		holders = max(holders, startupHolders)
	}
	share := remaining / holders
	if demand > 0 {
		byDemand := int64(float64(remaining) * float64(own) / float64(demand))
		share = (share*equalSharePercent + byDemand*(percent-equalSharePercent)) / percent
	}
	return max(0, share)
}

// usedAtLeast returns the tokens of the grant that were spent or lent when the row was built. The instance may have used more since then, up
// to the ceiling of the row.
func (ro Row) usedAtLeast() int64 { return min(ro.statedUse(), ro.Granted) }

// due reports whether the new row should be appended: no row is in force, an append is pending, the store has lost the row in force, it is too old,
// or the new row differs enough from it.
func (sh *Shard) due(ac *account, row Row, now time.Duration) bool {
	if _, ok := sh.rows[ac.team][sh.config.Instance]; !ok && !sh.isAssigned(ac.team, now) {
		// An instance that only borrows needs no row: what it spends counts as used at the lender.
		return false
	}
	if sh.recalling(ac, now) {
		return false
	}
	if _, lost := sh.lost[rowID{team: ac.team, instance: sh.config.Instance}]; lost || !sh.stated() {
		return true
	}
	if ac.inForce == nil || len(ac.pending) > 0 {
		return true
	}
	inForce := ac.inForce.row
	used := ac.used()
	switch {
	case now-ac.inForce.builtAt >= renewInterval, row.Need != inForce.Need, row.Rate > 2*inForce.Rate,
		inForce.Base-used < (row.Base-used)*renewSlackPercent/percent:
		return true
	case sh.closing:
		return row.Granted != inForce.Granted || row.Spent != inForce.Spent
	case row.Granted < inForce.Granted && sh.needOfOthers(ac.team) > 0:
		return true
	}
	change := max(row.Granted-inForce.Granted, inForce.Granted-row.Granted)
	return change > inForce.Granted/toleranceDivisor || row.Spent-inForce.Spent > inForce.Granted/toleranceDivisor
}
