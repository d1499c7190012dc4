package purse

import (
	"sync"
	"time"
)

// needInterval is how often a lack of grant is published; the others answer it with their next rows.
const needInterval = 300 * time.Millisecond

// Config names the owner of a purse.
type Config struct {
	Instance string
	// Life is a number that no other life of the instance uses.
	Life int64
}

// Shortage says why a reservation failed.
type Shortage uint8

// The outcomes of a reservation.
const (
	// Covered reservations are taken out of the grant.
	Covered Shortage = iota
	// Capped reservations fit into the grant but not under the ceiling, which the next row lifts.
	Capped
	// Lacking reservations exceed the grant, though the team has tokens left.
	Lacking
	// Stranded reservations exceed what is left when all that earlier lives may have spent counts as spent.
	Stranded
	// Exhausted reservations exceed all that is left of the team's total.
	Exhausted
)

// holding is the row of another instance, or of an earlier life of this one.
type holding struct {
	row    Row
	seenAt time.Duration
}

// Purse is the share of one instance in every team's total; it is safe for concurrent use.
type Purse struct {
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
func New(config Config, now time.Duration, stamp func() Stamp) *Purse {
	return &Purse{
		config: config, rows: map[string]map[string]holding{}, accounts: map[string]*account{},
		totals: map[string]int64{}, stamp: stamp, started: now, urgent: make(chan struct{}, 1),
	}
}

// Urgent signals that rows should be appended soon.
func (pu *Purse) Urgent() <-chan struct{} { return pu.urgent }

// SetTotals takes the prepaid totals of all limited teams.
func (pu *Purse) SetTotals(totals map[string]int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.totals = totals
	for _, ac := range pu.accounts {
		ac.notify()
	}
	pu.wake()
}

// Reserve takes the most that a request can cost out of the grant.
func (pu *Purse) Reserve(now time.Duration, team string, tokens int64) Shortage {
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
		return Covered
	}
	left, lost := pu.left(team)
	switch {
	case left < tokens:
		return Exhausted
	case left-lost < tokens, left-pu.moved(team) < tokens:
		return Stranded
	case ac.used()+tokens <= ac.granted()-pu.excess(team):
		return Capped
	default:
		return Lacking
	}
}

// Await registers a request that waits for tokens; the channel closes at the next change, and Leave ends the wait.
func (pu *Purse) Await(now time.Duration, team string, tokens int64) <-chan struct{} {
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

// Leave ends the wait of a request.
func (pu *Purse) Leave(team string, tokens int64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.account(team).waiting -= tokens
}

// Waiting reports whether requests wait for tokens.
func (pu *Purse) Waiting() bool {
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
func (pu *Purse) Settle(now time.Duration, team string, reserved, cost int64) {
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
func (pu *Purse) Close() {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.closing = true
	pu.wake()
}

// Holds reports whether this instance has a row in the topic.
func (pu *Purse) Holds() bool {
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
func (pu *Purse) Settled() bool {
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

// Figures are the amounts of one team at this instance, in tokens.
type Figures struct {
	Granted  int64
	Spent    int64
	Reserved int64
	Limit    int64
	// Age is the time since the row in force was built.
	Age time.Duration
	// Left is what is left of the team's total, with Lost, which earlier lives may have spent.
	Left int64
	Lost int64
}

// Figures returns the amounts of one team.
func (pu *Purse) Figures(now time.Duration, team string) Figures {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ac := pu.account(team)
	left, lost := pu.left(team)
	age := time.Duration(0)
	if ac.held != nil {
		age = now - ac.held.builtAt
	}
	return Figures{
		Age:     age,
		Granted: ac.granted(), Spent: ac.allSpent(), Reserved: ac.reserved,
		Limit: ac.limit(now, pu.excess(team)), Left: left, Lost: lost,
	}
}

// excess returns what all grants of a team together exceed its total by, after the total was lowered.
func (pu *Purse) excess(team string) int64 {
	return max(0, pu.sumGranted(team)-pu.totals[team])
}

func (pu *Purse) sumGranted(team string) int64 {
	sum := int64(0)
	for _, ho := range pu.rows[team] {
		sum += ho.row.Granted
	}
	return sum
}

// left returns what no instance has spent of the total, as far as the topic shows, and how much of it earlier lives may have spent.
func (pu *Purse) left(team string) (left, lost int64) {
	ac := pu.account(team)
	left = pu.totals[team] - (ac.allSpent() - ac.lost)
	lost = ac.lost
	for instance, ho := range pu.rows[team] {
		if instance != pu.config.Instance {
			left -= ho.row.Spent - ho.row.Lost
			lost += ho.row.Lost
		}
	}
	return left, lost
}

// moved returns what instances with rows have given to peers without rows, which have used most of it.
func (pu *Purse) moved(team string) int64 {
	ac := pu.account(team)
	sum := ac.given - ac.taken
	for instance, ho := range pu.rows[team] {
		if instance != pu.config.Instance {
			sum += ho.row.Moved
		}
	}
	return max(0, sum)
}

func (pu *Purse) account(team string) *account {
	ac, ok := pu.accounts[team]
	if !ok {
		ac = newAccount(team)
		pu.accounts[team] = ac
	}
	return ac
}

func (pu *Purse) wake() {
	select {
	case pu.urgent <- struct{}{}:
	default:
	}
}

// Instances returns how many instances hold grants and have written lately, this one included.
func (pu *Purse) Instances(now time.Duration) int {
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
