package turn

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minDelay is the minimum delay. A caller that comes back sooner finds the same requests in flight.
	minDelay = 200 * time.Millisecond
	// honoredShare gives the maximum delay: honoredShare * the time that the caller has left. Callers honor up to a third of what they have left when they
	// receive the refusal; the difference is a margin for its way.
	honoredShare = 0.3
	// returnShare is the part of the capacity that comes free which is given to returning callers. The rest is for new arrivals: without it they would all be
	// refused once, and each would take twice as long.
	returnShare = 0.5
	// overShare is the part of a slot that a team with more than its fair share of the schedule may fill, so that callers of other teams find room.
	overShare = 0.5
	// lateSpread is the part of the maximum delay over which the callers are spread that find no free slot or should come back later than they would.
	lateSpread = 0.25
	// maxRepeats bounds the slots for requests of the same content. Some requests of different callers are equal; more of them are taken for repetitions by
	// one caller, which must not push others out of the schedule.
	maxRepeats = 4
	// maxIdleLanes is the number of lanes from which those are removed that had no refusal for maxIdle.
	maxIdleLanes = 64
	maxIdle      = 10 * time.Second
)

// rankShares bounds, by rank, the part of a slot that callers of this rank and the less urgent ones fill, so that more urgent callers find room in early slots.
var rankShares = [...]float64{1, 0.85, 0.7}

// Caller is a caller that is refused.
type Caller struct {
	// Service is the service for which the request is.
	Service string
	// Team is the team of the caller.
	Team string
	// Tokens reports whether tokens of the team were missing, and not capacity of the service.
	Tokens bool
	// Content identifies the request, also when it comes back.
	Content uint64
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// TimeLeft is the time that the caller has left.
	TimeLeft time.Duration
	// Soonest is the delay before which a return is probably useless.
	Soonest time.Duration
	// Returned reports whether the caller has come back already. Callers come back once, so that it gets no slot.
	Returned bool
}

// Slot tells a refused caller when to come back.
type Slot struct {
	// Delay is the time until then.
	Delay time.Duration
	// Reserved reports whether the schedule had a free slot at that time, so that the caller will be recognized.
	Reserved bool
}

// Schedule holds the slots of the refused callers of one instance; it is safe for concurrent use.
type Schedule struct {
	mu    sync.Mutex
	lanes map[laneKey]*lane
	// returns holds the callers that are expected, here or at another instance.
	returns expected
	// count is the number of entries of returns, so that arrivals need no lock while no caller is expected.
	count atomic.Int64
}

// laneKey identifies a lane. Callers that miss tokens have a lane for each team and service; the others have one for each service, without a team.
type laneKey struct {
	service string
	team    string
}

// New returns an empty schedule.
func New() *Schedule {
	return &Schedule{lanes: map[laneKey]*lane{}, returns: expected{dues: map[uint64][]time.Duration{}}}
}

// Complete records that an endpoint has finished a request of a team, so that capacity of the service came free.
func (sc *Schedule) Complete(now time.Duration, service, team string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.lane(now, laneKey{service: service}).completions.add(now)
	if la, ok := sc.lanes[laneKey{service: service, team: team}]; ok && team != "" {
		la.completions.add(now)
	}
}

// Refuse returns the slot of a refused caller.
func (sc *Schedule) Refuse(now time.Duration, ca Caller) Slot {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	longest := time.Duration(honoredShare * float64(max(0, ca.TimeLeft)))
	spread := time.Duration(lateSpread * float64(longest))
	shortest := max(min(minDelay, longest), min(ca.Soonest, longest-spread))
	// withoutSlot is the delay of a caller for which no slot is reserved.
	withoutSlot := max(shortest, longest-time.Duration(fraction(ca.Content)*float64(spread)))
	if ca.Returned {
		return Slot{Delay: withoutSlot}
	}
	dues := sc.returns.of(now, ca.Content)
	if len(dues) >= maxRepeats {
		// One of these slots is probably that of this caller: it is told the first of them.
		return Slot{Delay: min(longest, max(shortest, dues[0]-now))}
	}
	key := laneKey{service: ca.Service}
	if ca.Tokens {
		key.team = ca.Team
	}
	due, ok := sc.lane(now, key).reserve(now, now+shortest, now+longest, ca)
	if !ok || !sc.returns.add(now, ca.Content, due) {
		return Slot{Delay: withoutSlot}
	}
	sc.count.Store(int64(len(sc.returns.dues)))
	return Slot{Delay: due - now, Reserved: true}
}

// Expect records that another instance has refused a caller that comes back after the given delay.
func (sc *Schedule) Expect(now time.Duration, content uint64, delay time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if delay > maxDelay || len(sc.returns.of(now, content)) >= maxRepeats {
		return
	}
	sc.returns.add(now, content, now+max(0, delay))
	sc.count.Store(int64(len(sc.returns.dues)))
}

// Arrive reports whether a request is that of a caller that was told to come back now. A caller that comes back earlier is treated as a new one, and is still
// expected at its time.
func (sc *Schedule) Arrive(now time.Duration, content uint64) bool {
	if sc.count.Load() == 0 {
		return false
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	ok := sc.returns.take(now, content)
	sc.count.Store(int64(len(sc.returns.dues)))
	return ok
}

// Expected returns the number of different requests that are expected to come back, here or at another instance.
func (sc *Schedule) Expected() int { return int(sc.count.Load()) }

func (sc *Schedule) lane(now time.Duration, key laneKey) *lane {
	la, ok := sc.lanes[key]
	if ok {
		return la
	}
	if len(sc.lanes) >= maxIdleLanes {
		for other, idle := range sc.lanes {
			if other.team != "" && idle.refusedAt+maxIdle < now {
				delete(sc.lanes, other)
			}
		}
	}
	la = newLane(now)
	sc.lanes[key] = la
	return la
}

// fraction returns a number from 0 to less than 1 that depends on the content alone.
func fraction(content uint64) float64 {
	hi, lo := bits.Mul64(content^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return float64((hi^lo)>>11) / (1 << 53)
}
