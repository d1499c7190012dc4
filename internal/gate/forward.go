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
	// maxUnreached bounds how many endpoints without a connection are tried for one request.
	maxUnreached = 4
	// leastLeft is the time below which a request is not sent: an endpoint would only start it in vain.
	leastLeft = 10 * time.Millisecond
	// firstSilenceFactor is the silence, against the expected time to the first event, after which a resumable stream goes elsewhere.
	firstSilenceFactor = 6
	// leastFirstSilence is the least such silence: a busy endpoint may take this long.
	leastFirstSilence = 1200 * time.Millisecond
	// pauseFactor is the silence, against the longest pause of the objective, after which a begun stream goes elsewhere.
	pauseFactor = 4
	// plainSilenceFactor is the silence, against the objective, after which an idempotent request is sent once more.
	plainSilenceFactor = 1
)

// forward sends the request to one endpoint after another until an answer was passed on, or none can be had.
func (vi *visit) forward() error {
	vi.content = vi.contentHash()
	if vi.gate.config.Quarantine.Blocked(vi.content) {
		return fault.New(fault.Quarantined, fault.NotRun, "the request has crashed several endpoints").WithRetryAfter(quarantineRetry)
	}
	if err := vi.reserve(); err != nil {
		return err
	}
	defer vi.settle()
	defer func() { _ = http.NewResponseController(vi.writer).SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithTimeout(vi.request.Context(), vi.left())
	defer cancel()
	fw := &forwarding{visit: vi, ctx: ctx, lastEvent: vi.call.LastEvent}
	return fw.run()
}

// quarantineRetry is when a caller may try a quarantined request again.
const quarantineRetry = 5 * time.Second

func (vi *visit) contentHash() uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(vi.request.Method + " " + vi.request.RequestURI + "\x00" + vi.call.Key + "\x00")
	_, _ = di.Write(vi.body)
	return di.Sum64()
}

// forwarding is the state of one request between sends.
type forwarding struct {
	visit *visit
	ctx   context.Context //nolint:containedctx // lives as long as one request
	tried []string
	// sends counts the endpoints that may have got the request.
	sends     int
	unreached int
	verdict   fault.Verdict
	// fallback is a genuine answer that reports a failure; it goes to the caller if nothing better comes.
	fallback *answer
	// lastEvent and events are the id of the last event that was passed on, and how many were.
	lastEvent int64
	events    int64
	headed    bool
	// silent is whether an endpoint was given up because it was silent for too long.
	silent atomic.Bool
}

func (fw *forwarding) run() error {
	for {
		de, err := fw.choose()
		if err != nil {
			return fw.conclude(err)
		}
		err = fw.send(de)
		if err == nil {
			return nil
		}
		if !fw.again(err) {
			return fw.conclude(err)
		}
		fw.visit.logAgain(de, err)
	}
}

// choose places the request, and draws on the allowance where it was sent before.
func (fw *forwarding) choose() (place.Decision, error) {
	vi := fw.visit
	cf := vi.gate.config
	now := vi.now()
	rq := place.Request{
		Prompt: vi.call.Prompt, Output: vi.call.Output, Parts: vi.call.Parts, Domain: cf.Domain, Tried: fw.tried, Rank: vi.route.Priority,
		TimeLeft: vi.usefulTime(),
	}
	de := cf.Board.Pick(now, vi.service, cf.Roster.Usable(vi.service.Name), rq)
	vi.trail.note(de)
	if de.Endpoint == nil {
		return de, fault.New(fault.Overloaded, fault.NotRun, de.Reason).WithRetryAfter(de.RetryAfter)
	}
	if fw.sends == 0 {
		cf.Allowance.RecordRequest(now, vi.service.Name)
		return de, nil
	}
	if !cf.Allowance.AllowRetry(now, vi.service.Name) {
		return de, fault.New(fault.Overloaded, fault.NotRun, "the allowance for sending again is used up").WithRetryAfter(lackingRetry)
	}
	return de, nil
}

// usefulTime returns the time in which a first event is of use: callers leave a stream that is silent for longer.
func (vi *visit) usefulTime() time.Duration {
	if !vi.route.Stream {
		return vi.left()
	}
	return min(vi.left(), max(2*time.Second, 4*vi.route.LatencyTarget, 8*vi.route.InterEventTarget))
}

// again reports whether a request may go to a further endpoint after an error.
func (fw *forwarding) again(err error) bool {
	vi := fw.visit
	if fw.ctx.Err() != nil || vi.left() < leastLeft {
		return false
	}
	fa := fault.From(err, fault.MayHaveRun)
	switch {
	case fa.Kind() == fault.Unavailable && fa.Verdict() == fault.NotRun:
		fw.unreached++
		return fw.unreached < maxUnreached
	case fw.sends >= vi.route.MaxAttempts:
		return false
	case fa.Kind() == fault.Canceled:
		return false
	case fa.Verdict() == fault.NotRun:
		return true
	case fw.headed:
		return vi.route.RetrySafety == plan.Resumable
	default:
		return vi.route.RetrySafety != plan.Once
	}
}

// conclude returns the error of the whole request: what an earlier send left open stays open.
func (fw *forwarding) conclude(err error) error {
	vi := fw.visit
	if vi.request.Context().Err() != nil {
		return fault.Wrap(err, fault.Canceled, fw.verdict.Max(fault.NotRun), "the caller left")
	}
	if fw.headed {
		return fault.Wrap(err, fault.Upstream, fault.Ran, "the stream broke off")
	}
	if fw.fallback != nil {
		return fw.fallback.write(vi.writer)
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
func (fw *forwarding) send(de place.Decision) error {
	vi := fw.visit
	cf := vi.gate.config
	rq := place.Request{Prompt: vi.call.Prompt, Parts: vi.call.Parts}
	sd := cf.Board.Begin(vi.now(), vi.service, rq, de)
	cf.Notifier.NotifyDispatch(de.Endpoint.ID, rq.PrefixID(), de.UncachedTokens)
	fw.tried = append(fw.tried, de.Endpoint.ID)
	vi.trail.send(de)
	out, err := fw.exchange(de, sd)
	sd.End(vi.now(), out)
	return err
}

func (fw *forwarding) exchange(de place.Decision, sd *place.Attempt) (place.Outcome, error) {
	vi := fw.visit
	cf := vi.gate.config
	ctx, cancel := context.WithCancel(fw.ctx)
	defer cancel()
	silence := fw.silence(de)
	var watch *time.Timer
	if silence > 0 {
		watch = time.AfterFunc(silence, func() {
			fw.silent.Store(true)
			cancel()
		})
		defer watch.Stop()
	}
	ex, err := cf.Pool.Do(ctx, de.Endpoint.Address, conns.Request{
		Method: vi.request.Method, Target: vi.request.RequestURI, Host: vi.request.Host, Body: vi.body,
		Header: cf.Protocol.EndpointHeaders(vi.request.Header, ForwardInfo{
			Endpoint: de.Endpoint.ID, Team: vi.team, Left: vi.left(), LastEvent: fw.lastEvent, CopyFrom: de.CopyAddress(),
		}),
		Matches: vi.mine,
	})
	if err != nil {
		return fw.unanswered(de, err, ctx.Err() != nil)
	}
	defer ex.Close()
	fw.sends++
	sd.RecordActivity(vi.now())
	re := cf.Protocol.DecodeResponse(ex.Response.StatusCode, ex.Response.Header)
	if re.HasLoad {
		sd.RecordLoad(vi.now(), re.Load)
	}
	if re.Declined {
		return place.Declined, fault.New(fault.Refused, fault.NotRun, "the endpoint declined the request")
	}
	fw.verdict = fault.MayHaveRun
	if vi.route.Stream && ex.Response.StatusCode < 300 && re.Genuine {
		return fw.relayStream(ex, de, sd, watch)
	}
	return fw.relayWhole(ex, re)
}

// unanswered classifies a send without an answer; given up says that this instance closed the connection.
func (fw *forwarding) unanswered(de place.Decision, err error, givenUp bool) (place.Outcome, error) {
	vi := fw.visit
	fa := fault.From(err, fault.MayHaveRun)
	switch {
	case vi.request.Context().Err() != nil:
		fw.verdict = fw.verdict.Max(fa.Verdict())
		return place.Canceled, err
	case fa.Verdict() == fault.NotRun:
		return place.Unreachable, err
	}
	fw.sends++
	fw.verdict = fw.verdict.Max(fault.MayHaveRun)
	vi.charge(fw.events)
	if !givenUp {
		vi.gate.config.Quarantine.RecordCrash(vi.content, de.Endpoint.ID)
	}
	return place.Incomplete, err
}

// silence returns how long the endpoint may be silent before the request goes elsewhere, or zero where it may not.
func (fw *forwarding) silence(de place.Decision) time.Duration {
	vi := fw.visit
	if fw.sends+1 >= vi.route.MaxAttempts {
		return 0
	}
	switch vi.route.RetrySafety {
	case plan.Resumable:
		return max(leastFirstSilence, firstSilenceFactor*de.TimeToFirstEvent)
	case plan.Idempotent:
		return max(plainSilenceFactor*vi.route.LatencyTarget, leastLeft)
	default:
		return 0
	}
}
