package emul

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/limit"
	"github.com/clementineweir/clementineweir/pkg/place"
)

const (
	// limitWindow is the span over which requests to a limited runner are counted.
	limitWindow = 4 * time.Second
	// limitSettleTime is the time from the first statement of a limit until it is counted.
	limitSettleTime = 3 * time.Second
	// limitStartTime is the time from the first statement of a limit until its use is counted, since a new issuer begins at half the rate.
	limitStartTime = 6 * time.Second
	// issuerName is the name of the only issuer.
	issuerName = "issuer"
	// askDelay is the time from an ask for permits until its answer.
	askDelay = 5 * time.Millisecond
)

// RateLimit is a rate limit that some runners name in their responses.
type RateLimit struct {
	// Runners is the number of runners that name the limit, each for itself.
	Runners int
	// PerSecond is the limit in requests a second.
	PerSecond float64
	// From is the time from which the runners name the limit.
	From time.Duration
	// To is the time from which they do not name it any more.
	To time.Duration
}

// LimitTally says how a policy kept the rate limits.
type LimitTally struct {
	// Peak is the maximum, over all limited runners and spans of limitWindow, of requests / allowed, where allowed is PerSecond times the span.
	Peak float64
	// Use is requests / allowed over all limited runners and the time from limitStartTime after the first statement.
	Use float64
}

// statement returns what the runner with the given index says of its rate limit.
func (si *simulation) statement(index int) limit.Statement {
	rl := si.scenario.RateLimit
	if index >= rl.Runners || si.clock.now < rl.From || si.clock.now >= rl.To {
		return limit.Statement{}
	}
	return limit.Statement{Limited: true, PerSecond: rl.PerSecond}
}

// limitTally counts the requests at the limited runners.
func (si *simulation) limitTally() LimitTally {
	rl, ta := si.scenario.RateLimit, LimitTally{}
	from, to := rl.From+limitSettleTime, min(rl.To, si.scenario.Duration)
	if rl.Runners == 0 || to <= from {
		return ta
	}
	total := 0
	for _, ru := range si.runners[:rl.Runners] {
		first := 0
		for ix, at := range ru.arrivals {
			for ru.arrivals[first] < from && first < ix || at-ru.arrivals[first] >= limitWindow {
				first++
			}
			if at >= rl.From+limitStartTime && at < to {
				total++
			}
			if at >= from && at < to {
				ta.Peak = max(ta.Peak, float64(ix-first+1)/(rl.PerSecond*limitWindow.Seconds()))
			}
		}
	}
	ta.Use = float64(total) / (rl.PerSecond * (to - rl.From - limitStartTime).Seconds() * float64(rl.Runners))
	return ta
}

// recordRateLimit passes what a runner says of its rate limit to the instance and, if it is news, to the others.
func (we *weir) recordRateLimit(instance int, at *place.Attempt, ru *runner) {
	clock, st, process := we.sim.clock, we.sim.statement(we.sim.runnerIndex[ru]), ru.endpoint.Process()
	if ch := at.RecordRateLimit(clock.now, st); !ch.Notify {
		return
	}
	clock.at(clock.now+noticeDelay, func() {
		for ix, ba := range we.balancers {
			if ix != instance {
				ba.RecordPeerRateLimit(clock.now, process, st)
			}
		}
	})
}

// sendAsks sends the asks of an instance for permits to the issuer.
func (we *weir) sendAsks(instance int) {
	clock, ba := we.sim.clock, we.balancers[instance]
	for _, ask := range ba.TakeAsks() {
		askedAt := clock.now
		clock.at(askedAt+askDelay/2, func() {
			gr := we.issuer.Issue(clock.now, instanceName(instance), ask.WithIssuer(issuerName))
			clock.at(askedAt+askDelay, func() { ba.AnswerAsk(clock.now, askedAt, ask, issuerName, gr) })
		})
	}
}
