package turn

import "time"

const (
	// slotWidth is the length of a slot. Within it callers are spread evenly.
	slotWidth = 50 * time.Millisecond
	// slotCount is the number of slots of a lane, and maxDelay the delay of the last one that is used. A third of the longest deadlines, 12 s, is shorter.
	slotCount = 128
	maxDelay  = (slotCount - 2) * slotWidth
	// rateWindow is the time over which completions are counted, and minRateTime the minimum time by which a count is divided.
	rateWindow  = 2 * time.Second
	minRateTime = 500 * time.Millisecond
	// minRate is the assumed minimum of completions a second. An instance that has just started, or has few requests of its own, sends its callers to others.
	minRate = 4
	// claimTime is the time after its last refusal for which a team counts among those that share a lane.
	claimTime = 2 * time.Second
)

// lane is the schedule of the refused callers that wait for the same capacity.
type lane struct {
	completions counter
	// used is the part of the capacity of each slot that callers were told to take, in requests.
	used ring[float64]
	// claims holds the teams that were refused lately.
	claims map[string]*claim
	// refusedAt is the time of the last refusal, or of the creation of the lane.
	refusedAt time.Duration
	// queue holds the requests that wait here instead of coming back; it is used in lanes without a team.
	queue queue
}

// claim holds the slots of a team in a lane.
type claim struct {
	refusedAt time.Duration
	// dues are the times of the team's slots, in the order of the refusals.
	dues []time.Duration
}

func newLane(now time.Duration) *lane {
	return &lane{completions: counter{since: now}, claims: map[string]*claim{}, refusedAt: now}
}

// reserve takes one request's worth of capacity from the first slot with room on, and returns the time at which the caller comes back, from earliest to latest.
// It returns false if no slot before the time latest has room.
func (la *lane) reserve(now, earliest, latest time.Duration, ca Caller) (time.Duration, bool) {
	la.refusedAt = now
	// perSecond is the number of requests a second for which this caller may reserve slots, and room that of one slot.
	perSecond := la.completions.rate(now) * returnShare * rankShares[min(max(0, ca.Rank), len(rankShares)-1)]
	cl, teams := la.claim(now, ca.Team)
	// The fair share is that of one team more than are known, so that a further one finds room.
	if fair := perSecond * (latest - now).Seconds() / float64(teams+1); len(cl.dues) > 0 && float64(len(cl.dues)) >= fair {
		perSecond *= overShare
	}
	latest = min(latest, now+maxDelay)
	room := perSecond * slotWidth.Seconds()
	for slot := slotOf(earliest); slot <= slotOf(latest); slot++ {
		if *la.used.at(slot) >= room {
			continue
		}
		la.fill(slot, slotOf(now)+slotCount, room)
		due := time.Duration(slot)*slotWidth + time.Duration(fraction(ca.Content)*float64(slotWidth))
		due = min(latest, max(earliest, due))
		cl.dues = append(cl.dues, due)
		return due, true
	}
	return 0, false
}

// fill takes one request's worth of capacity from the slots from first to end. Where few requests complete, a slot has room for
// less than one, so that a return takes several slots.
func (la *lane) fill(first, end int64, room float64) {
	for need, slot := 1.0, first; need > 0 && slot < end; slot++ {
		used := la.used.at(slot)
		if part := min(need, room-*used); part > 0 {
			*used += part
			need -= part
		}
	}
}

// claim returns the claim of a team that is refused now, and the number of teams that were refused lately.
func (la *lane) claim(now time.Duration, team string) (*claim, int) {
	cl, ok := la.claims[team]
	if !ok {
		cl = &claim{}
		la.claims[team] = cl
	}
	cl.refusedAt = now
	kept := cl.dues[:0]
	for _, due := range cl.dues {
		if due > now {
			kept = append(kept, due)
		}
	}
	cl.dues = kept
	for name, other := range la.claims {
		if other.refusedAt+claimTime < now {
			delete(la.claims, name)
		}
	}
	return cl, len(la.claims)
}

// counter counts completions in the last rateWindow.
type counter struct {
	since time.Duration
	slots ring[int]
}

func (co *counter) add(now time.Duration) { *co.slots.at(slotOf(now))++ }

// rate returns the number of completions a second, at least minRate.
func (co *counter) rate(now time.Duration) float64 {
	sum := 0
	for slot := slotOf(now - rateWindow); slot < slotOf(now); slot++ {
		sum += co.slots.get(slot)
	}
	return max(minRate, float64(sum)/min(rateWindow, max(minRateTime, now-co.since)).Seconds())
}

func slotOf(at time.Duration) int64 { return int64(max(0, at) / slotWidth) }

// ring holds a value for each of slotCount consecutive slots. A slot's value is zero until it is set.
type ring[T any] struct {
	values [slotCount]T
	slots  [slotCount]int64
}

// at returns the value of a slot for a change; it forgets that of the slot slotCount before.
func (ri *ring[T]) at(slot int64) *T {
	ix := slot % slotCount
	if ri.slots[ix] != slot {
		var zero T
		ri.values[ix], ri.slots[ix] = zero, slot
	}
	return &ri.values[ix]
}

func (ri *ring[T]) get(slot int64) T {
	if ix := slot % slotCount; ri.slots[ix] == slot {
		return ri.values[ix]
	}
	var zero T
	return zero
}
