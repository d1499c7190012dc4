package quota

import "time"

// meanSizeSamples is the inverse of the weight of the newest reservation in the moving average of reservation sizes.
const meanSizeSamples = 16

// builtRow is a row built by this incarnation, with the time when it was built.
type builtRow struct {
	row     Row
	builtAt time.Duration
}

// account holds what this instance was granted, has reserved and has spent for one team; all amounts are in tokens.
type account struct {
	team string
	// inForce is the row of this incarnation in the topic; until there is one, only tokens received from peers may be spent.
	inForce *builtRow
	// pending are rows whose append is in flight, or has failed without it being known whether they were appended.
	pending []builtRow
	// spent is what this incarnation has spent.
	spent int64
	// inheritedUse is what earlier incarnations are assumed to have used of the grant, set once inherited is true. It is negative if they
	// received more from peers than they spent.
	inheritedUse int64
	inherited    bool
	reserved     int64
	// writtenOff is the part of inheritedUse that the earlier incarnations may not have spent.
	writtenOff int64
	// waiting is the sum of the tokens that waiting requests need.
	waiting int64
	// demand measures what is spent here or lent to peers, ownDemand only what is spent here.
	demand    meter
	ownDemand meter
	// meanSize is the moving average of the sizes of reservations.
	meanSize int64
	// needSignalledAt is when a waiting request last asked for a new row.
	needSignalledAt time.Duration
	// lent and received are what was sent to peers and came from peers, without a row in the topic.
	lent     int64
	received int64
	// changed is closed and replaced whenever waiting requests should try again.
	changed chan struct{}
}

func newAccount(team string) *account {
	return &account{team: team, changed: make(chan struct{})}
}

// used returns the tokens that count against the grant.
func (ac *account) used() int64 { return ac.totalSpent() + ac.reserved + ac.lent - ac.received }

// totalSpent returns what counts as spent by this and all earlier incarnations.
func (ac *account) totalSpent() int64 { return ac.inheritedUse + ac.spent }

// limit returns the upper bound of used; excess is the amount by which all grants of the team exceed its total.
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

// granted returns the smallest grant that may be in force. Before the first row of this incarnation it is what earlier incarnations have
// used, so that only tokens received from peers can be spent.
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
