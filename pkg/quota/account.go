package quota

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// meanSizeSamples sets the moving average of reservation sizes: the newest reservation has the weight 1/meanSizeSamples.
const meanSizeSamples = 16

// builtRow is a Row (the topic's record of a team at an instance) that this incarnation built, with the time when it was built.
type builtRow struct {
	row     Row
	builtAt time.Duration
	// era is the era of the store in which the topic was read for the row.
	era keyed.Era
}

// account holds what this instance was granted, has reserved and has spent for one team; all amounts are in tokens.
type account struct {
	team string
	// inForce is the newest row of this incarnation in the topic. Until there is one, only tokens received from peers can be spent.
	inForce *builtRow
	// pending are the rows whose append is in flight, or failed with an unknown outcome.
	pending []builtRow
	// spent is the number of tokens that this incarnation has spent.
	spent int64
	// inheritedUse is the part of the grant that earlier incarnations are assumed to have used; it is valid once inherited is true. It is
	// negative if they received more from peers than they spent.
	inheritedUse int64
	inherited    bool
	// inheritedNetLent is the part of inheritedUse that earlier incarnations lent, less what they received. It is negative if they received more.
	inheritedNetLent int64
	// poolReads are reads of the topic, the oldest first: the newest of which every copy of the store has the records, and those after it.
	poolReads []poolRead
	// loaded is what the first snapshot said. Rows that take over others later do not count.
	loaded poolRead
	// reserved is the sum of the reservations of requests in flight.
	reserved int64
	// writtenOff is the part of totalSpent that counts as spent although it is unknown whether earlier incarnations spent it.
	writtenOff int64
	// waiting is the sum of the tokens that waiting requests need.
	waiting int64
	// waiters is the number of calls of AddWaiter less those of RemoveWaiter.
	waiters int
	// demand measures the rate of tokens spent here or lent to peers, ownDemand only the rate of those spent here.
	demand    meter
	ownDemand meter
	// meanSize is the moving average of the sizes of reservations.
	meanSize int64
	// needSignaledAt is the time at which AddWaiter last signaled that a row should be appended soon.
	needSignaledAt time.Duration
	// lent and received are the tokens sent to peers and received from peers; such transfers have no row in the topic.
	lent     int64
	received int64
	// reportedAt is the time of the last report of spending (see TakeSpendingReports).
	reportedAt time.Duration
	// use measures the reservations here and controls the loans ahead.
	use usage
	// changed is closed and replaced to signal waiting requests to try again.
	changed chan struct{}
}

func newAccount(team string) *account {
	return &account{team: team, use: newUsage(), changed: make(chan struct{})}
}

// used returns the tokens that count against the grant: those spent, reserved or lent, less those received from peers.
func (ac *account) used() int64 { return ac.totalSpent() + ac.reserved + ac.netLent() }

// totalSpent returns the tokens that count as spent by this and all earlier incarnations.
func (ac *account) totalSpent() int64 { return ac.inheritedUse - ac.inheritedNetLent + ac.spent }

// netLent returns the tokens that this and all earlier incarnations have lent, less those that they received.
func (ac *account) netLent() int64 { return ac.inheritedNetLent + ac.lent - ac.received }

// limit returns the maximum that used() can reach now. It is the minimum of granted() - excess and the limits of the row in force and of
// all pending rows, since any of these may have taken effect. The parameter excess is how much the sum of the team's grants exceeds its
// total.
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

// granted returns the smallest grant of the rows that may be in force. Before the first row of this incarnation it returns inheritedUse,
// so that only tokens received from peers can be spent.
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

// putInForce puts a copy of the row in force. A pointer into pending would change when rows are removed there.
func (ac *account) putInForce(br builtRow) { ac.inForce = &br }

func (ac *account) recordSize(tokens int64) {
	ac.meanSize += (tokens - ac.meanSize) / meanSizeSamples
}

// notify lets waiting requests try again. Most requests end while none waits.
func (ac *account) notify() {
	if ac.waiters == 0 {
		return
	}
	close(ac.changed)
	ac.changed = make(chan struct{})
}
