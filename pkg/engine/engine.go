package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/route"
)

// LogWriter queues records for the replicated log; oplog.Writer implements it.
type LogWriter interface {
	// Submit queues a record for the next batch; it blocks while the queue is full.
	Submit(ctx context.Context, re record.Record) error
	// Wake requests a batch as soon as possible.
	Wake()
	// Accepted is called when the batches up to a sequence number were read back from the log.
	Accepted(sequence int64)
	// AppendStart returns the time at which this incarnation began an append: the last one whose entry is at or before the
	// given offset. It returns false if there is none.
	AppendStart(offset int64) (time.Duration, bool)
}

// Config holds the settings and dependencies of an engine.
type Config struct {
	// Incarnation is the number of the incarnation on whose behalf the engine serves requests.
	Incarnation int64
	// Replica is the state that this process built from the log.
	Replica *oplog.Replica
	// Book holds the accounts from which the requests are paid.
	Book escrow.Book
	// Table chooses the endpoint of each attempt, and Runner sends the attempt there.
	Table  *route.Table
	Runner Runner
	// Observer is notified of each finished request.
	Observer Observer
	Clock    oplog.Clock
	Logger   logr.Logger
	// PrefetchTokens is the minimum grant that is claimed in advance for each budget; zero claims none.
	PrefetchTokens int64
	// MaxPrefetchBudgets limits prefetching: with more budgets than this, no grants are claimed in advance.
	MaxPrefetchBudgets int
}

// Engine serves requests on behalf of one incarnation; it is safe for concurrent use.
type Engine struct {
	config    Config
	log       LogWriter
	directory atomic.Pointer[Directory]
	draining  atomic.Bool
	// stopsAt is the time at which requests in flight are ended, zero while no stop is scheduled.
	stopsAt atomic.Int64
	// stopped ends when the requests in flight are ended; stop ends it.
	stopped   context.Context //nolint:containedctx // lives as long as the engine
	stop      context.CancelFunc
	closed    chan struct{}
	closeOnce sync.Once
	active    activeCount
	intents   intentTable
	shared    sharedTable
	retries   retryBudget
	outbox    outbox
	closer    closer
	suspects  localSuspects
	parts     partTracker
}

// errStopping is the error of a request that was not sent to any endpoint because the instance stops.
var errStopping = fault.New(fault.Unavailable, fault.NotRun, "this instance is shutting down").WithRetryAfter(time.Second)

// New returns an engine; Bind must be called before the first request.
func New(config Config) *Engine {
	en := &Engine{
		config:   config,
		closed:   make(chan struct{}),
		intents:  newIntentTable(),
		shared:   newSharedTable(),
		suspects: newLocalSuspects(),
		parts:    newPartTracker(),
	}
	en.stopped, en.stop = context.WithCancel(context.Background())
	en.directory.Store(NewDirectory(ledger.NewState()))
	return en
}

// Bind sets the log writer and registers the engine as a listener of the replica.
func (en *Engine) Bind(log LogWriter) {
	en.log = log
	en.config.Replica.AddListener(en)
}

// Directory returns the current teams, classes and services.
func (en *Engine) Directory() *Directory { return en.directory.Load() }

// Closed returns a channel that is closed once the log shows this incarnation as closed; the process must then exit.
func (en *Engine) Closed() <-chan struct{} { return en.closed }

// Build returns the records for the next batch, which has the given sequence number.
func (en *Engine) Build(now time.Duration, sequence int64) []record.Record {
	list := en.outbox.take()
	list = en.appendCloses(list, now)
	return append(list, en.config.Book.Build(now, sequence)...)
}

// Drain refuses new requests and waits for those in flight; if the context ends first, it returns the error of the context.
func (en *Engine) Drain(ctx context.Context) error {
	en.draining.Store(true)
	select {
	case <-en.active.idle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ScheduleStop sets the time at which Stop will be called. Requests that may take longer are refused from now on.
func (en *Engine) ScheduleStop(at time.Duration) { en.stopsAt.Store(int64(at)) }

// Stop ends the requests in flight, whose callers receive an error with the verdict.
func (en *Engine) Stop() { en.stop() }

// Draining reports whether new requests are refused.
func (en *Engine) Draining() bool { return en.draining.Load() }

// Serve runs one request and writes the response to the sink.
//
// An error is a *fault.Error whose verdict says whether an endpoint may have run the request.
func (en *Engine) Serve(ctx context.Context, rq Request, si Sink) error {
	en.active.add()
	defer en.active.done()
	if en.draining.Load() {
		return errStopping
	}
	ru, err := en.newRun(rq)
	if err != nil {
		return en.finish(ru, err)
	}
	if at := time.Duration(en.stopsAt.Load()); at > 0 && ru.start+ru.class.Timeout.Std() > at {
		return en.finish(ru, errStopping)
	}
	cctx, cancel := context.WithTimeout(ctx, ru.class.Timeout.Std())
	defer cancel()
	defer context.AfterFunc(en.stopped, cancel)()
	err = en.dispatch(cctx, ru, si)
	if err != nil && ctx.Err() == nil && en.stopped.Err() != nil {
		fa := fault.From(err, fault.MayHaveRun)
		err = fault.Wrap(err, fault.Unavailable, fa.Verdict(), "this instance was shut down before the response was complete").WithRetryAfter(time.Second)
	}
	return en.finish(ru, err)
}

func (en *Engine) dispatch(ctx context.Context, ru *run, si Sink) error {
	switch {
	case !ru.class.Idempotent:
		return en.serveOnce(ctx, ru, si)
	case ru.request.Key != "":
		return en.serveShared(ctx, ru, si)
	default:
		return en.serveIdempotent(ctx, ru, si)
	}
}

// finish notifies the observer that the request ended, unless a sharedRun does, and returns the error.
func (en *Engine) finish(ru *run, err error) error {
	if ru.reportedElsewhere {
		return err
	}
	total := en.config.Clock() - ru.start
	su := RequestSummary{
		Request: ru.request, Err: err, Usage: ru.usage, Endpoint: ru.endpoint,
		Attempts: ru.attempts, FirstChunk: ru.firstChunk, Total: total, FalseRefusal: ru.falseRefusal,
	}
	en.config.Observer.Finished(su)
	return err
}

// newRun validates the request against the current configuration.
func (en *Engine) newRun(rq Request) (*run, error) {
	ru := &run{engine: en, request: rq, start: en.config.Clock()}
	cl, ok := en.Directory().Class(rq.Class)
	if !ok {
		ru.request.Class = unknownClass
		return ru, fault.New(fault.Invalid, fault.NotRun, "the request class does not exist")
	}
	ru.class = cl
	if !cl.Idempotent && rq.Key == "" {
		ru.request.Key = rq.ID
	}
	ru.key = rq.Team + "/" + ru.request.Key
	if err := ru.computeMaxCost(); err != nil {
		return ru, err
	}
	if err := en.checkBudgetTeam(rq); err != nil {
		return ru, err
	}
	if en.quarantined(rq.ContentHash) || en.partBlocked(rq) {
		return ru, quarantinedError(fault.NotRun)
	}
	return ru, nil
}

func (en *Engine) checkBudgetTeam(rq Request) error {
	var err error
	en.config.Replica.View(func(st *ledger.State) {
		bu, ok := st.BudgetConfig(rq.Budget)
		if !ok || bu.Team != rq.Team {
			err = fault.New(fault.NotFound, fault.NotRun, "the team has no such budget")
		}
	})
	return err
}

func quarantinedError(ve fault.Verdict) *fault.Error {
	return fault.New(fault.Quarantined, ve, "requests with this content crashed endpoints and are refused")
}

// unknownClass replaces the names of missing classes in log messages and metrics, so that callers cannot create arbitrary labels.
const unknownClass = "unknown"

func random() uint64 { return rand.Uint64() }
