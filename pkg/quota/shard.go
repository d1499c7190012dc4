package quota

import (
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// needInterval is the minimum time between two signals that a waiting request needs a larger grant. The other instances respond only with
// their next rows.
const needInterval = 300 * time.Millisecond

// Config identifies the instance and its incarnation.
type Config struct {
	// Instance is the name of the instance.
	Instance string
	// Incarnation is a number that no other incarnation of the instance uses.
	Incarnation int64
	// FirstStart reports whether no instance has run before, so that there are no rows which the store may have lost.
	FirstStart bool
	// CopyAge is the maximum age of a copy from which the store comes back, zero if it never loses anything.
	CopyAge time.Duration
	// DiscoverySpan is the time after the start in which this instance might not know all others; see discovering.
	DiscoverySpan time.Duration
}

// ReserveResult says whether a reservation succeeded, or why it failed.
type ReserveResult uint8

// The results of a reservation.
const (
	// Reserved means that the tokens are reserved.
	Reserved ReserveResult = iota
	// OverCeiling means that the grant covers the request, but the ceiling does not; the next row raises the ceiling.
	OverCeiling
	// OverGrant means that the request exceeds this instance's grant, though the team has enough tokens.
	OverGrant
	// Uncertain means that the team's remaining tokens cover the request, but some of them may have been spent already: those written off, and
	// those lent to instances without a row. Without these, too few tokens remain according to the rows. A peer may have received tokens since
	// its last row, so the request may still borrow.
	Uncertain
	// Exhausted means that the request exceeds the team's remaining tokens.
	Exhausted
)

// seenRow is a row in the topic, with the time when it was read or confirmed.
type seenRow struct {
	row    Row
	seenAt time.Duration
	// inactive is true if the store came back from an older copy when the instance had not written rows for long, and the copy has the row.
	inactive bool
}

// Shard keeps this instance's grants of the teams that share one topic; it is safe for concurrent use.
type Shard struct {
	mu     sync.Mutex
	config Config
	// rows are the newest rows in the topic by team and instance.
	rows     map[string]map[string]seenRow
	accounts map[string]*account
	// totals are the prepaid totals of the limited teams (those with a prepaid total, see plan.Team), in tokens by team name.
	totals map[string]int64
	// stamp reads the clocks. Each row contains such a reading, from which the next incarnation computes the age of the row.
	stamp func() Stamp
	// started is the start of this incarnation, and startStamp the reading of the two clocks then. Earlier incarnations had ended by then.
	started    time.Duration
	startStamp Stamp
	// loadedAt is the time of the first snapshot of the topic.
	loadedAt time.Duration
	// readAt is the time at which this instance last built rows, for which it had read the topic to its end.
	readAt time.Duration
	// readingSince is the time since which the topic was read without a longer gap than maxReadGap.
	readingSince time.Duration
	// members are the names of all instances that have announced themselves.
	members []string
	// rankings caches the results of ranking, by team.
	rankings map[string][]string
	// closing is true once Close was called.
	closing bool
	// era is the era of the store in which the topic was last read.
	era keyed.Era
	// restoredAt is the time at which this instance noticed that the store had come back from an older copy, zero if it did not.
	restoredAt time.Duration
	// formerEra is the era before the last return of the store that this instance noticed.
	formerEra keyed.Era
	// remembered holds the instances whose newest rows this instance knew when the store last came back.
	remembered map[string]bool
	// pools are the records of the pools in the topic, by team.
	pools map[string]pool
	// statements are those in the topic, and witnesses the witness records, by instance.
	statements map[string]statement
	witnesses  map[string]statement
	// lost are the rows that this instance has read or appended, and of which the store has only older ones.
	lost map[rowID]Row
	// found are the teams whose rows were put in force by reading since the last call of TakeFound.
	found map[string]bool
	// takeovers are those that TakeTakeovers has not returned yet.
	takeovers []Takeover
	// urgent is the channel returned by Urgent.
	urgent chan struct{}
	// ahead holds the teams for which a loan ahead is due.
	ahead aheadQueue
}

// New returns a shard that has not read its topic yet. The parameter now is the start of this incarnation; stamp reads the two clocks of
// Stamp.
func New(config Config, now time.Duration, stamp func() Stamp) *Shard {
	return &Shard{
		config: config, rows: map[string]map[string]seenRow{}, accounts: map[string]*account{},
		totals: map[string]int64{}, stamp: stamp, started: now, startStamp: stamp(), urgent: make(chan struct{}, 1),
		pools: map[string]pool{}, statements: map[string]statement{}, witnesses: map[string]statement{}, remembered: map[string]bool{}, lost: map[rowID]Row{}, found: map[string]bool{},
		ahead: newAheadQueue(), rankings: map[string][]string{},
	}
}

// Urgent returns a channel that receives a value when rows should be appended soon.
func (sh *Shard) Urgent() <-chan struct{} { return sh.urgent }

// SetTotals sets the prepaid totals of the shard's limited teams, in tokens by team name.
func (sh *Shard) SetTotals(totals map[string]int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.totals = totals
	for _, ac := range sh.accounts {
		ac.notify()
	}
	sh.signalUrgent()
}

// Reserve reserves the given number of tokens, the maximum cost of a request, if the grant and the ceiling of this instance cover it. Any number is allowed,
// also the greatest one; one below zero is never reserved.
func (sh *Shard) Reserve(now time.Duration, team string, tokens int64) ReserveResult {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	if tokens < 0 {
		return Exhausted
	}
	// Differences are compared, since a sum with the number of tokens may overflow.
	free := ac.limit(now, sh.excess(team)) - ac.used()
	if tokens <= free {
		ac.reserved += tokens
		ac.recordSize(tokens)
		sh.recordUse(ac, now, tokens, free-tokens)
		if free-tokens < ac.meanSize {
			sh.signalUrgent()
		}
		return Reserved
	}
	le := sh.leftover(team)
	switch {
	case le.remaining < tokens:
		return Exhausted
	case le.remaining-le.writtenOff-le.lent < tokens:
		return Uncertain
	case tokens <= ac.granted()-sh.excess(team)-ac.used():
		return OverCeiling
	default:
		return OverGrant
	}
}

// AddWaiter is called when a request starts to wait for the given number of tokens. New rows include them in Need until RemoveWaiter is
// called. The returned channel is closed when the request should call Reserve again.
func (sh *Shard) AddWaiter(now time.Duration, team string, tokens int64) <-chan struct{} {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	ac.waiting += tokens
	ac.waiters++
	covered := ac.used()+tokens <= ac.granted()-sh.excess(team)
	if covered || now-ac.needSignaledAt >= needInterval {
		// If the grant covers the request, a new row of this instance is enough to raise the ceiling. For a larger grant the other instances
		// must write rows first, so the need is signaled at most every needInterval.
		ac.needSignaledAt = now
		sh.signalUrgent()
	}
	return ac.changed
}

// RemoveWaiter is called when a request stops waiting, with the same number of tokens as AddWaiter.
func (sh *Shard) RemoveWaiter(team string, tokens int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	ac.waiting -= tokens
	ac.waiters--
}

// Waiting reports whether any request waits for tokens.
func (sh *Shard) Waiting() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, ac := range sh.accounts {
		if ac.waiting > 0 {
			return true
		}
	}
	return false
}

// Settle releases the reservation of a finished request and charges its cost, but no more than the reserved tokens. The parameter reserved
// is the number of tokens passed to Reserve.
func (sh *Shard) Settle(now time.Duration, team string, reserved, cost int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	cost = max(0, min(cost, reserved))
	ac.reserved -= reserved
	ac.spent += cost
	ac.demand.add(now, cost)
	ac.ownDemand.add(now, cost)
	ac.notify()
}

// Close makes this instance give back all unused tokens: its next rows lower each grant to the tokens used.
func (sh *Shard) Close() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.closing = true
	sh.signalUrgent()
}

// HasRow reports whether this instance has a row in the topic.
func (sh *Shard) HasRow() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, rows := range sh.rows {
		if _, ok := rows[sh.config.Instance]; ok {
			return true
		}
	}
	return false
}

// Settled reports whether this instance has given back all unused tokens: the rows of this incarnation grant no more than the tokens used,
// no tokens are reserved, no append is pending, and no row of an earlier incarnation is still to be replaced.
func (sh *Shard) Settled() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for team := range sh.totals {
		ac := sh.account(team)
		_, known := sh.rows[team][sh.config.Instance]
		if !known && ac.inForce == nil {
			continue
		}
		if ac.inForce == nil || len(ac.pending) > 0 || ac.reserved > 0 || ac.inForce.row.Granted > ac.used() {
			return false
		}
	}
	return true
}

// Balance holds the amounts of one team at this instance, in tokens.
type Balance struct {
	// Granted is the grant of this instance.
	Granted int64
	// Spent is the number of tokens that count as spent by this and all earlier incarnations.
	Spent int64
	// Reserved is the sum of the reservations of requests in flight.
	Reserved int64
	// Limit is the maximum number of tokens that the instance may have used now, by its grant and its ceiling.
	Limit int64
	// Age is the time since the row in force was built, zero if this incarnation has none.
	Age time.Duration
	// Remaining is the part of the team's total that is not known to be spent by any instance. It includes WrittenOff and Lent.
	Remaining int64
	// WrittenOff is the number of tokens that count as spent at any instance although it is unknown whether earlier incarnations spent them.
	WrittenOff int64
	// Lent is the number of tokens lent to instances without a row, or lost on the way; no row says how many of them are spent.
	Lent int64
}

// Balance returns the amounts of a team at this instance.
func (sh *Shard) Balance(now time.Duration, team string) Balance {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	le := sh.leftover(team)
	age := time.Duration(0)
	if ac.inForce != nil {
		age = now - ac.inForce.builtAt
	}
	return Balance{
		Age:     age,
		Granted: ac.granted(), Spent: ac.totalSpent(), Reserved: ac.reserved,
		Limit: ac.limit(now, sh.excess(team)), Remaining: le.remaining, WrittenOff: le.writtenOff, Lent: le.lent,
	}
}

// excess returns the amount by which all grants of a team exceed its total, which happens after the total was lowered.
func (sh *Shard) excess(team string) int64 {
	return max(0, sh.sumGranted(team)-sh.totals[team])
}

func (sh *Shard) sumGranted(team string) int64 {
	sum := int64(0)
	for _, sr := range sh.rows[team] {
		sum += sr.row.Granted
	}
	return sum
}

// leftover is what is left of a team's total, in tokens; the last two are parts of the first.
type leftover struct {
	// remaining are the tokens that are not known to be spent.
	remaining int64
	// writtenOff are those that earlier incarnations may have spent, and lent those that instances without a row may have spent.
	writtenOff int64
	lent       int64
}

// leftover returns what is left of a team's total according to the rows. Each token counts once: a transfer between two instances with rows
// is lent in one row and received in the other.
func (sh *Shard) leftover(team string) leftover {
	ac := sh.account(team)
	spent, writtenOff, netLent := ac.totalSpent(), ac.writtenOff, ac.netLent()
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance {
			spent += sr.row.Spent
			writtenOff += sr.row.WrittenOff
			netLent += sr.row.NetLent
		}
	}
	// If more tokens were received than lent according to the rows, the lender was killed before its row stated it. It then counts them as
	// written off, although they are at the receiver.
	return leftover{
		remaining: sh.totals[team] - spent + writtenOff, writtenOff: max(0, writtenOff+min(0, netLent)), lent: max(0, netLent),
	}
}

// OthersHaveUnused reports whether the row of another instance shows unused tokens of a team, so that it may lend.
func (sh *Shard) OthersHaveUnused(team string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance && sr.row.Granted > sr.row.statedUse() {
			return true
		}
	}
	return false
}

func (sh *Shard) account(team string) *account {
	ac, ok := sh.accounts[team]
	if !ok {
		ac = newAccount(team)
		sh.accounts[team] = ac
	}
	return ac
}

func (sh *Shard) signalUrgent() {
	select {
	case sh.urgent <- struct{}{}:
	default:
	}
}

// ActiveInstances returns the number of instances that wrote a row within the last activeSpan; this one is always included.
func (sh *Shard) ActiveInstances(now time.Duration) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	names := map[string]bool{sh.config.Instance: true}
	for _, rows := range sh.rows {
		for instance, sr := range rows {
			if now-sr.seenAt <= activeSpan {
				names[instance] = true
			}
		}
	}
	return len(names)
}
