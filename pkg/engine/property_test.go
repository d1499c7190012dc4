package engine

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/route"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	propertyBudgets = 2
	propertyHolders = 3
	firstPrepaid    = 700
	maxTopUp        = 400
)

var errInjected = eris.New("injected failure of a log call")

// faultyLog is a log with injected faults: an append may be lost, may take effect although it returns an error, or may take
// effect late.
type faultyLog struct {
	entries [][]byte
	// delayed are entries that take effect late.
	delayed [][]byte
	// disconnected holds the numbers of the holders whose calls fail.
	disconnected map[int]bool
	// next is the outcome of the next append.
	next appendOutcome
}

// appendOutcome is the outcome of one append; all but appendOK return an error.
type appendOutcome int

const (
	appendOK appendOutcome = iota
	// appendLost means that the entry never takes effect.
	appendLost
	// responseLost means that the entry takes effect at once, although the append fails.
	responseLost
	// appendDelayed means that the entry may take effect later.
	appendDelayed
)

// logClient is the connection of one holder to the log; the holder may be disconnected.
type logClient struct {
	log   *faultyLog
	owner int
}

func (lc logClient) Append(_ context.Context, stream string, data []byte) (int64, error) {
	lo := lc.log
	if stream != oplog.MainStream || lo.disconnected[lc.owner] {
		return 0, errInjected
	}
	outcome := lo.next
	lo.next = appendOK
	switch outcome {
	case appendLost:
		return 0, errInjected
	case appendDelayed:
		lo.delayed = append(lo.delayed, data)
		return 0, errInjected
	case responseLost:
		lo.entries = append(lo.entries, data)
		return 0, errInjected
	default:
		lo.entries = append(lo.entries, data)
		return int64(len(lo.entries) - 1), nil
	}
}

func (lc logClient) Read(_ context.Context, rr oplog.ReadRequest) (oplog.Page, error) {
	lo := lc.log
	if rr.Stream != oplog.MainStream || lo.disconnected[lc.owner] {
		return oplog.Page{}, errInjected
	}
	pg := oplog.Page{Next: int64(len(lo.entries)), From: rr.From}
	if rr.From < pg.Next {
		pg.Entries = lo.entries[rr.From:]
	}
	return pg, nil
}

// propertyHolder is one incarnation with a real replica, reader, writer, engine and book.
type propertyHolder struct {
	owner   int
	address string
	replica *oplog.Replica
	reader  *oplog.Reader
	writer  *oplog.Writer
	engine  *Engine
	book    escrow.Book
	clock   oplog.Clock
	// running are the reservations of the requests in flight; waiting is that of the request that waits for tokens, or nil.
	running []escrow.Reservation
	waiting *escrow.Reservation
	// spent is the cost of the finished requests by budget.
	spent map[string]int64
	dead  bool
}

// atRisk returns the tokens of a budget that this incarnation has spent or may still spend.
func (ph *propertyHolder) atRisk(name string) int64 {
	sum := ph.spent[name]
	for _, re := range ph.running {
		if re.Budget == name {
			sum += re.Tokens
		}
	}
	return sum
}

type propertyCluster struct {
	log     *faultyLog
	holders []*propertyHolder
	// prepaid is the greatest prepaid total that each budget ever had.
	prepaid map[string]int64
	// number is the number of the last ticket.
	number int64
	now    time.Duration
	state  *ledger.State
	// defaults is set to use the default escrow settings and pauses that take no time.
	defaults bool
}

type silentObserver struct{}

func (silentObserver) Finished(RequestSummary) {}

func newPropertyCluster(rt *rapid.T) *propertyCluster {
	pc := &propertyCluster{
		log: &faultyLog{disconnected: map[int]bool{}}, prepaid: map[string]int64{}, state: ledger.NewState(),
	}
	for ix := range propertyBudgets {
		pc.topUp(fmt.Sprintf("budget-%d", ix), firstPrepaid)
	}
	for ix := range propertyHolders {
		pc.drawJoin(rt, fmt.Sprintf("10.0.0.%d:1", ix))
	}
	return pc
}

func (pc *propertyCluster) topUp(name string, total int64) {
	pc.number++
	ti := ticket.Ticket{
		Number: pc.number, Author: "test",
		Budgets: []ticket.Budget{{Name: name, Team: "team", PrepaidTokens: total}},
	}
	data, _ := record.EncodeEntry(record.Entry{Ticket: &ti})
	pc.log.entries = append(pc.log.entries, data)
	pc.prepaid[name] = max(pc.prepaid[name], total)
}

// drawJoin joins an incarnation whose clock may run 0.9% fast or slow.
func (pc *propertyCluster) drawJoin(rt *rapid.T, address string) {
	pc.join(rt, rapid.SampledFrom([]int64{991, 1000, 1009}).Draw(rt, "clockRate"), address)
}

// fataler is implemented by testing.T and rapid.T.
type fataler interface{ Fatal(args ...any) }

// join starts an incarnation whose clock runs at the given rate in thousandths of real time.
func (pc *propertyCluster) join(rt fataler, rate int64, address string) {
	owner := len(pc.holders)
	offset := time.Duration(owner+1) * time.Hour
	ph := &propertyHolder{owner: owner, address: address, replica: oplog.NewReplica(), spent: map[string]int64{}}
	ph.clock = func() time.Duration { return offset + pc.now*time.Duration(rate)/1000 }
	pause := func(_ context.Context, delay time.Duration) {
		if !pc.defaults {
			pc.now += delay
		}
	}
	lc := logClient{log: pc.log, owner: owner}
	ph.reader = oplog.NewReader(oplog.ReaderConfig{
		Log: lc, Relay: oplog.NoRelay{}, Replica: ph.replica, Clock: ph.clock, Pause: pause, Logger: logr.Discard(),
	})
	ph.book = escrow.NewBook(escrow.Config{
		PartitionSpan: 10 * time.Second, Delay: 300 * time.Millisecond, SlackSpan: time.Second,
		MinSlack: 20, IdleSpan: 5 * time.Second, HeadroomPercent: 200,
	})
	if pc.defaults {
		ph.book = escrow.NewBook(escrow.DefaultConfig())
	}
	jo := record.Join{Nonce: fmt.Sprint(owner), Instance: address, Domain: "d", Address: address}
	number, sent, err := oplog.Join(context.Background(), ph.reader, jo, ph.clock)
	if err != nil {
		rt.Fatal(err)
	}
	ph.engine = New(Config{
		Incarnation: number, Replica: ph.replica, Book: ph.book, Table: route.NewTable(),
		Observer: silentObserver{}, Clock: ph.clock, Logger: logr.Discard(),
	})
	ph.writer = oplog.NewWriter(oplog.WriterConfig{
		Log: lc, Relay: oplog.NoRelay{}, Replica: ph.replica, Incarnation: number, Source: ph.engine,
		Clock: ph.clock, Pause: pause, Logger: logr.Discard(), FlushInterval: time.Millisecond, MinInterval: time.Millisecond,
	})
	ph.writer.RecordJoin(sent)
	ph.engine.Bind(ph.writer)
	pc.holders = append(pc.holders, ph)
}

func (pc *propertyCluster) drawHolder(rt *rapid.T) *propertyHolder {
	var live []*propertyHolder
	for _, ph := range pc.holders {
		if !ph.dead {
			live = append(live, ph)
		}
	}
	return rapid.SampledFrom(live).Draw(rt, "holder")
}

// reserve retries the waiting request of this holder. If none is waiting, it tries to reserve tokens for a new request, and lets
// this request wait if the tokens cannot be reserved.
func (ph *propertyHolder) reserve(rt *rapid.T) {
	if ph.waiting != nil {
		ph.retry(rt)
		return
	}
	re := escrow.Reservation{
		Budget: fmt.Sprintf("budget-%d", rapid.IntRange(0, propertyBudgets-1).Draw(rt, "budget")),
		Tokens: rapid.Int64Range(1, 120).Draw(rt, "tokens"),
	}
	if ph.book.Reserve(ph.clock(), re.Budget, re.Tokens) {
		ph.running = append(ph.running, re)
		return
	}
	ph.book.AddWaiter(ph.clock(), re.Budget, re.Tokens)
	ph.waiting = &re
}

func (ph *propertyHolder) retry(rt *rapid.T) {
	re := *ph.waiting
	reserved := ph.book.Reserve(ph.clock(), re.Budget, re.Tokens)
	if reserved {
		ph.running = append(ph.running, re)
	}
	if reserved || rapid.IntRange(0, 9).Draw(rt, "giveUp") == 0 {
		ph.book.RemoveWaiter(re.Budget, re.Tokens)
		ph.waiting = nil
	}
}

func (ph *propertyHolder) finish(rt *rapid.T) {
	if len(ph.running) == 0 {
		return
	}
	re := ph.running[0]
	ph.running = ph.running[1:]
	cost := rapid.Int64Range(0, re.Tokens).Draw(rt, "cost")
	ph.spent[re.Budget] += cost
	key := fmt.Sprintf("key-%d", rapid.IntRange(0, 50).Draw(rt, "key"))
	co := escrow.Cost{Key: key, Deduplicate: rapid.Bool().Draw(rt, "deduplicate"), Billed: cost}
	if rapid.Bool().Draw(rt, "writtenOff") {
		co = escrow.Cost{WrittenOff: cost}
	}
	ph.book.Settle(ph.clock(), re, co)
}

// checkBounds checks three bounds for each budget, on the tokens that incarnations, dead or alive, have spent or may still spend:
// all incarnations stay within the prepaid total, each open incarnation stays within its grant, and the state counts for the
// closed incarnations at least what they spent.
func (pc *propertyCluster) checkBounds(rt *rapid.T) {
	for ix := pc.state.Offset() + 1; ix < int64(len(pc.log.entries)); ix++ {
		if _, err := pc.state.Apply(ix, pc.log.entries[ix]); err != nil {
			rt.Fatal(err)
		}
	}
	for name, prepaid := range pc.prepaid {
		sum, closed := int64(0), int64(0)
		for _, ph := range pc.holders {
			risk := ph.atRisk(name)
			sum += risk
			number := ph.engine.config.Incarnation
			if _, open := pc.state.Incarnation(number); !open {
				closed += risk
			} else if granted := pc.state.HolderBalance(name, number).Granted; risk > granted {
				rt.Fatalf("budget %s: open incarnation %d may spend %d tokens, want at most its grant of %d", name, number, risk, granted)
			}
		}
		if sum > prepaid {
			rt.Fatalf("budget %s: all incarnations together may spend %d tokens, want at most the %d prepaid", name, sum, prepaid)
		}
		if counted := pc.state.ClosedSpend(name); closed > counted {
			rt.Fatalf("budget %s: closed incarnations may have spent %d tokens, want at most the %d counted as spent", name, closed, counted)
		}
	}
}

// checkReplicas applies the log from its start, once directly and once through a checkpoint, and compares the two states.
func (pc *propertyCluster) checkReplicas(rt *rapid.T) {
	direct := ledger.NewState()
	checkpointAt := rapid.IntRange(0, len(pc.log.entries)).Draw(rt, "checkpointAt")
	var resumed *ledger.State
	for ix, data := range pc.log.entries {
		if ix == checkpointAt {
			resumed = roundTrip(rt, direct)
		}
		for _, st := range []*ledger.State{direct, resumed} {
			if st == nil {
				continue
			}
			if _, err := st.Apply(int64(ix), data); err != nil {
				rt.Fatal(err)
			}
		}
	}
	if resumed == nil {
		return
	}
	one, err1 := direct.Encode()
	two, err2 := resumed.Encode()
	if err1 != nil || err2 != nil || !bytes.Equal(one, two) {
		rt.Fatalf("the state restored from a checkpoint before offset %d differs from the replayed state (encode errors: replayed %v, restored %v)",
			checkpointAt, err1, err2)
	}
}

func roundTrip(rt *rapid.T, st *ledger.State) *ledger.State {
	data, err := st.Encode()
	if err != nil {
		rt.Fatal(err)
	}
	re, err := ledger.Decode(data)
	if err != nil {
		rt.Fatal(err)
	}
	return re
}

// propertySeed makes test runs reproducible; -rapid.seed on the command line overrides it.
const propertySeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
}

// action is one step of the simulated cluster, drawn in proportion to its weight.
type action struct {
	weight int
	apply  func(pc *propertyCluster, rt *rapid.T)
}

var actions = []action{
	{12, func(pc *propertyCluster, rt *rapid.T) { pc.drawHolder(rt).reserve(rt) }},
	{5, func(pc *propertyCluster, rt *rapid.T) { pc.drawHolder(rt).finish(rt) }},
	{4, func(pc *propertyCluster, rt *rapid.T) { pc.writeStep(rt) }},
	{4, func(pc *propertyCluster, rt *rapid.T) { pc.readStep(rt) }},
	{20, func(pc *propertyCluster, rt *rapid.T) { pc.writeAndRead(rt) }},
	{2, func(pc *propertyCluster, rt *rapid.T) {
		pc.log.next = appendOutcome(rapid.IntRange(0, int(appendDelayed)).Draw(rt, "outcome"))
	}},
	{2, func(pc *propertyCluster, _ *rapid.T) { pc.deliverDelayed() }},
	{5, func(pc *propertyCluster, rt *rapid.T) {
		pc.now += time.Duration(rapid.IntRange(1, 4000).Draw(rt, "millis")) * time.Millisecond
	}},
	{1, func(pc *propertyCluster, rt *rapid.T) { pc.log.disconnected[pc.drawHolder(rt).owner] = true }},
	{3, func(pc *propertyCluster, _ *rapid.T) { pc.log.disconnected = map[int]bool{} }},
	{1, func(pc *propertyCluster, rt *rapid.T) { pc.drawTopUp(rt) }},
	{1, func(pc *propertyCluster, rt *rapid.T) { pc.crashAndReplace(rt) }},
}

// drawAction draws an action in proportion to its weight.
func drawAction(rt *rapid.T) action {
	var weighted []int
	for ix, ac := range actions {
		for range ac.weight {
			weighted = append(weighted, ix)
		}
	}
	return actions[rapid.SampledFrom(weighted).Draw(rt, "action")]
}

// TestBudgetsHoldUnderRandomInterleavings guards against overspending: it draws reservations, writes, reads, log faults,
// crashes and top-ups, and checks the bounds after each step.
func TestBudgetsHoldUnderRandomInterleavings(t *testing.T) {
	reserved := 0
	rapid.Check(t, func(rt *rapid.T) {
		pc := newPropertyCluster(rt)
		for range rapid.IntRange(100, 500).Draw(rt, "steps") {
			drawAction(rt).apply(pc, rt)
			pc.checkBounds(rt)
		}
		pc.checkReplicas(rt)
		for _, ph := range pc.holders {
			reserved += len(ph.running) + len(ph.spent)
		}
	})
	if reserved == 0 {
		t.Error("no run reserved any tokens, so the bounds were not tested")
	}
}

func (pc *propertyCluster) writeStep(rt *rapid.T) {
	pc.drawHolder(rt).writer.Step(context.Background())
}

func (pc *propertyCluster) readStep(rt *rapid.T) {
	if err := pc.drawHolder(rt).reader.Step(context.Background(), 0); err != nil {
		rt.Fatal(err)
	}
}

// writeAndRead lets one holder write a batch and read the log.
func (pc *propertyCluster) writeAndRead(rt *rapid.T) {
	ph := pc.drawHolder(rt)
	ph.writer.Step(context.Background())
	if err := ph.reader.Step(context.Background(), 0); err != nil {
		rt.Fatal(err)
	}
}

func (pc *propertyCluster) deliverDelayed() {
	if len(pc.log.delayed) > 0 {
		pc.log.entries = append(pc.log.entries, pc.log.delayed[0])
		pc.log.delayed = pc.log.delayed[1:]
	}
}

func (pc *propertyCluster) drawTopUp(rt *rapid.T) {
	name := fmt.Sprintf("budget-%d", rapid.IntRange(0, propertyBudgets-1).Draw(rt, "budget"))
	pc.topUp(name, pc.prepaid[name]+rapid.Int64Range(-200, maxTopUp).Draw(rt, "more"))
}

// crashAndReplace kills an incarnation with requests in flight and starts another process at its address.
func (pc *propertyCluster) crashAndReplace(rt *rapid.T) {
	ph := pc.drawHolder(rt)
	ph.dead = true
	pc.log.disconnected = map[int]bool{}
	pc.log.next = appendOutcome(rapid.IntRange(0, int(appendDelayed)).Draw(rt, "joinOutcome"))
	pc.drawJoin(rt, ph.address)
}
