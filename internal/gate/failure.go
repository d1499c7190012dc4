package gate

import (
	"context"
	"errors"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// maxUnreachable bounds the failed connection attempts to endpoints for one request.
	maxUnreachable = 4
	// minTimeLeft is the minimum time left until the deadline for a retry. With less, an endpoint could not finish the request.
	minTimeLeft = 10 * time.Millisecond
)

// classifyFailure returns the outcome of an attempt without a response. canceled is true if this instance itself closed the connection.
func (fw *forwarder) classifyFailure(de place.Decision, err error, canceled bool) (place.Outcome, error) {
	pr := fw.request
	fa := fault.From(err, fault.MayHaveRun)
	switch {
	case pr.httpRequest.Context().Err() != nil:
		fw.verdict = fw.verdict.Max(fa.Verdict())
		if fa.Verdict() != fault.NotRun {
			pr.updateCost(fw.eventCount)
		}
		return place.Canceled, err
	case fa.Verdict() == fault.NotRun:
		return place.Unreachable, err
	}
	fw.attempts++
	fw.verdict = fw.verdict.Max(fault.MayHaveRun)
	pr.updateCost(fw.eventCount)
	if !canceled {
		fw.recordCrash(de, err)
	}
	return place.Incomplete, err
}

// mayRetry reports whether the request may be sent to another endpoint after an error.
func (fw *forwarder) mayRetry(err error) bool {
	pr := fw.request
	if fw.ctx.Err() != nil || pr.timeLeft() < minTimeLeft {
		return false
	}
	fa := fault.From(err, fault.MayHaveRun)
	switch {
	case fa.Kind() == fault.Unavailable && fa.Verdict() == fault.NotRun:
		fw.unreachable++
		return fw.unreachable < maxUnreachable
	case fw.attempts >= pr.route.MaxAttempts:
		return false
	case fa.Kind() == fault.Canceled:
		return false
	case fa.Verdict() == fault.NotRun:
		return true
	case fw.headerSent:
		return pr.route.RetrySafety == plan.Resumable
	default:
		return pr.route.RetrySafety != plan.Once
	}
}

// conclude returns the final error of the request, or sends the fallback response.
//
// If an earlier attempt may have run the request, the error says so, even if the last attempt did not run it. If the instance has stopped, the error
// says so instead of closing the connection without a response.
func (fw *forwarder) conclude(err error) error {
	pr := fw.request
	if pr.httpRequest.Context().Err() != nil {
		return fault.Wrap(err, fault.Canceled, fw.verdict.Max(fault.NotRun), "the caller left")
	}
	if fw.headerSent {
		return fault.Wrap(err, fault.Upstream, fault.Ran, "the stream broke off")
	}
	if fw.fallback != nil {
		return fw.fallback.write(pr)
	}
	fa := fault.From(err, fault.MayHaveRun)
	if pr.gate.config.Beliefs.Stopped().Err() != nil {
		fa = fault.Wrap(err, fault.Unavailable, fa.Verdict(), "the instance was shut down before the response was complete").WithRetryAfter(stoppingRetryAfter)
	}
	if fw.verdict > fa.Verdict() {
		fa = fault.Wrap(err, fault.Upstream, fw.verdict, "an earlier attempt may have run the request")
	}
	if errors.Is(fw.ctx.Err(), context.DeadlineExceeded) && fa.Verdict() != fault.NotRun {
		fa = fault.Wrap(err, fault.Timeout, fa.Verdict(), "the time for the answer is over")
	}
	return fa
}
