package gate

import (
	"math/bits"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/turn"
)

// shortage is a refusal for lack of capacity or tokens, whose caller gets a slot in the schedule of returns.
type shortage struct {
	refusal *fault.Error
	tokens  bool
}

// recordShortage marks a refusal as one for lack of tokens, or else of capacity, and returns it. It counts only if it is the error that ends the request.
func (pr *proxyRequest) recordShortage(refusal *fault.Error, tokens bool) error {
	pr.shortage = shortage{refusal: refusal, tokens: tokens}
	return refusal
}

// lacksCapacity reports whether the balancer found endpoints, and refused the request because they are too busy. Only then does a refusal state expected times.
func lacksCapacity(de place.Decision) bool { return de.Endpoint == nil && de.TimeToFirstEvent > 0 }

// schedule returns the refusal that is sent to the caller: one for lack of capacity or tokens tells it to come back when the schedule has a free slot.
func (pr *proxyRequest) schedule(fa *fault.Error) *fault.Error {
	if fa != pr.shortage.refusal || fa.Verdict() != fault.NotRun {
		return fa
	}
	cf := pr.gate.config
	if delay, ok := cf.Shedder.Elsewhere(pr.timeLeft()); ok && !pr.shortage.tokens {
		return fa.WithRetryAfter(delay)
	}
	sl := cf.Turns.Refuse(pr.now(), turn.Caller{
		Service: pr.service.Name, Team: pr.team, Tokens: pr.shortage.tokens, Content: pr.content, Rank: pr.rank, TimeLeft: pr.timeLeft(),
		Soonest: fa.RetryAfter(), Returned: pr.returned,
	})
	pr.entry.slot = sl
	if sl.Reserved {
		cf.Metrics.Counter("weir_refusals_scheduled_total").Inc()
		cf.Notifier.NotifyReturn(pr.content, sl.Delay)
	}
	return fa.WithRetryAfter(sl.Delay)
}

// recognize finds out whether the request is that of a caller that was refused, here or at another instance, and told to come back now. Such a request is not
// refused to leave capacity for others.
func (pr *proxyRequest) recognize() {
	pr.content = pr.contentWithParts()
	pr.returned = pr.gate.config.Turns.Arrive(pr.now(), pr.content)
	if pr.returned {
		pr.gate.config.Metrics.Counter("weir_returned_requests_total").Inc()
	}
}

// countReturn counts the request if its caller has come back when it was told and is refused again.
func (pr *proxyRequest) countReturn(fa *fault.Error) {
	if pr.returned && fa.Verdict() == fault.NotRun && fa.Kind() != fault.Canceled {
		pr.gate.config.Metrics.Counter("weir_returned_refused_total").Inc()
	}
}

// recordCompletion records that an endpoint has finished an attempt, so that its capacity came free.
func (pr *proxyRequest) recordCompletion(out place.Outcome) {
	switch out {
	case place.Answered, place.Failed, place.Canceled:
		pr.gate.config.Turns.Complete(pr.now(), pr.service.Name, pr.team)
		pr.gate.config.Turns.MakeRoom(pr.service.Name)
	case place.Declined, place.Incomplete, place.Unreachable:
	}
}

// contentWithParts returns the number by which a refused request is recognized when it comes back; its ID is then a new one.
func (pr *proxyRequest) contentWithParts() uint64 {
	sum := pr.traits.Content
	for _, pa := range pr.info.Parts {
		hi, lo := bits.Mul64(sum^pa.ID, 0x9e3779b97f4a7c15)
		sum = hi ^ lo
	}
	return sum
}

// loadFields returns the fields of the log message that say how the request was treated under load.
func (le *logEntry) loadFields(returned bool) []any {
	var args []any
	if le.urgency > 0 {
		args = append(args, "urgency", le.urgency)
	}
	if le.slot.Delay > 0 {
		args = append(args, "slot", seconds(le.slot.Delay), "reserved", le.slot.Reserved)
	}
	if le.queued > 0 {
		args = append(args, "queued", seconds(le.queued))
	}
	if le.leftFor != "" {
		args = append(args, "domain", le.domain, "leftFor", le.leftFor)
	}
	if returned {
		args = append(args, "returned", true)
	}
	return args
}
