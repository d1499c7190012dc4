package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	// ceilingDelay is the time without a new row after which a ceiling rises; a process that was killed is back by then.
	ceilingDelay = 2600 * time.Millisecond
	// ceilingRatePercent is the rise of a ceiling against the present demand.
	ceilingRatePercent = 125
	// burstDelay is the time without a new row after which a ceiling rises faster: a machine that lost power is back by then, so the store
	// is away, and a burst must be served.
	burstDelay = 5 * time.Second
	// burstRatePercent is the additional rise of a ceiling against the present demand.
	burstRatePercent = 300
	// slackPercent is what a ceiling leaves for the demand before it rises.
	slackPercent = 120
	// maxLossPercent bounds what the loss of all instances may cost a team: this part of what is left of its total.
	maxLossPercent = 6
	// maxCeilingPercent is the part of an unused grant that a ceiling reaches at most: what instances that are away for long leave to the team.
	maxCeilingPercent = 60
	// slackRequests is how many requests of the usual size a ceiling leaves room for beside the demand.
	slackRequests = 2
	// retainSeconds is the demand in seconds that an instance does not give away.
	retainSeconds = 1
	// activeSpan is how long an instance counts after its last row; rows are renewed every renewSpan.
	activeSpan = 8 * time.Second
	// renewInterval is how often an instance writes rows that have not changed.
	renewInterval = 3 * time.Second
	// renewSlackPercent is the part of its slack below which a ceiling is renewed.
	renewSlackPercent = 75
	// equalSharePercent is the part of what is left that is divided equally, for demand that moves from one instance to another.
	equalSharePercent = 35
	// startupSpan is the time after the start in which instances may not know of each other yet.
	startupSpan = 3 * time.Second
	// startupHolders is the least number of holders that a young instance assumes.
	startupHolders = 8
	// toleranceDivisor is the part of an entitlement by which a grant may differ without a new row.
	toleranceDivisor = 12
	// idleDivisor gives a team without demand a ceiling: this part of the grant, and as much a second.
	idleDivisor = 30
	percent     = 100
	// grantedPercent is the part of what is left that is granted ahead of need; the rest answers sudden needs.
	grantedPercent = 97
)

// Batch is a set of rows to append at once.
type Batch struct {
	Records []keyed.Record
	teams   []string
	rows    []builtRow
}

// RowSummary is one row of a batch, for operators; all amounts are in tokens.
type RowSummary struct {
	Team       string `json:"team"`
	Granted    int64  `json:"granted"`
	Spent      int64  `json:"spent"`
	WrittenOff int64  `json:"lost,omitempty"`
	Base       int64  `json:"base"`
	Rate       int64  `json:"rate"`
	Need       int64  `json:"need,omitempty"`
}

// Summary returns what the batch says.
func (ba Batch) Summary() []RowSummary {
	list := make([]RowSummary, 0, len(ba.rows))
	for ix, br := range ba.rows {
		ro := br.row
		list = append(list, RowSummary{
			Team: ba.teams[ix], Granted: ro.Granted, Spent: ro.Spent, WrittenOff: ro.WrittenOff, Base: ro.Base, Rate: ro.Rate, Need: ro.Need,
		})
	}
	return list
}

// Empty reports whether there is nothing to append.
func (ba Batch) Empty() bool { return len(ba.Records) == 0 }

// Build returns the rows to append where the topic was read to its end; the caller reports the outcome by Confirm or Unclear.
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
		ba.rows = append(ba.rows, br)
	}
	return ba, nil
}

// Due reports whether a batch would hold anything as far as the topic was read.
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

// Confirm reports that the rows are in the topic, directly behind all that was read.
func (sh *Shard) Confirm(now time.Duration, ba Batch) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for ix, team := range ba.teams {
		ac := sh.account(team)
		br := ba.rows[ix]
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
		ac.pending = slices.DeleteFunc(ac.pending, func(br builtRow) bool { return br.row == ba.rows[ix].row })
	}
}

// nextRow returns the row that this instance would append now.
func (sh *Shard) nextRow(ac *account, now time.Duration, stamp Stamp) Row {
	if ac.inForce == nil {
		sh.inherit(ac, stamp)
	}
	demand := ac.demand.perSecond(now)
	granted := sh.nextGrant(ac, now)
	// Without demand a ceiling leaves room for the first requests, in proportion to the grant.
	rate := max(demand*ceilingRatePercent/percent, max(0, granted-ac.used())/idleDivisor)
	slack := demand*slackPercent/percent*int64(ceilingDelay)/int64(time.Second) + slackRequests*ac.meanSize
	// A grant is the instance's part of what is left, so the bound on the risk is a part of the grant.
	slack = min(slack, max(0, granted-ac.used())*maxLossPercent/percent) + ac.waiting
	slack = max(slack, max(0, granted-ac.used())/idleDivisor)
	free := max(0, granted-ac.used())
	return Row{
		MaxCeiling: ac.used() + max(slack, free*maxCeilingPercent/percent),
		Granted:    granted, Base: ac.used() + slack, Rate: rate, Delay: ceilingDelay, Spent: ac.totalSpent(), WrittenOff: ac.writtenOff, Demand: demand,
		BurstRate: demand * burstRatePercent / percent, BurstDelay: burstDelay, Need: ac.waiting, Wall: stamp.Wall.UnixMilli(), Boot: stamp.Boot.Milliseconds(), Incarnation: sh.config.Incarnation,
		OwnDemand: ac.ownDemand.perSecond(now), NetLent: ac.lent - ac.received,
	}
}

// inherit takes over the row of an earlier life, which counts as spent up to its ceiling.
func (sh *Shard) inherit(ac *account, stamp Stamp) {
	old, ok := sh.rows[ac.team][sh.config.Instance]
	if !ok {
		return
	}
	if len(ac.pending) > 0 && old.row.Incarnation == sh.config.Incarnation {
		return
	}
	// What was moved to and from peers is part of what the earlier life has used, so its limit bounds the sum.
	spent := old.row.Granted
	if elapsed, ok := old.row.elapsed(stamp); ok {
		spent = old.row.limit(elapsed)
	}
	// A life that took more from peers than it used has used less than nothing of its own grant.
	if spent > ac.inheritedUse || !ac.inherited {
		ac.inherited = true
		ac.writtenOff = max(0, old.row.WrittenOff+spent-old.row.Spent)
		ac.inheritedUse = spent
	}
}

// nextGrant returns the grant to hold: what was used, and a share of what is left.
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

// needOfOthers returns what other instances wait for.
func (sh *Shard) needOfOthers(team string) int64 {
	sum := int64(0)
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance {
			sum += sr.row.Need
		}
	}
	return sum
}

// entitlement returns the share of this instance in what is left: a part by equal shares, the rest by demand.
func (sh *Shard) entitlement(ac *account, now time.Duration) int64 {
	left := sh.totals[ac.team]
	own := ac.demand.perSecond(now)
	holders, demand := int64(1), own
	homes := sh.assignedHolders(ac.team, now)
	for instance, sr := range sh.rows[ac.team] {
		if instance == sh.config.Instance {
			continue
		}
		left -= sr.row.usedAtLeast()
		if now-sr.seenAt > activeSpan || !slices.Contains(homes, instance) {
			// An instance that writes no more keeps its grant, which it may still spend.
			left -= sr.row.Granted - sr.row.usedAtLeast()
			continue
		}
		holders++
		demand += sr.row.Demand
		left -= sr.row.Need
	}
	left = (left - ac.used()) * grantedPercent / percent
	if now-sh.started < startupSpan {
		holders = max(holders, startupHolders)
	}
	share := left / holders
	if demand > 0 {
		byDemand := int64(float64(left) * float64(own) / float64(demand))
		share = (share*equalSharePercent + byDemand*(percent-equalSharePercent)) / percent
	}
	return max(0, share)
}

// usedAtLeast returns what the writer has used when the row was built, without the slack of its ceiling.
func (ro Row) usedAtLeast() int64 { return min(ro.Spent, ro.Granted) }

// due reports whether a row says enough that is new.
func (sh *Shard) due(ac *account, row Row, now time.Duration) bool {
	if _, ok := sh.rows[ac.team][sh.config.Instance]; !ok && !sh.isAssigned(ac.team, now) {
		// What a borrower spends counts at the lender.
		return false
	}
	if ac.inForce == nil || len(ac.pending) > 0 {
		return true
	}
	held := ac.inForce.row
	used := ac.used()
	switch {
	case now-ac.inForce.builtAt >= renewInterval, row.Need != held.Need, row.Rate > 2*held.Rate, held.Base-used < (row.Base-used)*renewSlackPercent/percent:
		return true
	case sh.closing:
		return row.Granted != held.Granted || row.Spent != held.Spent
	case row.Granted < held.Granted && sh.needOfOthers(ac.team) > 0:
		return true
	}
	differ := max(row.Granted-held.Granted, held.Granted-row.Granted)
	return differ > held.Granted/toleranceDivisor || row.Spent-held.Spent > held.Granted/toleranceDivisor
}
