package quota

import "time"

// meanSizeSamples is the inverse of the weight of the newest reservation in the moving average.
const meanSizeSamples = 16

// builtRow is a row of this life that the topic holds or may come to hold.
type builtRow struct {
	row     Row
	builtAt time.Duration
}

// account is what this instance spends for one team; all amounts are in tokens.
type account struct {
	team string
	// inForce is the row in the topic, written by this life; without it nothing may be spent.
	inForce *builtRow
	// pending are rows whose append got no clear answer, or is under way.
	pending []builtRow
	// spent counts what this life has spent.
	spent int64
	// inheritedUse is what inheritedUse lives have used of the grant, if inherited; it is below zero where they took more from peers than they spent.
	inheritedUse int64
	inherited    bool
	reserved     int64
	// writtenOff is the part of earlier that those lives may not have spent.
	writtenOff int64
	waiting    int64
	// demand is what is spent here and given to peers, own what is spent here.
	demand    meter
	ownDemand meter
	// meanSize is the moving average of reservations.
	meanSize int64
	// needSignalledAt is when a lack of grant was last signalled.
	needSignalledAt time.Duration
	// lent and taken were moved to and from peers without the topic.
	lent     int64
	received int64
	changed  chan struct{}
}

func newAccount(team string) *account {
	return &account{team: team, changed: make(chan struct{})}
}

// used returns what counts against the grant.
func (ac *account) used() int64 { return ac.totalSpent() + ac.reserved + ac.lent - ac.received }

// totalSpent returns what this and all earlier lives count as spent.
func (ac *account) totalSpent() int64 { return ac.inheritedUse + ac.spent }

// limit returns the bound on used; excess is what all grants together exceed the total by.
func (ac *account) limit(now time.Duration, excess int64) int64 {
	limit := ac.inheritedUse
	if ac.inForce != nil {
		limit = ac.inForce.row.limit(now - ac.inForce.builtAt)
	}
	for _, br := range ac.pending {
		limit = min(limit, br.row.limit(now-br.builtAt))
	}
	return min(limit, ac.granted()-excess)
}

// granted returns the smallest grant that may be in force; without a row of this life it is what earlier lives have used, which leaves only
// what peers gave to this life.
func (ac *account) granted() int64 {
	granted := ac.inheritedUse
	if ac.inForce != nil {
		granted = ac.inForce.row.Granted
	}
	for _, br := range ac.pending {
		granted = min(granted, br.row.Granted)
	}
	return granted
}

func (ac *account) recordSize(tokens int64) {
	ac.meanSize += (tokens - ac.meanSize) / meanSizeSamples
}

func (ac *account) notify() {
	close(ac.changed)
	ac.changed = make(chan struct{})
}
