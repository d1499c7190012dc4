package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	// ceilingDelay is the time after which a ceiling that is not renewed starts to rise; a process that was killed is back by then.
	ceilingDelay = 2600 * time.Millisecond
	// ceilingRatePercent is the rate at which a ceiling rises, in percent of the current demand.
	ceilingRatePercent = 125
	// burstDelay is the time after which a ceiling that is not renewed rises faster. A machine that lost power is back by then, so the
	// cause is an outage of the store, in which bursts must be served.
	burstDelay = 5 * time.Second
	// burstRatePercent is the rate at which a ceiling rises in addition after burstDelay, in percent of the current demand.
	burstRatePercent = 300
	// slackPercent is the demand that a ceiling covers during ceilingDelay, in percent of the current demand.
	slackPercent = 120
	// maxLossPercent bounds the slack of a ceiling to this part of the unused grant, so that a team loses no more of its remaining total
	// when all instances are killed.
	maxLossPercent = 6
	// maxCeilingPercent is the largest part of an unused grant that a ceiling may reach; the rest stays with the team even if its instances
	// are down for long.
	maxCeilingPercent = 60
	// slackRequests is the number of requests of average size that a ceiling covers in addition to the demand.
	slackRequests = 2
	// retainSeconds is the demand, in seconds, that an instance keeps back when it lends tokens.
	retainSeconds = 1
	// activeSpan is how long an instance counts as active after its last row; rows are renewed every renewInterval.
	activeSpan = 8 * time.Second
	// renewInterval is how often a row is written again although nothing has changed.
	renewInterval = 3 * time.Second
	// renewSlackPercent makes a new row due when the slack under the ceiling has fallen below this part of what a new row would give.
	renewSlackPercent = 75
	// equalSharePercent is the part of the remaining tokens that is divided equally, for demand that moves between instances.
	equalSharePercent = 35
	// startupSpan is the time after the start in which instances may not know each other yet.
	startupSpan = 3 * time.Second
	// startupHolders is the minimum number of holders that an instance assumes during startupSpan.
	startupHolders = 8
	// toleranceDivisor sets how much a grant or the tokens spent may change before a new row is due: the grant divided by this.
	toleranceDivisor = 12
	// idleDivisor gives a team without demand a minimal ceiling: the unused grant divided by this, rising by as much per second.
	idleDivisor = 30
	percent     = 100
	// grantedPercent is the part of the remaining tokens that is granted in advance; the rest is kept for sudden needs.
	grantedPercent = 97
)

// Batch is a set of rows to append together.
type Batch struct {
	Records []keyed.Record
	teams   []string
	built   []builtRow
}

// RowSummary describes one row of a batch in the log; all amounts are in tokens.
type RowSummary struct {
	Team       string `json:"team"`
	Granted    int64  `json:"granted"`
	Spent      int64  `json:"spent"`
	WrittenOff int64  `json:"lost,omitempty"`
	Base       int64  `json:"base"`
	Rate       int64  `json:"rate"`
	Need       int64  `json:"need,omitempty"`
}

// Summary returns the rows of the batch, for the log.
func (ba Batch) Summary() []RowSummary {
	list := make([]RowSummary, 0, len(ba.built))
	for ix, br := range ba.built {
		ro := br.row
		list = append(list, RowSummary{
			Team: ba.teams[ix], Granted: ro.Granted, Spent: ro.Spent, WrittenOff: ro.WrittenOff, Base: ro.Base, Rate: ro.Rate, Need: ro.Need,
		})
	}
	return list
}

// Empty reports whether there is nothing to append.
func (ba Batch) Empty() bool { return len(ba.Records) == 0 }

// Build returns the rows to append at the offset up to which the topic was read.
//
// The caller reports the outcome by Confirm or Discard. While the outcome is unknown the rows stay pending, until later records show it.
func (sh *Shard) Build(now time.Duration) (Batch, error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var ba Batch
	stamp := sh.stamp()
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
		br := builtRow{row: row, builtAt: now}
		ac.pending = append(ac.pending, br)
		ba.Records = append(ba.Records, re)
		ba.teams = append(ba.teams, team)
		ba.built = append(ba.built, br)
	}
	return ba, nil
}

// Due reports whether Build would return any rows, judged by what was read of the topic so far.
func (sh *Shard) Due(now time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	stamp := sh.stamp()
	for team := range sh.totals {
		ac := sh.account(team)
		if sh.due(ac, sh.nextRow(ac, now, stamp), now) {
			return true
		}
	}
	return false
}

// Confirm reports that the rows were appended directly after the records that were read.
func (sh *Shard) Confirm(now time.Duration, ba Batch) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for ix, team := range ba.teams {
		ac := sh.account(team)
		br := ba.built[ix]
		ac.inForce = &br
		ac.pending = nil
		if sh.rows[team] == nil {
			sh.rows[team] = map[string]seenRow{}
		}
		sh.rows[team][sh.config.Instance] = seenRow{row: br.row, seenAt: now}
		ac.notify()
	}
}

// Discard reports that the rows were not appended and never will be.
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
	if ac.inForce == nil {
		sh.inherit(ac, stamp)
	}
	demand := ac.demand.perSecond(now)
	granted := sh.nextGrant(ac, now)
	// Without demand, the ceiling leaves room for the first requests, in proportion to the unused grant.
	rate := max(demand*ceilingRatePercent/percent, max(0, granted-ac.used())/idleDivisor)
	slack := demand*slackPercent/percent*int64(ceilingDelay)/int64(time.Second) + slackRequests*ac.meanSize
	// The unused grant is this instance's share of the team's remaining tokens, so a bound on each grant bounds the loss of the team.
	slack = min(slack, max(0, granted-ac.used())*maxLossPercent/percent) + ac.waiting
	slack = max(slack, max(0, granted-ac.used())/idleDivisor)
	free := max(0, granted-ac.used())
	return Row{
		MaxCeiling: ac.used() + max(slack, free*maxCeilingPercent/percent),
		Granted:    granted, Base: ac.used() + slack, Rate: rate, Delay: ceilingDelay,
		Spent: ac.totalSpent(), WrittenOff: ac.writtenOff, Demand: demand,
		BurstRate: demand * burstRatePercent / percent, BurstDelay: burstDelay, Need: ac.waiting,
		Wall: stamp.Wall.UnixMilli(), Boot: stamp.Boot.Milliseconds(), Incarnation: sh.config.Incarnation,
		OwnDemand: ac.ownDemand.perSecond(now), NetLent: ac.lent - ac.received,
	}
}

// inherit takes over the row of an earlier incarnation of this instance. All that the row allowed to be spent until now counts as spent.
func (sh *Shard) inherit(ac *account, stamp Stamp) {
	old, ok := sh.rows[ac.team][sh.config.Instance]
	if !ok {
		return
	}
	if len(ac.pending) > 0 && old.row.Incarnation == sh.config.Incarnation {
		return
	}
	// The limit of a row also bounds the tokens lent, less those received, since they are part of what is used.
	spent := old.row.Granted
	if elapsed, ok := old.row.elapsed(stamp); ok {
		spent = old.row.limit(elapsed)
	}
	// The first value may be negative: an incarnation that received more from peers than it used has used less than zero of its own grant.
	if spent > ac.inheritedUse || !ac.inherited {
		ac.inherited = true
		ac.writtenOff = max(0, old.row.WrittenOff+spent-old.row.Spent)
		ac.inheritedUse = spent
	}
}

// nextGrant returns the grant for the next row: the tokens used, and a share of the team's remaining tokens.
func (sh *Shard) nextGrant(ac *account, now time.Duration) int64 {
	used := ac.used()
	total := sh.totals[ac.team]
	old := int64(0)
	if sr, ok := sh.rows[ac.team][sh.config.Instance]; ok {
		old = sr.row.Granted
	}
	if sh.closing {
		return min(old, used)
	}
	others := sh.sumGranted(ac.team) - old
	if !sh.isAssigned(ac.team, now) {
		return min(old, used)
	}
	entitled := max(used+sh.entitlement(ac, now), used+ac.waiting)
	if others+old > total {
		entitled = used
	}
	grant := max(used, min(entitled, total-others))
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

// entitlement returns this instance's share of the team's remaining tokens: one part is divided equally, the rest by demand.
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
			// An instance that no longer writes rows may still spend the whole of its grant.
			remaining -= sr.row.Granted - sr.row.usedAtLeast()
			continue
		}
		holders++
		demand += sr.row.Demand
		remaining -= sr.row.Need
	}
	remaining = (remaining - ac.used()) * grantedPercent / percent
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

// usedAtLeast returns the part of the grant that had been spent when the row was built, without the slack under the ceiling.
func (ro Row) usedAtLeast() int64 { return min(ro.Spent, ro.Granted) }

// due reports whether a row differs enough from the one in force to be appended.
func (sh *Shard) due(ac *account, row Row, now time.Duration) bool {
	if _, ok := sh.rows[ac.team][sh.config.Instance]; !ok && !sh.isAssigned(ac.team, now) {
		// An instance that only borrows needs no row: what it spends counts as used at the lender.
		return false
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
	differ := max(row.Granted-inForce.Granted, inForce.Granted-row.Granted)
	return differ > inForce.Granted/toleranceDivisor || row.Spent-inForce.Spent > inForce.Granted/toleranceDivisor
}
