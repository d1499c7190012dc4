package gate

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// maxUnreachable bounds how many endpoints without a connection are tried for one request.
	maxUnreachable = 4
	// minTimeLeft is the time below which a request is not sent: an endpoint would only start it in vain.
	minTimeLeft = 10 * time.Millisecond
	// firstEventTimeoutFactor is the silence, against the expected time to the first event, after which a resumable stream goes elsewhere.
	firstEventTimeoutFactor = 6
	// minStallTimeout is the least such silence: a busy endpoint may take this long.
	minStallTimeout = 1200 * time.Millisecond
	// eventTimeoutFactor is the silence, against the longest pause of the objective, after which a begun stream goes elsewhere.
	eventTimeoutFactor = 4
	// plainTimeoutFactor is the silence, against the objective, after which an idempotent request is sent once more.
	plainTimeoutFactor = 1
)

// forward sends the request to one endpoint after another until an answer was passed on, or none can be had.
func (pr *proxyRequest) forward() error {
	pr.contentHash = pr.hashContent()
	if pr.gate.config.Quarantine.Blocked(pr.contentHash) {
		return fault.New(fault.Quarantined, fault.NotRun, "the request has crashed several endpoints").WithRetryAfter(quarantineRetryAfter)
	}
	if err := pr.reserve(); err != nil {
		return err
	}
	defer pr.settle()
	defer func() { _ = http.NewResponseController(pr.writer).SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithTimeout(pr.request.Context(), pr.timeLeft())
	defer cancel()
	fw := &forwarder{request: pr, ctx: ctx, lastEventID: pr.info.LastEvent}
	return fw.run()
}

// quarantineRetryAfter is when a caller may try a quarantined request again.
const quarantineRetryAfter = 5 * time.Second

func (pr *proxyRequest) hashContent() uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(pr.request.Method + " " + pr.request.RequestURI + "\x00" + pr.info.Key + "\x00")
	_, _ = di.Write(pr.body)
	return di.Sum64()
}

// forwarder is the state of one request between sends.
type forwarder struct {
	request *proxyRequest
	ctx     context.Context //nolint:containedctx // lives as long as one request
	tried   []string
	// attempts counts the endpoints that may have got the request.
	attempts    int
	unreachable int
	verdict     fault.Verdict
	// fallback is a genuine answer that reports a failure; it goes to the caller if nothing better comes.
	fallback *response
	// lastEventID and events are the id of the last event that was passed on, and how many were.
	lastEventID int64
	eventCount  int64
	headerSent  bool
	// stalled is whether an endpoint was given up because it was stalled for too long.
	stalled atomic.Bool
}

func (fw *forwarder) run() error {
	for {
		de, err := fw.choose()
		if err != nil {
			return fw.conclude(err)
		}
		err = fw.send(de)
		if err == nil {
			return nil
		}
		if !fw.mayRetry(err) {
			return fw.conclude(err)
		}
		fw.request.logRetry(de, err)
	}
}

// choose places the request, and draws on the allowance where it was sent before.
func (fw *forwarder) choose() (place.Decision, error) {
	pr := fw.request
	cf := pr.gate.config
	now := pr.now()
	rq := place.Request{
		Prompt: pr.info.Prompt, Output: pr.info.Output, Parts: pr.info.Parts, Domain: cf.Domain, Tried: fw.tried, Rank: pr.route.Priority,
		TimeLeft: pr.firstEventLimit(),
	}
	de := cf.Board.Pick(now, pr.service, cf.Roster.Usable(pr.service.Name), rq)
	pr.entry.recordDecision(de)
	if de.Endpoint == nil {
		return de, fault.New(fault.Overloaded, fault.NotRun, de.Reason).WithRetryAfter(de.RetryAfter)
	}
	if fw.attempts == 0 {
		cf.Allowance.RecordRequest(now, pr.service.Name)
		return de, nil
	}
	if !cf.Allowance.AllowRetry(now, pr.service.Name) {
		return de, fault.New(fault.Overloaded, fault.NotRun, "the allowance for sending again is used up").WithRetryAfter(insufficientRetryAfter)
	}
	return de, nil
}

// firstEventLimit returns the time in which a first event is of use: callers leave a stream that is silent for longer.
func (pr *proxyRequest) firstEventLimit() time.Duration {
	if !pr.route.Stream {
		return pr.timeLeft()
	}
	return min(pr.timeLeft(), max(2*time.Second, 4*pr.route.LatencyTarget, 8*pr.route.InterEventTarget))
}

// mayRetry reports whether a request may go to a further endpoint after an error.
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

// conclude returns the error of the whole request: what an earlier send left open stays open.
func (fw *forwarder) conclude(err error) error {
	pr := fw.request
	if pr.request.Context().Err() != nil {
		return fault.Wrap(err, fault.Canceled, fw.verdict.Max(fault.NotRun), "the caller left")
	}
	if fw.headerSent {
		return fault.Wrap(err, fault.Upstream, fault.Ran, "the stream broke off")
	}
	if fw.fallback != nil {
		return fw.fallback.write(pr.writer)
	}
	fa := fault.From(err, fault.MayHaveRun)
	if fw.verdict > fa.Verdict() {
		fa = fault.Wrap(err, fault.Upstream, fw.verdict, "an endpoint did not answer the request")
	}
	if errors.Is(fw.ctx.Err(), context.DeadlineExceeded) && fa.Verdict() != fault.NotRun {
		fa = fault.Wrap(err, fault.Timeout, fa.Verdict(), "the time for the answer is over")
	}
	return fa
}

// send sends the request to one endpoint and passes its answer on.
func (fw *forwarder) send(de place.Decision) error {
	pr := fw.request
	cf := pr.gate.config
	rq := place.Request{Prompt: pr.info.Prompt, Parts: pr.info.Parts}
	sd := cf.Board.Begin(pr.now(), pr.service, rq, de)
	cf.Notifier.NotifyDispatch(de.Endpoint.ID, rq.PrefixID(), de.UncachedTokens)
	fw.tried = append(fw.tried, de.Endpoint.ID)
	pr.entry.recordAttempt(de)
	out, err := fw.exchange(de, sd)
	sd.End(pr.now(), out)
	return err
}

func (fw *forwarder) exchange(de place.Decision, sd *place.Attempt) (place.Outcome, error) {
	pr := fw.request
	cf := pr.gate.config
	ctx, cancel := context.WithCancel(fw.ctx)
	defer cancel()
	silence := fw.stallTimeout(de)
	var watch *time.Timer
	if silence > 0 {
		watch = time.AfterFunc(silence, func() {
			fw.stalled.Store(true)
			cancel()
		})
		defer watch.Stop()
	}
	ex, err := cf.Pool.Do(ctx, de.Endpoint.Address, conns.Request{
		Method: pr.request.Method, Target: pr.request.RequestURI, Host: pr.request.Host, Body: pr.body,
		Header: cf.Protocol.EndpointHeaders(pr.request.Header, ForwardInfo{
			Endpoint: de.Endpoint.ID, Team: pr.team, Left: pr.timeLeft(), LastEvent: fw.lastEventID, CopyFrom: de.CopyAddress(),
		}),
		Matches: pr.matches,
	})
	if err != nil {
		return fw.classifyFailure(de, err, ctx.Err() != nil)
	}
	defer ex.Close()
	fw.attempts++
	sd.RecordActivity(pr.now())
	re := cf.Protocol.DecodeResponse(ex.Response.StatusCode, ex.Response.Header)
	if re.HasLoad {
		sd.RecordLoad(pr.now(), re.Load)
	}
	if re.Declined {
		return place.Declined, fault.New(fault.Refused, fault.NotRun, "the endpoint declined the request")
	}
	fw.verdict = fault.MayHaveRun
	if pr.route.Stream && ex.Response.StatusCode < 300 && re.Genuine {
		return fw.relayStream(ex, de, sd, watch)
	}
	return fw.relayComplete(ex, re)
}

// classifyFailure classifies a send without an answer; given up says that this instance closed the connection.
func (fw *forwarder) classifyFailure(de place.Decision, err error, givenUp bool) (place.Outcome, error) {
	pr := fw.request
	fa := fault.From(err, fault.MayHaveRun)
	switch {
	case pr.request.Context().Err() != nil:
		fw.verdict = fw.verdict.Max(fa.Verdict())
		return place.Abandoned, err
	case fa.Verdict() == fault.NotRun:
		return place.Unreachable, err
	}
	fw.attempts++
	fw.verdict = fw.verdict.Max(fault.MayHaveRun)
	pr.updateCost(fw.eventCount)
	if !givenUp {
		pr.gate.config.Quarantine.RecordCrash(pr.contentHash, de.Endpoint.ID)
	}
	return place.Incomplete, err
}

// stallTimeout returns how long the endpoint may be silent before the request goes elsewhere, or zero where it may not.
func (fw *forwarder) stallTimeout(de place.Decision) time.Duration {
	pr := fw.request
	if fw.attempts+1 >= pr.route.MaxAttempts {
		return 0
	}
	switch pr.route.RetrySafety {
	case plan.Resumable:
		return max(minStallTimeout, firstEventTimeoutFactor*de.TimeToFirstEvent)
	case plan.Idempotent:
		return max(plainTimeoutFactor*pr.route.LatencyTarget, minTimeLeft)
	default:
		return 0
	}
}
