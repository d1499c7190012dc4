package gate

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/turn"
)

const (
	// roomWaitShare gives the maximum time that a request waits for room at an endpoint: the route's LatencyTarget / roomWaitShare.
	roomWaitShare = 4
	// roomChecks is the number of times that a waiting request looks for room without being told of any, since other instances make room, too.
	roomChecks = 2
)

// awaitRoom waits a short time if no endpoint has room for the request now, but one will soon. It returns the given refusal at once if that cannot help.
func (fw *forwarder) awaitRoom(refusal place.Decision) place.Decision {
	pr := fw.request
	cf := pr.gate.config
	if !lacksCapacity(refusal) || fw.attempts > 0 || len(fw.tried) > 0 {
		return refusal
	}
	wait := pr.route.LatencyTarget / roomWaitShare
	_, elsewhere := cf.Shedder.Elsewhere(pr.timeLeft())
	if elsewhere || wait <= 0 || !mayHelp(refusal, pr.placement(nil), wait) {
		return refusal
	}
	start := pr.now()
	pl := cf.Turns.Wait(start, turn.Waiter{
		Service: pr.service.Name, Team: pr.team, Rank: pr.rank, Returned: pr.returned, Deadline: pr.deadline, MaxWait: wait,
	})
	if pl == nil {
		return refusal
	}
	defer cf.Turns.Leave(pl)
	cf.Metrics.Counter("weir_queued_requests_total").Inc()
	de := fw.takeRoom(pl, refusal, wait)
	pr.entry.queued = pr.now() - start
	if de.Endpoint == nil {
		cf.Metrics.Counter("weir_queued_refused_total").Inc()
	}
	return de
}

// takeRoom looks for an endpoint whenever one may have room, until the wait is over.
func (fw *forwarder) takeRoom(pl *turn.Place, refusal place.Decision, wait time.Duration) place.Decision {
	turns := fw.request.gate.config.Turns
	checks := time.NewTicker(wait / roomChecks)
	defer checks.Stop()
	de := refusal
	for left := roomChecks; left > 0; {
		passes := -1
		select {
		case <-fw.ctx.Done():
			return de
		case passes = <-pl.Room():
		case <-checks.C:
			left--
		}
		de = fw.pick(nil)
		if de.Endpoint != nil || !lacksCapacity(de) {
			return de
		}
		if passes >= 0 {
			turns.Pass(pl, passes)
		}
	}
	return de
}

// mayHelp reports whether the request may be accepted after the wait, given the expected times now. Both shrink by the wait at most.
func mayHelp(refusal place.Decision, rq place.Request, wait time.Duration) bool {
	rq.TimeLeft -= wait
	if refusal.TimeToFirstEvent-wait >= rq.TimeLeft {
		return false
	}
	return rq.Prompt == 0 || rq.Resumed || refusal.QueueTime-wait <= rq.QueueLimit()
}

// recordEvent records an event of a stream. With the first one the endpoint has prefilled the prompt, so that it may have room for another.
func (pr *proxyRequest) recordEvent(at *place.Attempt, received int) {
	at.RecordFirstEvent(pr.now())
	at.RecordActivity(pr.now())
	if received == 1 {
		pr.gate.config.Turns.MakeRoom(pr.service.Name)
	}
}
