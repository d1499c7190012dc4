// Package weir lets a program spend from prepaid budgets that it shares with other processes through an append-only log,
// without overspending them.
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

// The timing of the log writer; see oplog.WriterConfig.
const (
	flushInterval = 200 * time.Millisecond
	minInterval   = 50 * time.Millisecond
	heartbeat     = time.Second
)

// Config describes the embedding process and its log.
type Config struct {
	// Name is the name of the instance in the log.
	Name string
	// Domain is the failure domain of the process.
	Domain string
	// Address is the address on which the process already listens when it calls Open; no other live process may use it.
	Address string
	// Log is the log of the fleet, to which the process joins as an incarnation.
	Log oplog.Log
	// Clock returns the time since the process started; it must keep counting while the process is suspended.
	Clock oplog.Clock
	// Budgets sets how many tokens are claimed in advance, and the ceilings that limit spending.
	Budgets escrow.Config
	Logger  logr.Logger
}

// Client spends from prepaid budgets on behalf of one process; it is safe for concurrent use.
type Client interface {
	// Reserve reserves tokens of a budget. It waits until enough tokens are available or the context ends, and fails with
	// escrow.ErrExhausted or escrow.ErrNoGrant.
	Reserve(ctx context.Context, budget string, tokens int64) (escrow.Reservation, error)
	// Settle ends a reservation and counts its actual cost as spent.
	Settle(re escrow.Reservation, co escrow.Cost)
	// Budget returns the amounts of a budget as of the last log entry that was read. It returns false if there is no such budget.
	Budget(name string) (ledger.Budget, bool)
	// Run reads from the log and appends to it until the context ends; it fails on an entry that cannot be applied.
	Run(ctx context.Context) error
}

type client struct {
	config  Config
	replica *oplog.Replica
	reader  *oplog.Reader
	writer  *oplog.Writer
	book    escrow.Book
}

// Open joins the log as a new incarnation and returns a client; the caller must call its Run. Open fails if the context
// ends before the join took effect.
func Open(ctx context.Context, config Config) (Client, error) {
	cl := &client{config: config, replica: oplog.NewReplica(), book: escrow.NewBook(config.Budgets)}
	cl.reader = oplog.NewReader(oplog.ReaderConfig{
		Log: config.Log, Relay: oplog.NoRelay{}, Replica: cl.replica, Clock: config.Clock, Logger: config.Logger,
	})
	jo := record.Join{Nonce: uuid.NewString(), Instance: config.Name, Domain: config.Domain, Address: config.Address}
	number, joined, err := oplog.Join(ctx, cl.reader, jo, config.Clock)
	if err != nil {
		return nil, err
	}
	cl.initWriter(number, joined)
	return cl, nil
}

// initWriter creates the writer, with the engine as its source of records.
func (cl *client) initWriter(number int64, joined oplog.OwnAppend) {
	cf := cl.config
	en := engine.New(engine.Config{
		Incarnation: number, Replica: cl.replica, Book: cl.book, Table: route.NewTable(), Clock: cf.Clock, Logger: cf.Logger,
	})
	cl.writer = oplog.NewWriter(oplog.WriterConfig{
		Log: cf.Log, Relay: oplog.NoRelay{}, Replica: cl.replica, Incarnation: number, Source: en, Clock: cf.Clock,
		Logger: cf.Logger, FlushInterval: flushInterval, MinInterval: minInterval, Heartbeat: heartbeat,
	})
	cl.writer.RecordJoin(joined)
	en.Bind(cl.writer)
}

func (cl *client) Reserve(ctx context.Context, budget string, tokens int64) (escrow.Reservation, error) {
	re := escrow.Reservation{Budget: budget, Tokens: tokens}
	err := escrow.Wait(ctx, escrow.WaitConfig{
		Book: cl.book, Clock: cl.config.Clock, Wake: cl.writer.Wake, Exhausted: cl.exhausted,
	}, re)
	return re, err
}

// exhausted reports whether the budget could not cover the reservation even if every unspent grant were returned.
func (cl *client) exhausted(re escrow.Reservation) bool {
	bu, ok := cl.Budget(re.Budget)
	return !ok || !bu.Covers(re.Tokens)
}

func (cl *client) Settle(re escrow.Reservation, co escrow.Cost) {
	cl.book.Settle(cl.config.Clock(), re, co)
}

func (cl *client) Budget(name string) (ledger.Budget, bool) {
	var (
		bu ledger.Budget
		ok bool
	)
	cl.replica.View(func(st *ledger.State) { bu, ok = st.Budget(name) })
	return bu, ok
}

// Run runs the reader and the writer until the context ends or one of them fails.
func (cl *client) Run(ctx context.Context) error {
	var gr run.Group
	for _, loop := range []func(context.Context) error{cl.reader.Run, cl.writer.Run} {
		lctx, cancel := context.WithCancel(ctx)
		gr.Add(func() error { return loop(lctx) }, func(error) { cancel() })
	}
	return gr.Run()
}
