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
	// Reserve reserves tokens of a budget and reports whether the limit allowed it.
	Reserve(now time.Duration, budget string, tokens int64) bool
	// AddWaiter registers a request that waits for tokens; the returned channel is closed at the next change of the account.
	AddWaiter(now time.Duration, budget string, tokens int64) <-chan struct{}
	// NextChange returns a channel that is closed at the next change of the account, for a registered waiter.
	NextChange(budget string) <-chan struct{}
	// RemoveWaiter unregisters a request that waited for tokens.
	RemoveWaiter(budget string, tokens int64)
	// Settle replaces a reservation by its actual cost.
	Settle(now time.Duration, re Reservation, co Cost)
	// Build returns the records of the next batch.
	Build(now time.Duration, sequence int64) []record.Record
	// Accept confirms that the batches up to a sequence number were read back from the log, and synchronizes
	// the budgets in them in the same step.
	Accept(sequence int64, lookup func(budget string) Holding)
	// Sync sets an account to the incarnation's holding in the log's state.
	Sync(ho Holding)
	// Prefetch sets the minimum grant of a budget, which is kept even without demand.
	Prefetch(budget string, tokens int64)
	// Drain makes the next batches return all unused tokens.
	Drain()
	// Settled reports whether nothing is reserved, unsettled, in flight or waiting to be returned.
	Settled() bool
	// Balance returns the amounts of one budget.
	Balance(now time.Duration, budget string) Balance
}

// Reservation holds tokens back for one request, up to its maximum cost.
type Reservation struct {
	Budget string
	Tokens int64
}

// Cost is the actual cost of a reserved request.
type Cost struct {
	Key string
	// Deduplicate marks a key that the caller may send again: only its first bill is charged.
	Deduplicate bool
	Billed      int64
	// WrittenOff counts tokens that are spent but not billed.
	WrittenOff int64
}

// Holding is the holding of this incarnation in a budget according to the log's state, in tokens.
type Holding struct {
	Budget  string
	Granted int64
	// Waiting is the part of this incarnation's claims that is still queued.
	Waiting int64
	// WaitingElsewhere is the sum of the queued claims of other incarnations.
	WaitingElsewhere int64
	// Remaining is what is left of the prepaid total over all holders.
	Remaining int64
	Removed   bool
}

// Balance holds the amounts of one account in tokens.
type Balance struct {
	Granted  int64
	Spent    int64
	Reserved int64
	// Waiting is the sum of the tokens that waiting requests need.
	Waiting int64
	// Limit is the upper bound on Spent+Reserved.
	Limit int64
}

type book struct {
	mu        sync.Mutex
	config    Config
	accounts  map[string]*account
	dirty     []*account
	lastBuild time.Duration
	draining  bool
	lastSweep time.Duration
	// inFlight are the accounts with claims, ceilings or returns in batches that are not accepted yet.
	inFlight []*account
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
		bo.markDirty(ac)
		return false
	}
	ac.reserved += tokens
	ac.updatePeak(now, bo.config.SlackSpan)
	bo.markDirty(ac)
	return true
}

func (bo *book) AddWaiter(now time.Duration, budget string, tokens int64) <-chan struct{} {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.waiting += tokens
	ac.lastUse = now
	bo.markDirty(ac)
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
	bo.markDirty(ac)
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
	bo.markDirty(ac)
	ac.notify()
}

func (bo *book) Accept(sequence int64, lookup func(budget string) Holding) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	remaining := bo.inFlight[:0]
	for _, ac := range bo.inFlight {
		if ac.acceptUpTo(sequence) {
			bo.sync(ac, lookup(ac.name))
		}
		if ac.hasInFlight() {
			remaining = append(remaining, ac)
		}
	}
	bo.inFlight = remaining
}

func (bo *book) Sync(ho Holding) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.sync(bo.account(ho.Budget), ho)
}

func (bo *book) sync(ac *account, ho Holding) {
	ac.granted = ho.Granted
	ac.logWaiting = ho.Waiting
	ac.waitingElsewhere = ho.WaitingElsewhere
	ac.remaining = ho.Remaining
	ac.removed = ho.Removed
	bo.markDirty(ac)
	ac.notify()
}

func (bo *book) Prefetch(budget string, tokens int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.minGrant = tokens
	bo.markDirty(ac)
}

func (bo *book) Drain() {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.draining = true
	for _, ac := range bo.accounts {
		bo.markDirty(ac)
	}
}

func (bo *book) Settled() bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	for _, ac := range bo.accounts {
		if ac.reserved > 0 || len(ac.bills) > 0 || ac.writtenOff > 0 || ac.hasInFlight() || (bo.returnsAllUnused(ac) && ac.unused() > 0) {
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

func (bo *book) markDirty(ac *account) {
	if ac.dirty {
		return
	}
	ac.dirty = true
	bo.dirty = append(bo.dirty, ac)
}

// takeDirty returns the dirty accounts in ascending order of name and marks them clean.
func (bo *book) takeDirty() []*account {
	list := bo.dirty
	bo.dirty = nil
	for _, ac := range list {
		ac.dirty = false
	}
	slices.SortFunc(list, func(aa, bb *account) int { return strings.Compare(aa.name, bb.name) })
	return list
}
