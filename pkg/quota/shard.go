package quota

import (
	"sync"
	"time"
)

// needInterval is how often a lack of grant is published; the others answer it with their next rows.
const needInterval = 300 * time.Millisecond

// Config names the owner of a purse.
type Config struct {
	Instance string
	// Incarnation is a number that no other life of the instance uses.
	Incarnation int64
}

// ReserveResult says why a reservation failed.
type ReserveResult uint8

// The outcomes of a reservation.
const (
	// Reserved reservations are taken out of the grant.
	Reserved ReserveResult = iota
	// OverCeiling reservations fit into the grant but not under the ceiling, which the next row lifts.
	OverCeiling
	// OverGrant reservations exceed the grant, though the team has tokens left.
	OverGrant
	// Uncertain reservations exceed what is left when all that earlier lives may have spent counts as spent.
	Uncertain
	// Exhausted reservations exceed all that is left of the team's total.
	Exhausted
)

// seenRow is the row of another instance, or of an earlier life of this one.
type seenRow struct {
	row    Row
	seenAt time.Duration
}

// Shard is the share of one instance in every team's total; it is safe for concurrent use.
type Shard struct {
	mu       sync.Mutex
	config   Config
	rows     map[string]map[string]seenRow
	accounts map[string]*account
	totals   map[string]int64
	// stamp is when this life began, as compared with the rows of earlier lives.
	stamp   func() Stamp
	started time.Duration
	// members are the names of all instances.
	members []string
	closing bool
	urgent  chan struct{}
}

// New returns a purse that has read nothing; stamp reads the clocks that outlive the process.
func New(config Config, now time.Duration, stamp func() Stamp) *Shard {
	return &Shard{
		config: config, rows: map[string]map[string]seenRow{}, accounts: map[string]*account{},
		totals: map[string]int64{}, stamp: stamp, started: now, urgent: make(chan struct{}, 1),
	}
}

// Urgent signals that rows should be appended soon.
func (sh *Shard) Urgent() <-chan struct{} { return sh.urgent }

// SetTotals takes the prepaid totals of all limited teams.
func (sh *Shard) SetTotals(totals map[string]int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.totals = totals
	for _, ac := range sh.accounts {
		ac.notify()
	}
	sh.signalUrgent()
}

// Reserve takes the most that a request can cost out of the grant.
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
	left, lost := sh.remaining(team)
	switch {
	case left < tokens:
		return Exhausted
	case left-lost < tokens, left-sh.netLent(team) < tokens:
		return Uncertain
	case ac.used()+tokens <= ac.granted()-sh.excess(team):
		return OverCeiling
	default:
		return OverGrant
	}
}

// AddWaiter registers a request that waits for tokens; the channel closes at the next change, and Leave ends the wait.
func (sh *Shard) AddWaiter(now time.Duration, team string, tokens int64) <-chan struct{} {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	ac.waiting += tokens
	covered := ac.used()+tokens <= ac.granted()-sh.excess(team)
	if covered || now-ac.needSignalledAt >= needInterval {
		// A new row of this instance is enough for a ceiling; a lack of grant takes the others' next rows.
		ac.needSignalledAt = now
		sh.signalUrgent()
	}
	return ac.changed
}

// RemoveWaiter ends the wait of a request.
func (sh *Shard) RemoveWaiter(team string, tokens int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.account(team).waiting -= tokens
}

// Waiting reports whether requests wait for tokens.
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

// Settle ends a reservation with what the request cost, which is no more than what was reserved.
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

// Close returns every unused grant with the next rows.
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

// Settled reports whether the topic holds all that this instance has used, and no grant beyond it.
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

// Balance are the amounts of one team at this instance, in tokens.
type Balance struct {
	Granted  int64
	Spent    int64
	Reserved int64
	Limit    int64
	// Age is the time since the row in force was built.
	Age time.Duration
	// Remaining is what is left of the team's total, with Lost, which earlier lives may have spent.
	Remaining  int64
	WrittenOff int64
}

// Balance returns the amounts of one team.
func (sh *Shard) Balance(now time.Duration, team string) Balance {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ac := sh.account(team)
	left, lost := sh.remaining(team)
	age := time.Duration(0)
	if ac.inForce != nil {
		age = now - ac.inForce.builtAt
	}
	return Balance{
		Age:     age,
		Granted: ac.granted(), Spent: ac.totalSpent(), Reserved: ac.reserved,
		Limit: ac.limit(now, sh.excess(team)), Remaining: left, WrittenOff: lost,
	}
}

// excess returns what all grants of a team together exceed its total by, after the total was lowered.
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

// remaining returns what no instance has spent of the total, as far as the topic shows, and how much of it earlier lives may have spent.
func (sh *Shard) remaining(team string) (left, lost int64) {
	ac := sh.account(team)
	left = sh.totals[team] - (ac.totalSpent() - ac.writtenOff)
	lost = ac.writtenOff
	for instance, sr := range sh.rows[team] {
		if instance != sh.config.Instance {
			left -= sr.row.Spent - sr.row.WrittenOff
			lost += sr.row.WrittenOff
		}
	}
	return left, lost
}

// netLent returns what instances with rows have given to peers without rows, which have used most of it.
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

// ActiveInstances returns how many instances hold grants and have written lately, this one included.
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
