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

// holding is the row of another instance, or of an earlier life of this one.
type holding struct {
	row    Row
	seenAt time.Duration
}

// Shard is the share of one instance in every team's total; it is safe for concurrent use.
type Shard struct {
	mu       sync.Mutex
	config   Config
	rows     map[string]map[string]holding
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
		config: config, rows: map[string]map[string]holding{}, accounts: map[string]*account{},
		totals: map[string]int64{}, stamp: stamp, started: now, urgent: make(chan struct{}, 1),
	}
}

// Urgent signals that rows should be appended soon.
func (pu *Shard) Urgent() <-chan struct{} { return pu.urgent }

// SetTotals takes the prepaid totals of all limited teams.
func (pu *Shard) SetTotals(totals map[string]int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.totals = totals
	for _, ac := range pu.accounts {
		ac.notify()
	}
	pu.wake()
}

// Reserve takes the most that a request can cost out of the grant.
func (pu *Shard) Reserve(now time.Duration, team string, tokens int64) ReserveResult {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	limit := ac.limit(now, pu.excess(team))
	if ac.used()+tokens <= limit {
		ac.reserved += tokens
		ac.noteSize(tokens)
		if limit-ac.used() < ac.typical {
			pu.wake()
		}
		return Reserved
	}
	left, lost := pu.left(team)
	switch {
	case left < tokens:
		return Exhausted
	case left-lost < tokens, left-pu.moved(team) < tokens:
		return Uncertain
	case ac.used()+tokens <= ac.granted()-pu.excess(team):
		return OverCeiling
	default:
		return OverGrant
	}
}

// AddWaiter registers a request that waits for tokens; the channel closes at the next change, and Leave ends the wait.
func (pu *Shard) AddWaiter(now time.Duration, team string, tokens int64) <-chan struct{} {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	ac.waiting += tokens
	covered := ac.used()+tokens <= ac.granted()-pu.excess(team)
	if covered || now-ac.neededAt >= needInterval {
		// A new row of this instance is enough for a ceiling; a lack of grant takes the others' next rows.
		ac.neededAt = now
		pu.wake()
	}
	return ac.changed
}

// RemoveWaiter ends the wait of a request.
func (pu *Shard) RemoveWaiter(team string, tokens int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.account(team).waiting -= tokens
}

// Waiting reports whether requests wait for tokens.
func (pu *Shard) Waiting() bool {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, ac := range pu.accounts {
		if ac.waiting > 0 {
			return true
		}
	}
	return false
}

// Settle ends a reservation with what the request cost, which is no more than what was reserved.
func (pu *Shard) Settle(now time.Duration, team string, reserved, cost int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	ac.reserved -= reserved
	ac.spent += min(cost, reserved)
	ac.demand.add(now, cost)
	ac.own.add(now, cost)
	ac.notify()
}

// Close returns every unused grant with the next rows.
func (pu *Shard) Close() {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.closing = true
	pu.wake()
}

// HasRow reports whether this instance has a row in the topic.
func (pu *Shard) HasRow() bool {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, rows := range pu.rows {
		if _, ok := rows[pu.config.Instance]; ok {
			return true
		}
	}
	return false
}

// Settled reports whether the topic holds all that this instance has used, and no grant beyond it.
func (pu *Shard) Settled() bool {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for team := range pu.totals {
		ac := pu.account(team)
		_, known := pu.rows[team][pu.config.Instance]
		if !known && ac.held == nil {
			continue
		}
		if ac.held == nil || len(ac.pending) > 0 || ac.reserved > 0 || ac.held.row.Granted > ac.used() {
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
func (pu *Shard) Balance(now time.Duration, team string) Balance {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	left, lost := pu.left(team)
	age := time.Duration(0)
	if ac.held != nil {
		age = now - ac.held.builtAt
	}
	return Balance{
		Age:     age,
		Granted: ac.granted(), Spent: ac.allSpent(), Reserved: ac.reserved,
		Limit: ac.limit(now, pu.excess(team)), Remaining: left, WrittenOff: lost,
	}
}

// excess returns what all grants of a team together exceed its total by, after the total was lowered.
func (pu *Shard) excess(team string) int64 {
	return max(0, pu.sumGranted(team)-pu.totals[team])
}

func (pu *Shard) sumGranted(team string) int64 {
	sum := int64(0)
	for _, ho := range pu.rows[team] {
		sum += ho.row.Granted
	}
	return sum
}

// left returns what no instance has spent of the total, as far as the topic shows, and how much of it earlier lives may have spent.
func (pu *Shard) left(team string) (left, lost int64) {
	ac := pu.account(team)
	left = pu.totals[team] - (ac.allSpent() - ac.lost)
	lost = ac.lost
	for instance, ho := range pu.rows[team] {
		if instance != pu.config.Instance {
			left -= ho.row.Spent - ho.row.WrittenOff
			lost += ho.row.WrittenOff
		}
	}
	return left, lost
}

// moved returns what instances with rows have given to peers without rows, which have used most of it.
func (pu *Shard) moved(team string) int64 {
	ac := pu.account(team)
	sum := ac.given - ac.taken
	for instance, ho := range pu.rows[team] {
		if instance != pu.config.Instance {
			sum += ho.row.NetLent
		}
	}
	return max(0, sum)
}

func (pu *Shard) account(team string) *account {
	ac, ok := pu.accounts[team]
	if !ok {
		ac = newAccount(team)
		pu.accounts[team] = ac
	}
	return ac
}

func (pu *Shard) wake() {
	select {
	case pu.urgent <- struct{}{}:
	default:
	}
}

// ActiveInstances returns how many instances hold grants and have written lately, this one included.
func (pu *Shard) ActiveInstances(now time.Duration) int {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	names := map[string]bool{pu.config.Instance: true}
	for _, rows := range pu.rows {
		for instance, ho := range rows {
			if now-ho.seenAt <= aliveSpan {
				names[instance] = true
			}
		}
	}
	return len(names)
}
