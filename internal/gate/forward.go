package gate

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// forward reserves tokens and sends the request to one endpoint after another until a response is relayed or no further attempt is allowed.
func (pr *proxyRequest) forward() error {
	pr.traits = pr.findTraits()
	pr.recognize()
	if err := pr.checkQuarantine(); err != nil {
		return err
	}
	if err := pr.reserve(); err != nil {
		return err
	}
	defer pr.settle()
	defer func() { _ = http.NewResponseController(pr.writer).SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithTimeout(pr.httpRequest.Context(), pr.timeLeft())
	defer cancel()
	fw := &forwarder{request: pr, ctx: ctx, lastEventID: pr.info.LastEvent}
	defer context.AfterFunc(pr.gate.config.Beliefs.Stopped(), cancel)()
	if err := fw.findBuild(); err != nil {
		return fw.conclude(err)
	}
	defer context.AfterFunc(pr.gate.config.Beliefs.Stopped(), fw.logCutOff)()
	return fw.run()
}

// forwarder sends one request to endpoints and keeps its state between attempts.
type forwarder struct {
	request *proxyRequest
	ctx     context.Context //nolint:containedctx // lives as long as one request
	// tried holds the IDs of the endpoints of all attempts.
	tried []string
	// attempts counts the attempts that may have reached an endpoint.
	attempts int
	// noRoom reports whether the endpoint of the last attempt declined the request and stated no time for which it wants none.
	noRoom bool
	// unreachable counts the attempts that failed to connect.
	unreachable int
	// verdict is the highest verdict of the attempts so far. It says whether any attempt ran the request or may have run it.
	verdict fault.Verdict
	// fallback is a signed error response of an endpoint. It is relayed to the caller if no attempt succeeds.
	fallback *response
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID int64
	// eventCount is the number of events relayed to the caller.
	eventCount int64
	// headerSent reports whether the caller has received the response header.
	headerSent bool
	// endpoint is the endpoint of the last attempt.
	endpoint *roster.Endpoint
	// build is the build of the endpoint that began the stream, or nil before its first event.
	build atomic.Pointer[string]
	// sentAt is the time when the last attempt began.
	sentAt time.Duration
	// sent reports whether any attempt has begun.
	sent atomic.Bool
	// stalled reports whether an attempt was canceled because the endpoint sent nothing within the timeout.
	stalled atomic.Bool
	// next is the endpoint of the next attempt if it was chosen before the last one was canceled, or nil.
	next atomic.Pointer[place.Decision]
}

// run makes attempts until one succeeds or no retry is allowed, and returns the final error.
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
		if blocked := fw.request.checkQuarantine(); blocked != nil {
			return fw.conclude(blocked)
		}
		fw.request.logRetry(de, err)
	}
}

// logCutOff counts and logs that the instance stops while the request is in flight.
func (fw *forwarder) logCutOff() {
	pr := fw.request
	pr.gate.config.Metrics.Counter("weir_requests_cut_off_total").Inc()
	pr.gate.config.Logger.Info("request cut off", "request", pr.info.ID, "route", pr.route.Name, "service", pr.service.Name,
		"took", seconds(pr.now()-pr.start), "left", seconds(pr.timeLeft()), "sent", fw.sent.Load())
}

// choose picks an endpoint for the next attempt. Once an endpoint may have received the request, each further attempt counts against the
// retry budget.
func (fw *forwarder) choose() (place.Decision, error) {
	pr := fw.request
	cf := pr.gate.config
	if de := fw.next.Swap(nil); de != nil {
		if !slices.Contains(fw.tried, de.Endpoint.ID) && fw.fits(de.Endpoint) {
			pr.entry.recordDecision(*de)
			return *de, nil
		}
		cf.Board.Release(*de)
	}
	de := fw.awaitRoom(fw.pick(fw.tried))
	pr.entry.recordDecision(de)
	if de.Examined < de.Candidates && de.Endpoint != nil {
		cf.Metrics.Counter("weir_sampled_decisions_total").Inc()
	}
	if de.Endpoint == nil {
		if de.Withheld > 0 {
			cf.Metrics.Counter("weir_rate_limited_refusals_total").Inc()
		}
		refusal := fault.New(fault.Overloaded, fault.NotRun, de.Reason).WithRetryAfter(de.RetryAfter)
		if lacksCapacity(de) || fw.noRoom {
			return de, pr.recordShortage(refusal, false)
		}
		return de, refusal
	}
	if fw.verdict < fault.MayHaveRun {
		if err := pr.checkStop(); err != nil {
			cf.Board.Release(de)
			return de, err
		}
	}
	if fw.attempts == 0 {
		cf.Allowance.RecordRequest(pr.now(), pr.service.Name)
		return de, nil
	}
	if !cf.Allowance.AllowRetry(pr.now(), pr.service.Name) {
		cf.Board.Release(de)
		return de, fault.New(fault.Overloaded, fault.NotRun, "the allowance for sending again is used up").WithRetryAfter(insufficientRetryAfter)
	}
	return de, nil
}

// placement returns the properties of the request that decide its placement; tried are the endpoints that may not be chosen again.
func (pr *proxyRequest) placement(tried []string) place.Request {
	return place.Request{
		Prompt: pr.info.Prompt, Output: pr.info.Output, Parts: pr.info.Parts, Domain: pr.gate.config.Domain, Tried: tried, Bytes: int64(len(pr.body)),
		Rank: pr.route.Priority, TimeLeft: pr.firstEventLimit(), Team: pr.team, Resumed: pr.returned,
	}
}

// firstEventLimit returns the maximum time until the first event of a stream: callers abandon streams that start later. For other
// requests it returns the time left until the deadline.
func (pr *proxyRequest) firstEventLimit() time.Duration {
	if !pr.route.Stream {
		return pr.timeLeft()
	}
	return min(pr.timeLeft(), max(2*time.Second, 4*pr.route.LatencyTarget, 8*pr.route.InterEventTarget))
}

// send makes one attempt at the chosen endpoint and relays its response.
func (fw *forwarder) send(de place.Decision) error {
	pr := fw.request
	cf := pr.gate.config
	rq := place.Request{Prompt: pr.info.Prompt, Parts: pr.info.Parts}
	at := cf.Board.Begin(pr.now(), pr.service, rq, de)
	cf.Notifier.NotifyDispatch(de.Endpoint.ID, rq.PrefixID(), de.UncachedTokens)
	fw.tried = append(fw.tried, de.Endpoint.ID)
	fw.endpoint = de.Endpoint
	fw.sentAt = pr.now()
	fw.sent.Store(true)
	fw.noRoom = false
	pr.entry.relayPeer = ""
	if de.PermitFrom != "" {
		cf.Metrics.Counter("weir_rate_limited_sends_total").Inc()
	}
	pr.recordSpill(de)
	pr.entry.recordAttempt(de)
	pr.entry.urgency = pr.urgency()
	out, err := fw.exchange(de, at)
	at.End(pr.now(), out)
	pr.recordCompletion(out)
	return err
}

// exchange sends the request to the endpoint, relays the response and returns the outcome of the attempt.
func (fw *forwarder) exchange(de place.Decision, at *place.Attempt) (place.Outcome, error) {
	pr := fw.request
	cf := pr.gate.config
	ctx, cancel := context.WithCancel(fw.ctx)
	defer cancel()
	fw.stalled.Store(false)
	var watch *stallWatch
	if timeout := fw.stallTimeout(de); timeout > 0 {
		watch = fw.watchStall(ctx, timeout, cancel)
		defer watch.stop()
	}
	cf.Shedder.RecordWrite(pr.now(), len(pr.body), 0)
	ex, err := cf.Pool.Do(ctx, de.Endpoint.Address, conns.Request{
		ID: pr.info.ID, Endpoint: de.Endpoint.ID, Method: pr.httpRequest.Method, Target: pr.httpRequest.RequestURI, Host: pr.httpRequest.Host, Body: pr.body,
		Header: cf.Protocol.EndpointHeaders(pr.httpRequest.Header, ForwardInfo{
			Endpoint: de.Endpoint.ID, Team: pr.team, Left: pr.timeLeft(), LastEvent: fw.lastEventID, CopyFrom: de.CopyAddress(), Urgency: pr.entry.urgency,
		}),
		Matches: pr.matches,
	})
	if err != nil {
		return fw.classifyFailure(de, err, ctx.Err() != nil)
	}
	defer ex.Close()
	pr.entry.relayPeer = ex.Peer
	fw.attempts++
	at.RecordActivity(pr.now())
	ri := cf.Protocol.DecodeResponse(ex.Response.StatusCode, ex.Response.Header)
	if ri.HasLoad {
		at.RecordLoad(pr.now(), ri.Load)
	}
	if ri.HasRateLimit {
		fw.recordRateLimit(de, at, ri.RateLimit)
	}
	fw.recordAvailability(de, at, ri)
	at.RecordResponse()
	if ri.HasBrittleness && at.RecordBrittleness(pr.now(), pr.service.Name, ri.Brittleness) {
		cf.Logger.Info("brittleness", "endpoint", de.Endpoint.ID, "brittle", ri.Brittleness.Brittle, "perSecond", ri.Brittleness.PerSecond, "request", pr.info.ID)
	}
	if ri.Declined {
		ex.RecordRefusal()
		fw.recordRejection(de, at, ex.Response.StatusCode)
		delay := cf.Board.TimeToWilling(pr.now(), cf.Roster.Usable(pr.service.Name))
		refusal := fault.New(fault.Refused, fault.NotRun, "the endpoint declined the request").WithRetryAfter(delay)
		if fw.noRoom = ri.RefusalTime == 0 && ex.Response.StatusCode != http.StatusMisdirectedRequest; fw.noRoom {
			return place.Declined, pr.recordShortage(refusal, false)
		}
		return place.Declined, refusal
	}
	fw.verdict = fault.MayHaveRun
	if pr.route.Stream && ex.Response.StatusCode < 300 && ri.Genuine {
		return fw.relayStream(ex, de, at, watch)
	}
	return fw.relayComplete(ex, de, ri)
}
