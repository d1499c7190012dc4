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
	// ratePercent is the rise of a ceiling against the present demand.
	ratePercent = 125
	// burstDelay is the time without a new row after which a ceiling rises faster: a machine that lost power is back by then, so the store
	// is away, and a burst must be served.
	burstDelay = 5 * time.Second
	// burstPercent is the additional rise of a ceiling against the present demand.
	burstPercent = 300
	// slackPercent is what a ceiling leaves for the demand before it rises.
	slackPercent = 120
	// riskPercent bounds what the loss of all instances may cost a team: this part of what is left of its total.
	riskPercent = 6
	// mostPercent is the part of an unused grant that a ceiling reaches at most: what instances that are away for long leave to the team.
	mostPercent = 60
	// typicalRequests is how many requests of the usual size a ceiling leaves room for beside the demand.
	typicalRequests = 2
	// keepSeconds is the demand in seconds that an instance does not give away.
	keepSeconds = 1
	// aliveSpan is how long an instance counts after its last row; rows are renewed every renewSpan.
	aliveSpan = 8 * time.Second
	// renewSpan is how often an instance writes rows that have not changed.
	renewSpan = 3 * time.Second
	// renewPercent is the part of its slack below which a ceiling is renewed.
	renewPercent = 75
	// equalPercent is the part of what is left that is divided equally, for demand that moves from one instance to another.
	equalPercent = 35
	// youngSpan is the time after the start in which instances may not know of each other yet.
	youngSpan = 3 * time.Second
	// youngShare is the least number of holders that a young instance assumes.
	youngShare = 8
	// tolerance is the part of an entitlement by which a grant may differ without a new row.
	tolerance = 12
	// idleDivisor gives a team without demand a ceiling: this part of the grant, and as much a second.
	idleDivisor = 30
	percent     = 100
	// spreadPercent is the part of what is left that is granted ahead of need; the rest answers sudden needs.
	spreadPercent = 97
)

// Batch is a set of rows to append at once.
type Batch struct {
	Records []keyed.Record
	teams   []string
	terms   []term
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
	list := make([]RowSummary, 0, len(ba.terms))
	for ix, te := range ba.terms {
		ro := te.row
		list = append(list, RowSummary{
			Team: ba.teams[ix], Granted: ro.Granted, Spent: ro.Spent, WrittenOff: ro.WrittenOff, Base: ro.Base, Rate: ro.Rate, Need: ro.Need,
		})
	}
	return list
}

// Empty reports whether there is nothing to append.
func (ba Batch) Empty() bool { return len(ba.Records) == 0 }

// Build returns the rows to append where the topic was read to its end; the caller reports the outcome by Confirm or Unclear.
func (pu *Shard) Build(now time.Duration) (Batch, error) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	var ba Batch
	stamp := pu.stamp()
	for _, team := range slices.Sorted(maps.Keys(pu.totals)) {
		ac := pu.account(team)
		row := pu.nextRow(ac, now, stamp)
		if !pu.due(ac, row, now) {
			continue
		}
		re, err := encodeRow(team, pu.config.Instance, row)
		if err != nil {
			return Batch{}, err
		}
		te := term{row: row, builtAt: now}
		ac.pending = append(ac.pending, te)
		ba.Records = append(ba.Records, re)
		ba.teams = append(ba.teams, team)
		ba.terms = append(ba.terms, te)
	}
	return ba, nil
}

// Due reports whether a batch would hold anything as far as the topic was read.
func (pu *Shard) Due(now time.Duration) bool {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	stamp := pu.stamp()
	for team := range pu.totals {
		ac := pu.account(team)
		if pu.due(ac, pu.nextRow(ac, now, stamp), now) {
			return true
		}
	}
	return false
}

// Confirm reports that the rows are in the topic, directly behind all that was read.
func (pu *Shard) Confirm(now time.Duration, ba Batch) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for ix, team := range ba.teams {
		ac := pu.account(team)
		te := ba.terms[ix]
		ac.held = &te
		ac.pending = nil
		if pu.rows[team] == nil {
			pu.rows[team] = map[string]holding{}
		}
		pu.rows[team][pu.config.Instance] = holding{row: te.row, seenAt: now}
		ac.notify()
	}
}

// Discard reports that the rows were not appended and never will be.
func (pu *Shard) Discard(ba Batch) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for ix, team := range ba.teams {
		ac := pu.account(team)
		ac.pending = slices.DeleteFunc(ac.pending, func(te term) bool { return te.row == ba.terms[ix].row })
	}
}

// nextRow returns the row that this instance would append now.
func (pu *Shard) nextRow(ac *account, now time.Duration, stamp Stamp) Row {
	if ac.held == nil {
		pu.inherit(ac, stamp)
	}
	demand := ac.demand.perSecond(now)
	granted := pu.nextGrant(ac, now)
	// Without demand a ceiling leaves room for the first requests, in proportion to the grant.
	rate := max(demand*ratePercent/percent, max(0, granted-ac.used())/idleDivisor)
	slack := demand*slackPercent/percent*int64(ceilingDelay)/int64(time.Second) + typicalRequests*ac.typical
	// A grant is the instance's part of what is left, so the bound on the risk is a part of the grant.
	slack = min(slack, max(0, granted-ac.used())*riskPercent/percent) + ac.waiting
	slack = max(slack, max(0, granted-ac.used())/idleDivisor)
	free := max(0, granted-ac.used())
	return Row{
		MaxCeiling: ac.used() + max(slack, free*mostPercent/percent),
		Granted:    granted, Base: ac.used() + slack, Rate: rate, Delay: ceilingDelay, Spent: ac.allSpent(), WrittenOff: ac.lost, Demand: demand,
		BurstRate: demand * burstPercent / percent, BurstDelay: burstDelay, Need: ac.waiting, Wall: stamp.Wall.UnixMilli(), Boot: stamp.Boot.Milliseconds(), Incarnation: pu.config.Incarnation,
		OwnDemand: ac.own.perSecond(now), NetLent: ac.given - ac.taken,
	}
}

// inherit takes over the row of an earlier life, which counts as spent up to its ceiling.
func (pu *Shard) inherit(ac *account, stamp Stamp) {
	old, ok := pu.rows[ac.team][pu.config.Instance]
	if !ok {
		return
	}
	if len(ac.pending) > 0 && old.row.Incarnation == pu.config.Incarnation {
		return
	}
	// What was moved to and from peers is part of what the earlier life has used, so its limit bounds the sum.
	spent := old.row.Granted
	if elapsed, ok := old.row.elapsed(stamp); ok {
		spent = old.row.limit(elapsed)
	}
	// A life that took more from peers than it used has used less than nothing of its own grant.
	if spent > ac.earlier || !ac.inherited {
		ac.inherited = true
		ac.lost = max(0, old.row.WrittenOff+spent-old.row.Spent)
		ac.earlier = spent
	}
}

// nextGrant returns the grant to hold: what was used, and a share of what is left.
func (pu *Shard) nextGrant(ac *account, now time.Duration) int64 {
	used := ac.used()
	total := pu.totals[ac.team]
	old := int64(0)
	if ho, ok := pu.rows[ac.team][pu.config.Instance]; ok {
		old = ho.row.Granted
	}
	if pu.closing {
		return min(old, used)
	}
	others := pu.sumGranted(ac.team) - old
	if !pu.isHome(ac.team, now) {
		return min(old, used)
	}
	entitled := max(used+pu.entitlement(ac, now), used+ac.waiting)
	if others+old > total {
		entitled = used
	}
	grant := max(used, min(entitled, total-others))
	if old > grant && old-grant < old/tolerance && pu.needElsewhere(ac.team) == 0 && others+old <= total {
		return old
	}
	return grant
}

// needElsewhere returns what other instances wait for.
func (pu *Shard) needElsewhere(team string) int64 {
	sum := int64(0)
	for instance, ho := range pu.rows[team] {
		if instance != pu.config.Instance {
			sum += ho.row.Need
		}
	}
	return sum
}

// entitlement returns the share of this instance in what is left: a part by equal shares, the rest by demand.
func (pu *Shard) entitlement(ac *account, now time.Duration) int64 {
	left := pu.totals[ac.team]
	own := ac.demand.perSecond(now)
	holders, demand := int64(1), own
	homes := pu.homes(ac.team, now)
	for instance, ho := range pu.rows[ac.team] {
		if instance == pu.config.Instance {
			continue
		}
		left -= ho.row.usedAtLeast()
		if now-ho.seenAt > aliveSpan || !slices.Contains(homes, instance) {
			// An instance that writes no more keeps its grant, which it may still spend.
			left -= ho.row.Granted - ho.row.usedAtLeast()
			continue
		}
		holders++
		demand += ho.row.Demand
		left -= ho.row.Need
	}
	left = (left - ac.used()) * spreadPercent / percent
	if now-pu.started < youngSpan {
		holders = max(holders, youngShare)
	}
	share := left / holders
	if demand > 0 {
		byDemand := int64(float64(left) * float64(own) / float64(demand))
		share = (share*equalPercent + byDemand*(percent-equalPercent)) / percent
	}
	return max(0, share)
}

// usedAtLeast returns what the writer has used when the row was built, without the slack of its ceiling.
func (ro Row) usedAtLeast() int64 { return min(ro.Spent, ro.Granted) }

// due reports whether a row says enough that is new.
func (pu *Shard) due(ac *account, row Row, now time.Duration) bool {
	if _, ok := pu.rows[ac.team][pu.config.Instance]; !ok && !pu.isHome(ac.team, now) {
		// What a borrower spends counts at the lender.
		return false
	}
	if ac.held == nil || len(ac.pending) > 0 {
		return true
	}
	held := ac.held.row
	used := ac.used()
	switch {
	case now-ac.held.builtAt >= renewSpan, row.Need != held.Need, row.Rate > 2*held.Rate, held.Base-used < (row.Base-used)*renewPercent/percent:
		return true
	case pu.closing:
		return row.Granted != held.Granted || row.Spent != held.Spent
	case row.Granted < held.Granted && pu.needElsewhere(ac.team) > 0:
		return true
	}
	differ := max(row.Granted-held.Granted, held.Granted-row.Granted)
	return differ > held.Granted/tolerance || row.Spent-held.Spent > held.Granted/tolerance
}
