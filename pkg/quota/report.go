package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportInterval is the time after which even little spending is reported.
	reportInterval = 2 * time.Second
	// reportDivisor makes spending of 1/reportDivisor of a team's total worth a report at once.
	reportDivisor = 1000
)

// SpendingReport tells an instance that lent tokens how many of them were spent by an instance without a row. No row says so otherwise, and a team
// whose total is spent would seem to have all tokens that were ever lent.
type SpendingReport struct {
	// Team is the name of the team.
	Team string
	// Tokens is the number of tokens that were spent.
	Tokens int64
	// Lender is the name of the instance that counts them as spent from now on.
	Lender string
}

// TakeSpendingReports returns the reports that are due, ordered by team. What they state no longer counts as spent here, nor as received. If a report is
// lost, it is as before: nobody knows that the tokens were spent. Tokens used here and at the lender stay the same, so no report affects what can be spent.
// random returns numbers from 0 to 1, see drawLender.
func (sh *Shard) TakeSpendingReports(now time.Duration, random func() float64) []SpendingReport {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []SpendingReport
	for team, ac := range sh.accounts {
		if _, ok := sh.rows[team][sh.config.Instance]; ok {
			continue
		}
		tokens := min(ac.spent, ac.received-ac.lent)
		if tokens <= 0 || (!sh.closing && tokens < sh.totals[team]/reportDivisor && now-ac.reportedAt < reportInterval) {
			continue
		}
		lender := sh.drawLender(team, now, random)
		if lender == "" {
			continue
		}
		ac.spent -= tokens
		ac.received -= tokens
		ac.reportedAt = now
		list = append(list, SpendingReport{Team: team, Tokens: tokens, Lender: lender})
	}
	slices.SortFunc(list, func(aa, bb SpendingReport) int { return cmp.Compare(aa.Team, bb.Team) })
	return list
}

// drawLender returns one of the active instances that have lent tokens of a team, or an empty name. Each is drawn in proportion to what it has lent: a report
// for more than that is cut, and all borrowers together would report more to the largest one than it has lent.
func (sh *Shard) drawLender(team string, now time.Duration, random func() float64) string {
	sum := int64(0)
	var names []string
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance && now-sr.seenAt <= activeSpan && sr.row.NetLent > 0 {
			sum += sr.row.NetLent
			names = append(names, instance)
		}
	}
	slices.Sort(names)
	point := int64(random() * float64(sum))
	for _, name := range names {
		lent := sh.rows[team][name].row.NetLent
		if point < lent {
			return name
		}
		point -= lent
	}
	return ""
}

// ApplySpendingReport counts tokens that this instance lent as spent.
func (sh *Shard) ApplySpendingReport(team string, tokens int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	// The tokens may have come from another lender, or the row on which the choice of this one is based may be old.
	tokens = min(tokens, ac.netLent())
	if tokens > 0 {
		ac.spent += tokens
		ac.lent -= tokens
	}
}
