package quota

import "time"

// typicalWeight is the inverse of the weight of the newest reservation in the moving average.
const typicalWeight = 16

// term is a row of this life that the topic holds or may come to hold.
type term struct {
	row     Row
	builtAt time.Duration
}

// account is what this instance spends for one team; all amounts are in tokens.
type account struct {
	team string
	// held is the row in the topic, written by this life; without it nothing may be spent.
	held *term
	// pending are rows whose append got no clear answer, or is under way.
	pending []term
	// spent counts what this life has spent.
	spent int64
	// earlier is what earlier lives have used of the grant, if inherited; it is below zero where they took more from peers than they spent.
	earlier   int64
	inherited bool
	reserved  int64
	// lost is the part of earlier that those lives may not have spent.
	lost    int64
	waiting int64
	// demand is what is spent here and given to peers, own what is spent here.
	demand meter
	own    meter
	// typical is the moving average of reservations.
	typical int64
	// neededAt is when a lack of grant was last signalled.
	neededAt time.Duration
	// given and taken were moved to and from peers without the topic.
	given   int64
	taken   int64
	changed chan struct{}
}

func newAccount(team string) *account {
	return &account{team: team, changed: make(chan struct{})}
}

// used returns what counts against the grant.
func (ac *account) used() int64 { return ac.allSpent() + ac.reserved + ac.given - ac.taken }

// allSpent returns what this and all earlier lives count as spent.
func (ac *account) allSpent() int64 { return ac.earlier + ac.spent }

// limit returns the bound on used; excess is what all grants together exceed the total by.
func (ac *account) limit(now time.Duration, excess int64) int64 {
	limit := ac.earlier
	if ac.held != nil {
		limit = ac.held.row.limit(now - ac.held.builtAt)
	}
	for _, te := range ac.pending {
		limit = min(limit, te.row.limit(now-te.builtAt))
	}
	return min(limit, ac.granted()-excess)
}

// granted returns the smallest grant that may be in force; without a row of this life it is what earlier lives have used, which leaves only
// what peers gave to this life.
func (ac *account) granted() int64 {
	granted := ac.earlier
	if ac.held != nil {
		granted = ac.held.row.Granted
	}
	for _, te := range ac.pending {
		granted = min(granted, te.row.Granted)
	}
	return granted
}

func (ac *account) noteSize(tokens int64) {
	ac.typical += (tokens - ac.typical) / typicalWeight
}

func (ac *account) notify() {
	close(ac.changed)
	ac.changed = make(chan struct{})
}
