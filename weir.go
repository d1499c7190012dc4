// Package weir keeps prepaid budgets honest over a shared append-only log, for programs that embed the coordination parts.
package weir

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/route"
)

const (
	flushInterval = 200 * time.Millisecond
	minInterval   = 50 * time.Millisecond
	heartbeat     = time.Second
)

// Config names the embedding process and its log; Clock is the time since the process started and must go on while it is suspended.
type Config struct {
	Name    string
	Domain  string
	Address string
	Log     oplog.Log
	Clock   oplog.Clock
	Budgets escrow.Config
	Logger  logr.Logger
}

// Client spends from prepaid budgets on behalf of one process; it is safe for concurrent use.
type Client interface {
	// Reserve takes tokens out of the budget, waiting for them until the context ends; it fails with escrow.ErrExhausted or escrow.ErrNoGrant.
	Reserve(ctx context.Context, budget string, tokens int64) (escrow.Reservation, error)
	// Settle ends a reservation with its cost.
	Settle(re escrow.Reservation, co escrow.Cost)
	// Budget returns the agreed figures of a budget.
	Budget(name string) (ledger.Budget, bool)
	// Run keeps in step with the log until the context ends; it fails where the fold must stop.
	Run(ctx context.Context) error
}

type client struct {
	config  Config
	replica *oplog.Replica
	reader  *oplog.Reader
	writer  *oplog.Writer
	book    escrow.Book
}

// Open joins the log and returns a keeper whose Run must be started; it fails when the context ends first.
func Open(ctx context.Context, config Config) (Client, error) {
	ke := &client{config: config, replica: oplog.NewReplica(), book: escrow.NewBook(config.Budgets)}
	ke.reader = oplog.NewReader(oplog.ReaderConfig{
		Log: config.Log, Relay: oplog.NoRelay{}, Replica: ke.replica, Clock: config.Clock, Logger: config.Logger,
	})
	jo := record.Join{Nonce: uuid.NewString(), Instance: config.Name, Domain: config.Domain, Address: config.Address}
	number, sent, err := oplog.Join(ctx, ke.reader, jo, config.Clock)
	if err != nil {
		return nil, err
	}
	ke.bind(number, sent)
	return ke, nil
}

func (ke *client) bind(number int64, sent oplog.OwnAppend) {
	cf := ke.config
	en := engine.New(engine.Config{
		Incarnation: number, Replica: ke.replica, Book: ke.book, Table: route.NewTable(), Clock: cf.Clock, Logger: cf.Logger,
	})
	ke.writer = oplog.NewWriter(oplog.WriterConfig{
		Log: cf.Log, Relay: oplog.NoRelay{}, Replica: ke.replica, Incarnation: number, Source: en, Clock: cf.Clock,
		Logger: cf.Logger, FlushInterval: flushInterval, MinInterval: minInterval, Heartbeat: heartbeat,
	})
	ke.writer.RecordJoin(sent)
	en.Bind(ke.writer)
}

func (ke *client) Reserve(ctx context.Context, budget string, tokens int64) (escrow.Reservation, error) {
	re := escrow.Reservation{Budget: budget, Tokens: tokens}
	err := escrow.Wait(ctx, escrow.WaitConfig{
		Book: ke.book, Clock: ke.config.Clock, Wake: ke.writer.Wake, Exhausted: ke.exhausted,
	}, re)
	return re, err
}

// exhausted reports whether the budget cannot cover the reservation even when every grant is returned.
func (ke *client) exhausted(re escrow.Reservation) bool {
	bu, ok := ke.Budget(re.Budget)
	return !ok || !bu.Covers(re.Tokens)
}

func (ke *client) Settle(re escrow.Reservation, co escrow.Cost) {
	ke.book.Settle(ke.config.Clock(), re, co)
}

func (ke *client) Budget(name string) (ledger.Budget, bool) {
	var (
		bu ledger.Budget
		ok bool
	)
	ke.replica.View(func(st *ledger.State) { bu, ok = st.Budget(name) })
	return bu, ok
}

// Run starts the writer beside the reader and ends both together.
func (ke *client) Run(ctx context.Context) error {
	var gr run.Group
	for _, loop := range []func(context.Context) error{ke.reader.Run, ke.writer.Run} {
		lctx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return loop(lctx) }, func(error) { cancel() })
	}
	return gr.Run()
}
