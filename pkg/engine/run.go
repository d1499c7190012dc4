package engine

import (
	"context"
	"errors"
	"time"

	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/route"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// maxAttempts is the maximum number of times that a request is sent to an endpoint, the first attempt included.
const maxAttempts = 3

// run is the state of one request in the engine.
type run struct {
	engine  *Engine
	request Request
	class   ticket.Class
	// key is the idempotency key qualified by the team, "team/key".
	key string
	// maxCost is an upper bound on the cost of the request in tokens.
	maxCost         int64
	maxAnswerTokens int64
	start           time.Duration
	firstChunk      time.Duration
	usage           Usage
	endpoint        string
	attempts        int
	// sentAt is the time when the last attempt began, and chunks the number of parts of its response so far.
	sentAt time.Duration
	chunks int
	// tried and triedDomains are the endpoints of the attempts so far and their failure domains.
	tried        []string
	triedDomains []string
	// falseRefusal is RequestSummary.FalseRefusal.
	falseRefusal bool
	// reportedElsewhere is set when a sharedRun notifies the observer of this request.
	reportedElsewhere bool
}

// computeMaxCost sets the upper bound on the cost of the request.
func (ru *run) computeMaxCost() error {
	rq := ru.request
	if rq.Service != "" {
		se, ok := ru.engine.Directory().Service(rq.Service)
		if !ok {
			return fault.New(fault.NotFound, fault.NotRun, "no such service")
		}
		ru.maxCost = se.TokensPerCall
		return nil
	}
	ru.maxAnswerTokens = rq.MaxAnswerTokens
	if ru.maxAnswerTokens == 0 {
		ru.maxAnswerTokens = ru.class.MaxAnswerTokens
	}
	if ru.maxAnswerTokens > ru.class.MaxAnswerTokens {
		return fault.New(fault.Invalid, fault.NotRun, "the answer asked for is longer than the request class allows")
	}
	ru.maxCost = rq.MaxPromptTokens + ru.maxAnswerTokens*max(1, rq.Choices)
	return nil
}

// reserve reserves maxCost tokens of this incarnation's grant. While the grant does not suffice, it waits for a larger grant or
// for other requests to end, until the class timeout.
func (ru *run) reserve(ctx context.Context) (escrow.Reservation, error) {
	en := ru.engine
	re := escrow.Reservation{Budget: ru.request.Budget, Tokens: ru.maxCost}
	err := escrow.Wait(ctx, escrow.WaitConfig{
		Book: en.config.Book, Clock: en.config.Clock, Wake: en.log.Wake, Exhausted: en.exhausted,
	}, re)
	switch {
	case err == nil:
		return re, nil
	case errors.Is(err, escrow.ErrExhausted):
		return re, fault.New(fault.BudgetExhausted, fault.NotRun, "the prepaid budget does not cover the request")
	default:
		ru.falseRefusal = true
		return re, fault.New(fault.Unavailable, fault.NotRun, "the prepaid budget is not exhausted, but no grant became available in time").
			WithRetryAfter(time.Second)
	}
}

// exhausted reports whether the budget could not cover the reservation even if every unspent grant were returned.
func (en *Engine) exhausted(re escrow.Reservation) bool {
	exhausted := false
	en.config.Replica.View(func(st *ledger.State) {
		bu, ok := st.Budget(re.Budget)
		exhausted = !ok || !bu.Covers(re.Tokens)
	})
	return exhausted
}

// serveIdempotent runs an idempotent request and retries it on another endpoint after a failure.
func (en *Engine) serveIdempotent(ctx context.Context, ru *run, si Sink) error {
	for {
		re, err := ru.reserve(ctx)
		if err != nil {
			return err
		}
		ts := &trackingSink{run: ru, sink: si}
		err = ru.attempt(ctx, ts)
		ru.settle(re, ts, err)
		if err == nil || !ru.mayRetry(ctx, ts, err) {
			return ru.finalError(ts, err)
		}
	}
}

// settle ends the reservation of one attempt: a success is billed, a failure after part of the response was delivered is written
// off, and any other failure costs nothing.
func (ru *run) settle(re escrow.Reservation, ts *trackingSink, err error) {
	if ru.maxCost == 0 && err != nil {
		return
	}
	co := escrow.Cost{Key: ru.billKey(), Deduplicate: ru.request.Key != ""}
	switch {
	case err == nil:
		co.Billed = ru.billed()
	case ts.delivered:
		co.Deduplicate = false
		co.WrittenOff = ru.writeOff()
	default:
		co.Deduplicate = false
	}
	ru.engine.config.Book.Settle(ru.engine.config.Clock(), re, co)
}

// billed returns the cost of an answered request; if the model runner reported no usage, maxCost is billed.
func (ru *run) billed() int64 {
	if ru.request.Service != "" || !ru.usage.Known {
		return ru.maxCost
	}
	return min(ru.usage.Tokens(), ru.maxCost)
}

// writeOff returns the tokens to write off for a request without a complete response.
func (ru *run) writeOff() int64 {
	if ru.usage.Known {
		return min(ru.usage.Tokens(), ru.maxCost)
	}
	return ru.maxCost
}

func (ru *run) billKey() string {
	if ru.request.Key != "" {
		return ru.key
	}
	return ru.request.ID
}

// attempt waits for admission and sends the request to one endpoint.
func (ru *run) attempt(ctx context.Context, si Sink) error {
	en := ru.engine
	qu := ru.query()
	qen := route.QueueEntry{Team: ru.request.Team, Priority: ru.class.Priority, Deadline: ru.start + ru.class.Timeout.Std()}
	choice, err := en.config.Table.Admit(ctx, en.config.Clock, qu, qen)
	if err != nil {
		return err
	}
	ep, ok := en.config.Table.Endpoint(choice.Endpoint)
	if !ok {
		return fault.New(fault.Unavailable, fault.NotRun, "the chosen endpoint was removed from the configuration")
	}
	ru.attempts++
	ru.endpoint = ep.Name
	ru.tried = append(ru.tried, ep.Name)
	ru.triedDomains = append(ru.triedDomains, ep.Domain)
	begin := en.config.Clock()
	ru.sentAt, ru.chunks = begin, 0
	usage, err := en.config.Runner.Run(ctx, ru.call(ep), si)
	ru.usage = usage
	now := en.config.Clock()
	en.config.Table.Finish(now, ep.Name, qu, resultOf(ctx, err), now-begin)
	en.updateSuspicion(ctx, ru, ep, err)
	if err != nil {
		return fault.From(err, fault.MayHaveRun)
	}
	return nil
}

func (ru *run) query() route.Query {
	return route.Query{
		Model: ru.request.Model, Service: ru.request.Service,
		Tried: ru.tried, TriedDomains: ru.triedDomains,
		Prefix: route.PrefixHashes(ru.request.Prompt), Suspect: ru.engine.suspected(ru.request.ContentHash),
		Random: random(),
	}
}

func (ru *run) call(ep ticket.Endpoint) Call {
	rq := ru.request
	return Call{
		ID: rq.ID, Key: rq.Key, Endpoint: ep, Method: rq.Method, Path: rq.Path, ContentType: rq.ContentType,
		Body: rq.Body, Stream: rq.Stream, Idempotent: ru.class.Idempotent, Priority: ru.class.Priority,
		Fencing: ru.engine.config.Incarnation, MaxAnswerTokens: ru.maxAnswerTokens, AddMaxTokens: rq.MaxAnswerTokens == 0,
		AddUsageOption: rq.AddUsageOption, StripUsage: rq.AddUsageOption,
	}
}

// resultOf returns the result that counts for the endpoint; a request that the endpoint found invalid counts as answered.
func resultOf(ctx context.Context, err error) route.AttemptResult {
	var fa *fault.Error
	switch {
	case err == nil:
		return route.Answered
	case errors.Is(ctx.Err(), context.Canceled), errors.As(err, &fa) && fa.Kind() == fault.Canceled:
		return route.Canceled
	case errors.As(err, &fa) && fa.Kind() == fault.Refused:
		return route.Refused
	case errors.As(err, &fa) && fa.Kind() == fault.Invalid:
		return route.Answered
	default:
		return route.Failed
	}
}

// mayRetry reports whether another attempt is allowed after the error.
func (ru *run) mayRetry(ctx context.Context, ts *trackingSink, err error) bool {
	fa := fault.From(err, fault.MayHaveRun)
	switch fa.Kind() {
	case fault.Invalid, fault.NotFound, fault.Overloaded, fault.Timeout, fault.BudgetExhausted, fault.Quarantined, fault.Canceled:
		return false
	default:
	}
	repeatable := fa.Verdict() == fault.NotRun || (ru.class.Idempotent && !ts.delivered)
	if !repeatable || ctx.Err() != nil || ru.attempts >= maxAttempts {
		return false
	}
	if ru.engine.quarantined(ru.request.ContentHash) || ru.engine.partBlocked(ru.request) {
		return false
	}
	return ru.engine.retries.allow(ru.engine.config.Clock())
}

// finalError returns the error for the caller: that of the last attempt, or quarantinedError if the content is quarantined by now.
//
// The verdict is at least fault.MayHaveRun if the caller has received part of a response.
func (ru *run) finalError(ts *trackingSink, err error) error {
	if err == nil {
		return nil
	}
	fa := fault.From(err, fault.MayHaveRun)
	if ts.delivered {
		fa = fa.WithVerdict(fa.Verdict().Max(fault.MayHaveRun))
	}
	if ru.engine.quarantined(ru.request.ContentHash) || ru.engine.partBlocked(ru.request) {
		return quarantinedError(fault.MayHaveRun)
	}
	return fa
}

// maxCrashChunks is the maximum number of parts of a response after which a crash still counts as caused by the request.
const maxCrashChunks = 1

// trackingSink forwards a response and records whether any of it was delivered to the caller.
type trackingSink struct {
	run       *run
	sink      Sink
	delivered bool
}

func (ts *trackingSink) Head(status int, contentType string) error {
	ts.markDelivered()
	return ts.sink.Head(status, contentType)
}

func (ts *trackingSink) Chunk(data []byte) error {
	ts.markDelivered()
	ts.run.chunks++
	if ts.run.chunks == maxCrashChunks+1 {
		ts.run.engine.recordPartAnswer(ts.run.request)
	}
	return ts.sink.Chunk(data)
}

func (ts *trackingSink) markDelivered() {
	if ts.delivered {
		return
	}
	ts.delivered = true
	ts.run.firstChunk = ts.run.engine.config.Clock() - ts.run.start
}
