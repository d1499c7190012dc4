package quota

import (
	"sync"
	"time"
)

// needInterval is the least time between two signals for a row that asks for a larger grant; the other instances respond with their next
// rows.
const needInterval = 300 * time.Millisecond

// Config identifies the instance.
type Config struct {
	Instance string
	// Incarnation is a number that no other incarnation of the instance uses.
	Incarnation int64
}

// ReserveResult says whether a reservation succeeded, or why it failed.
type ReserveResult uint8

// The results of a reservation.
const (
	// Reserved means that the tokens are reserved.
	Reserved ReserveResult = iota
	// OverCeiling means that the grant covers the request, but the ceiling does not; the next row raises it.
	OverCeiling
	// OverGrant means that the request exceeds this instance's grant, though the team has enough tokens.
	OverGrant
	// Uncertain means that the team has enough tokens only if those are counted that were written off, or lent to instances without a row.
	Uncertain
	// Exhausted means that the request exceeds all that remains of the team's total.
	Exhausted
)

// seenRow is a row in the topic, with the time when it was read or confirmed.
type seenRow struct {
	row    Row
	seenAt time.Duration
}

// Shard keeps this instance's grants of the teams that share one topic; it is safe for concurrent use.
type Shard struct {
	mu     sync.Mutex
	config Config
	// rows are the newest rows in the topic by team and instance.
	rows     map[string]map[string]seenRow
	accounts map[string]*account
	totals   map[string]int64
	// stamp reads the clocks that are compared with those in the rows of earlier incarnations.
	stamp   func() Stamp
	started time.Duration
	// members are the names of all instances that have announced themselves.
	members []string
	closing bool
	urgent  chan struct{}
}

// New returns a shard that has not read its topic yet; stamp reads the clocks that survive a restart of the process.
func New(config Config, now time.Duration, stamp func() Stamp) *Shard {
	return &Shard{
		config: config, rows: map[string]map[string]seenRow{}, accounts: map[string]*account{},
		totals: map[string]int64{}, stamp: stamp, started: now, urgent: make(chan struct{}, 1),
	}
}

// Urgent returns a channel that receives a value when rows should be appended soon.
func (sh *Shard) Urgent() <-chan struct{} { return sh.urgent }

// SetTotals sets the prepaid totals of the shard's limited teams.
func (sh *Shard) SetTotals(totals map[string]int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.totals = totals
	for _, ac := range sh.accounts {
		ac.notify()
	}
	sh.signalUrgent()
}

// Reserve reserves the given tokens, which are the most that a request can cost.
func (sh *Shard) Reserve(now time.Duration, team string, tokens int64) ReserveResult {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	limit := ac.limit(now, sh.excess(team))
	if ac.used()+tokens <= limit {
		ac.reserved += tokens
		ac.recordSize(tokens)
		if limit-ac.used() < ac.meanSize {
			sh.signalUrgent()
		}
		return Reserved
	}
	remaining, writtenOff := sh.remaining(team)
	switch {
	case remaining < tokens:
		return Exhausted
	case remaining-writtenOff < tokens, remaining-sh.netLent(team) < tokens:
		return Uncertain
	case ac.used()+tokens <= ac.granted()-sh.excess(team):
		return OverCeiling
	default:
		return OverGrant
	}
}

// AddWaiter registers a request that waits for tokens, until RemoveWaiter; the channel is closed when the request should try again.
func (sh *Shard) AddWaiter(now time.Duration, team string, tokens int64) <-chan struct{} {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	ac.waiting += tokens
	covered := ac.used()+tokens <= ac.granted()-sh.excess(team)
	if covered || now-ac.needSignalledAt >= needInterval {
		// A new row of this instance is enough to raise its ceiling. For a larger grant the other instances must write rows first, so it is
		// not asked for more often than every needInterval.
		ac.needSignalledAt = now
		sh.signalUrgent()
	}
	return ac.changed
}

// RemoveWaiter ends the wait of a request that AddWaiter registered.
func (sh *Shard) RemoveWaiter(team string, tokens int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.account(team).waiting -= tokens
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

// Settle replaces a reservation by the cost of the request, of which no more than the reserved tokens are charged.
func (sh *Shard) Settle(now time.Duration, team string, reserved, cost int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	ac.reserved -= reserved
	ac.spent += min(cost, reserved)
	ac.demand.add(now, cost)
	ac.ownDemand.add(now, cost)
	ac.notify()
}

// Close makes the next rows return every unused grant.
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

// Settled reports whether the rows of this instance in the topic grant no more than it has used, with nothing reserved and no append
// pending.
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
	Granted  int64
	Spent    int64
	Reserved int64
	Limit    int64
	// Age is the time since the row in force was built.
	Age time.Duration
	// Remaining is the unspent part of the team's total. It includes WrittenOff: tokens that count as spent, but perhaps were not.
	Remaining  int64
	WrittenOff int64
}

// Balance returns the amounts of a team at this instance.
func (sh *Shard) Balance(now time.Duration, team string) Balance {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	remaining, writtenOff := sh.remaining(team)
	age := time.Duration(0)
	if ac.inForce != nil {
		age = now - ac.inForce.builtAt
	}
	return Balance{
		Age:     age,
		Granted: ac.granted(), Spent: ac.totalSpent(), Reserved: ac.reserved,
		Limit: ac.limit(now, sh.excess(team)), Remaining: remaining, WrittenOff: writtenOff,
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

// remaining returns the part of the total that is unspent according to the topic, and how much of it was written off, since earlier
// incarnations may have spent it.
func (sh *Shard) remaining(team string) (remaining, writtenOff int64) {
	ac := sh.account(team)
	remaining = sh.totals[team] - (ac.totalSpent() - ac.writtenOff)
	writtenOff = ac.writtenOff
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance {
			remaining -= sr.row.Spent - sr.row.WrittenOff
			writtenOff += sr.row.WrittenOff
		}
	}
	return remaining, writtenOff
}

// netLent returns the tokens that instances with rows have lent to instances without rows, which have used most of them.
func (sh *Shard) netLent(team string) int64 {
	ac := sh.account(team)
	sum := ac.lent - ac.received
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance {
			sum += sr.row.NetLent
		}
	}
	return max(0, sum)
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

// ActiveInstances returns the number of instances with rows that wrote one recently, this one included.
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
