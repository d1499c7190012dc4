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
	// Reserve reserves tokens of a budget. It returns false, and reserves nothing, if the spent and reserved tokens would
	// exceed Balance.Limit.
	Reserve(now time.Duration, budget string, tokens int64) bool
	// AddWaiter is called when a request starts to wait for the given number of tokens; the next claim includes them.
	// The returned channel is closed at the next change of the account.
	AddWaiter(now time.Duration, budget string, tokens int64) <-chan struct{}
	// NextChange returns a channel that is closed at the next change of the account; a waiting request calls it after each change.
	NextChange(budget string) <-chan struct{}
	// RemoveWaiter is called when a request that waited for the given number of tokens stops waiting, whether or not they
	// were reserved; the next claim no longer includes them.
	RemoveWaiter(budget string, tokens int64)
	// Settle ends a reservation and counts its actual cost as spent.
	Settle(now time.Duration, re Reservation, co Cost)
	// Build returns the records of the next batch, which has the given sequence number.
	Build(now time.Duration, sequence int64) []record.Record
	// Accept is called when the batches up to a sequence number were read back from the log. It marks their claims, ceilings
	// and returns as no longer in flight. In the same step it updates each account in these batches from the log's state,
	// which lookup returns.
	Accept(sequence int64, lookup func(budget string) AccountUpdate)
	// Sync replaces the amounts that an account takes from the log's state, such as the grant, and wakes the requests that
	// wait for tokens of the budget.
	Sync(au AccountUpdate)
	// Prefetch sets the minimum grant of a budget, which is kept even without demand.
	Prefetch(budget string, tokens int64)
	// Drain makes the next batches return all unused tokens.
	Drain()
	// Settled reports whether no account of this incarnation has open reservations, costs that are not in a batch yet, or
	// claims, ceilings or returns in flight. An account that returns all its unused tokens, because the instance drains or the
	// budget was removed, must have none left either.
	Settled() bool
	// Balance returns the amounts of one budget.
	Balance(now time.Duration, budget string) Balance
}

// Reservation holds tokens back for one request, up to its maximum cost.
type Reservation struct {
	// Budget is the name of the budget.
	Budget string
	// Tokens is the maximum cost of the request.
	Tokens int64
}

// Cost is the actual cost of a reserved request.
type Cost struct {
	// Key identifies the request: its idempotency key if it has one, otherwise its ID.
	Key string
	// Deduplicate is set if the caller may retry with the same key: only the first bill of the key is charged.
	Deduplicate bool
	// Billed is the number of tokens to charge.
	Billed int64
	// WrittenOff is the number of tokens that count as spent but are on no bill.
	WrittenOff int64
}

// AccountUpdate holds the amounts of this incarnation's account of one budget, in tokens, as they follow from the log entries
// that this process has applied.
type AccountUpdate struct {
	Budget string
	// Granted is the total granted to this incarnation and not returned; tokens that it has spent since are included.
	Granted int64
	// Waiting is the number of tokens that this incarnation claimed for waiting requests and that the ledger queued, because
	// too few tokens of the budget were free.
	// See record.Claim.
	Waiting int64
	// WaitingElsewhere is the sum of the tokens that the ledger queued for other incarnations.
	WaitingElsewhere int64
	// Remaining is the budget's prepaid total less the tokens billed and written off by all incarnations, at least zero.
	// Grants are not deducted.
	Remaining int64
	// Removed is set if the budget was removed or does not exist.
	Removed bool
}

// Balance holds the amounts of one account in tokens.
type Balance struct {
	// Granted is AccountUpdate.Granted.
	Granted int64
	// Spent is the number of tokens that this incarnation has billed or written off.
	Spent int64
	// Reserved is the sum of the reservations that are not settled yet.
	Reserved int64
	// Waiting is the sum of the tokens for which requests of this incarnation wait.
	Waiting int64
	// Limit is the upper bound on Spent+Reserved.
	Limit int64
}

type book struct {
	mu          sync.Mutex
	config      Config
	accounts    map[string]*account
	dirty       []*account
	lastBuiltAt time.Duration
	draining    bool
	lastSweep   time.Duration
	// inFlight are the accounts with claims, ceilings or returns in batches that are not accepted yet.
	inFlight []*account
}

// NewBook returns an empty book.
func NewBook(config Config) Book {
	return &book{config: config, accounts: map[string]*account{}}
}

// Reserve reserves tokens if the limit allows it; see Book.Reserve.
func (bo *book) Reserve(now time.Duration, budget string, tokens int64) bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.lastUsedAt = now
	if ac.committed()+tokens > ac.limit(now-bo.lastBuiltAt) {
		bo.markDirty(ac)
		return false
	}
	ac.reserved += tokens
	ac.updatePeak(now, bo.config.SlackSpan)
	bo.markDirty(ac)
	return true
}

// AddWaiter adds tokens to those that requests wait for; see Book.AddWaiter.
func (bo *book) AddWaiter(now time.Duration, budget string, tokens int64) <-chan struct{} {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.waiting += tokens
	ac.lastUsedAt = now
	bo.markDirty(ac)
	return ac.changed
}

// NextChange returns a channel that is closed at the account's next change.
func (bo *book) NextChange(budget string) <-chan struct{} {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.account(budget).changed
}

// RemoveWaiter subtracts tokens from those that requests wait for; see Book.RemoveWaiter.
func (bo *book) RemoveWaiter(budget string, tokens int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.waiting -= tokens
	bo.markDirty(ac)
}

// Settle ends a reservation and counts its actual cost as spent.
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

// Accept marks the batches up to a sequence number as read back from the log; see Book.Accept.
func (bo *book) Accept(sequence int64, lookup func(budget string) AccountUpdate) {
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

// Sync replaces the amounts that an account takes from the log's state; see Book.Sync.
func (bo *book) Sync(au AccountUpdate) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.sync(bo.account(au.Budget), au)
}

func (bo *book) sync(ac *account, au AccountUpdate) {
	ac.granted = au.Granted
	ac.logWaiting = au.Waiting
	ac.waitingElsewhere = au.WaitingElsewhere
	ac.remaining = au.Remaining
	ac.removed = au.Removed
	bo.markDirty(ac)
	ac.notify()
}

// Prefetch sets the minimum grant of a budget, which is kept even without demand.
func (bo *book) Prefetch(budget string, tokens int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac := bo.account(budget)
	ac.minGrant = tokens
	bo.markDirty(ac)
}

// Drain makes the next batches return all unused tokens.
func (bo *book) Drain() {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.draining = true
	for _, ac := range bo.accounts {
		bo.markDirty(ac)
	}
}

// Settled reports whether nothing of any account is left to settle or to append; see Book.Settled.
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

// Balance returns the amounts of an account, all zero if the book has no account of the budget.
func (bo *book) Balance(now time.Duration, budget string) Balance {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	ac, ok := bo.accounts[budget]
	if !ok {
		return Balance{}
	}
	return Balance{
		Granted: ac.granted, Spent: ac.spent, Reserved: ac.reserved,
		Waiting: ac.waiting, Limit: ac.limit(now - bo.lastBuiltAt),
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
