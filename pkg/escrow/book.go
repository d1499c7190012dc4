package escrow

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// Book holds the accounts of one incarnation; it is safe for concurrent use.
type Book interface {
	// Reserve takes tokens out of what may be spent, or reports that it cannot.
	Reserve(now time.Duration, budget string, tokens int64) bool
	// AddWaiter registers a request that waits for tokens; the channel closes at the next change.
	AddWaiter(now time.Duration, budget string, tokens int64) <-chan struct{}
	// NextChange returns the channel of the next change for a request that is already registered.
	NextChange(budget string) <-chan struct{}
	// RemoveWaiter ends the wait of a request for tokens.
	RemoveWaiter(budget string, tokens int64)
	// Settle ends a reservation with its cost.
	Settle(now time.Duration, re Reservation, co Cost)
	// Build returns the records that the next batch must carry.
	Build(now time.Duration, sequence int64) []record.Record
	// Accept reports that the batch and all before it were read back, and synchronizes the budgets they touch in the same step.
	Accept(sequence int64, lookup func(budget string) Holding)
	// Sync sets what the log grants for a budget.
	Sync(ho Holding)
	// Prefetch keeps a grant of the given size even without demand.
	Prefetch(budget string, tokens int64)
	// Drain returns all idle grants with the next batches.
	Drain()
	// Settled reports whether nothing is left to settle or to return.
	Settled() bool
	// Balance returns the figures of one budget.
	Balance(now time.Duration, budget string) Balance
}

// Reservation is the most that one request can cost.
type Reservation struct {
	Budget string
	Tokens int64
}

// Cost is what became of a reservation; WrittenOff counts tokens that are used up but not billed.
type Cost struct {
	Key         string
	Deduplicate bool
	Billed      int64
	WrittenOff  int64
}

// Holding is what the log says about a budget for this incarnation, which waits for Waiting while others wait for Short.
type Holding struct {
	Budget           string
	Granted          int64
	Waiting          int64
	WaitingElsewhere int64
	// Remaining is what is left of the prepaid total over all holders.
	Remaining int64
	Removed   bool
}

// Balance are the amounts of one account in tokens.
type Balance struct {
	Granted  int64
	Spent    int64
	Reserved int64
	Waiting  int64
	Limit    int64
}

type book struct {
	mu        sync.Mutex
	config    Config
	accounts  map[string]*account
	dirty     []*account
	lastBuild time.Duration
	draining  bool
	swept     time.Duration
	// open are the accounts with terms in batches that are not accepted yet.
	open []*account
}

// NewBook returns an empty book.
func NewBook(config Config) Book {
	return &book{config: config, accounts: map[string]*account{}}
}

func (bo *book) Reserve(now time.Duration, budget string, tokens int64) bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.lastUse = now
	if ac.committed()+tokens > ac.limit(now-bo.lastBuild) {
		bo.mark(ac)
		return false
	}
	ac.reserved += tokens
	ac.notePeak(now, bo.config.SlackSpan)
	bo.mark(ac)
	return true
}

func (bo *book) AddWaiter(now time.Duration, budget string, tokens int64) <-chan struct{} {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.waiting += tokens
	ac.lastUse = now
	bo.mark(ac)
	return ac.changed
}

func (bo *book) NextChange(budget string) <-chan struct{} {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.account(budget).changed
}

func (bo *book) RemoveWaiter(budget string, tokens int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.waiting -= tokens
	bo.mark(ac)
}

func (bo *book) Settle(now time.Duration, re Reservation, co Cost) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(re.Budget)
	ac.reserved -= re.Tokens
	ac.spent += co.Billed + co.WrittenOff
	ac.writtenOff += co.WrittenOff
	if co.Billed > 0 || co.Deduplicate {
		ac.bills = append(ac.bills, record.Bill{Key: co.Key, Tokens: co.Billed, Deduplicate: co.Deduplicate})
	}
	ac.demand.add(now, co.Billed+co.WrittenOff)
	bo.mark(ac)
	ac.notify()
}

func (bo *book) Accept(sequence int64, lookup func(budget string) Holding) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	open := bo.open[:0]
	for _, ac := range bo.open {
		if ac.accept(sequence) {
			bo.sync(ac, lookup(ac.name))
		}
		if ac.isOpen() {
			open = append(open, ac)
		}
	}
	bo.open = open
}

func (bo *book) Sync(ho Holding) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.sync(bo.account(ho.Budget), ho)
}

func (bo *book) sync(ac *account, ho Holding) {
	ac.granted = ho.Granted
	ac.logWaiting = ho.Waiting
	ac.shortElsewhere = ho.WaitingElsewhere
	ac.remaining = ho.Remaining
	ac.removed = ho.Removed
	bo.mark(ac)
	ac.notify()
}

func (bo *book) Prefetch(budget string, tokens int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.floor = tokens
	bo.mark(ac)
}

func (bo *book) Drain() {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.draining = true
	for _, ac := range bo.accounts {
		bo.mark(ac)
	}
}

func (bo *book) Settled() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	for _, ac := range bo.accounts {
		if ac.reserved > 0 || len(ac.bills) > 0 || ac.writtenOff > 0 || ac.isOpen() || (bo.returning(ac) && ac.idle() > 0) {
			return false
		}
	}
	return true
}

func (bo *book) Balance(now time.Duration, budget string) Balance {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac, ok := bo.accounts[budget]
	if !ok {
		return Balance{}
	}
	return Balance{
		Granted: ac.granted, Spent: ac.spent, Reserved: ac.reserved,
		Waiting: ac.waiting, Limit: ac.limit(now - bo.lastBuild),
	}
}

func (bo *book) account(name string) *account {
	ac, ok := bo.accounts[name]
	if !ok {
		ac = newAccount(name)
		bo.accounts[name] = ac
	}
	return ac
}

func (bo *book) mark(ac *account) {
	if ac.dirty {
		return
	}
	ac.dirty = true
	bo.dirty = append(bo.dirty, ac)
}

// takeDirty returns the accounts to look at, in a fixed order.
func (bo *book) takeDirty() []*account {
	list := bo.dirty
	bo.dirty = nil
	for _, ac := range list {
		ac.dirty = false
	}
	slices.SortFunc(list, func(aa, bb *account) int { return strings.Compare(aa.name, bb.name) })
	return list
}
