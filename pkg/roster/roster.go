package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recoveryGrace is how long an expired registration may take to be renewed after the store has recovered; the platform
	// gives endpoints two seconds.
	recoveryGrace = 2 * time.Second
	// minOutage is the shortest outage of the store that makes registrations of running endpoints expire: two missed heartbeats.
	minOutage = 2500 * time.Millisecond
)

// Endpoint is the registration of one process of an endpoint; it is immutable.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving (draining) endpoints finish the requests in flight and get no new ones.
	Leaving bool
	// StartedMillis is the start time by the endpoint's own clock; it distinguishes processes with the same ID.
	StartedMillis int64
	// Sequence counts the registrations of one process; an older one may arrive late.
	Sequence int64
}

// version orders the registrations of an ID, also across processes.
type version struct {
	started  int64
	sequence int64
}

// newerThan reports whether the registration is older than this version.
func (ve version) newerThan(en *Endpoint) bool {
	return en.StartedMillis < ve.started || (en.StartedMillis == ve.started && en.Sequence < ve.sequence)
}

// matches reports whether the registration has this version.
func (ve version) matches(en *Endpoint) bool {
	return en.StartedMillis == ve.started && en.Sequence == ve.sequence
}

// samePlacement reports whether two registrations are equal for placement: they differ in Sequence at most.
func (en Endpoint) samePlacement(other Endpoint) bool {
	en.Sequence = other.Sequence
	return en == other
}

// SameProcess reports whether both registrations are of the same process.
func (en Endpoint) SameProcess(other Endpoint) bool {
	return en.ID == other.ID && en.StartedMillis == other.StartedMillis && en.Address == other.Address
}

// Change is a registration read from the store, or its end.
type Change struct {
	ID string
	// Endpoint is nil if the registration ended or names no usable endpoint.
	Endpoint *Endpoint
}

// Roster holds the endpoints of all services; Usable, UsableCount and Age take no lock.
type Roster struct {
	mu   sync.Mutex
	byID map[string]*Endpoint
	// missing holds the IDs whose registration ended while expiry was uncertain.
	missing map[string]bool
	// latest is kept after an endpoint is removed, so that an old registration that arrives late does not add it again.
	latest map[string]version
	// recoveredAt is when the store last became reachable after an outage, or zero.
	recoveredAt time.Duration
	unreachable bool
	// lastRead is when the store was last read.
	lastRead atomic.Int64
	services atomic.Pointer[map[string][]*Endpoint]
}

// New returns a roster without endpoints.
func New() *Roster {
	ro := &Roster{byID: map[string]*Endpoint{}, missing: map[string]bool{}, latest: map[string]version{}}
	ro.publish()
	return ro
}

// Usable returns the endpoints of a service that may get new requests, in ascending order of their IDs.
func (ro *Roster) Usable(service string) []*Endpoint {
	return (*ro.services.Load())[service]
}

// UsableCount returns the number of endpoints of all services that may get new requests.
func (ro *Roster) UsableCount() int {
	sum := 0
	for _, list := range *ro.services.Load() {
		sum += len(list)
	}
	return sum
}

// Age returns the time since the store was last read.
func (ro *Roster) Age(now time.Duration) time.Duration {
	return now - time.Duration(ro.lastRead.Load())
}

// ReadFailed records that the store could not be read.
func (ro *Roster) ReadFailed() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.unreachable = true
}

// ReadSucceeded records that the store was read, and removes the endpoints that are still missing after the recovery grace.
func (ro *Roster) ReadSucceeded(now time.Duration) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.unreachable && ro.readStale(now) {
		ro.recoveredAt = now
	}
	ro.unreachable = false
	ro.lastRead.Store(int64(now))
	if ro.expiryUncertain(now) || len(ro.missing) == 0 {
		return
	}
	for id := range ro.missing {
		delete(ro.byID, id)
	}
	clear(ro.missing)
	ro.publish()
}

// Apply applies changes in the order of the store and returns those that are relevant to placement.
func (ro *Roster) Apply(now time.Duration, list []Change) []Change {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var relevant []Change
	for _, ch := range list {
		if ro.applyOne(now, ch) {
			relevant = append(relevant, ch)
		}
	}
	if len(relevant) > 0 {
		ro.publish()
	}
	return relevant
}

// Replace applies the complete content of the store; registrations that are not in it have ended.
func (ro *Roster) Replace(now time.Duration, list []Change) []Change {
	ro.mu.Lock()
	known := slices.Sorted(maps.Keys(ro.byID))
	ro.mu.Unlock()
	present := make(map[string]bool, len(list))
	for _, ch := range list {
		present[ch.ID] = true
	}
	for _, id := range known {
		if !present[id] {
			list = append(list, Change{ID: id})
		}
	}
	return ro.Apply(now, list)
}

func (ro *Roster) applyOne(now time.Duration, ch Change) bool {
	old, known := ro.byID[ch.ID]
	if ch.Endpoint != nil {
		last, ok := ro.latest[ch.ID]
		if ok && (last.newerThan(ch.Endpoint) || (!known && last.matches(ch.Endpoint))) {
			return false
		}
		ro.latest[ch.ID] = version{started: ch.Endpoint.StartedMillis, sequence: ch.Endpoint.Sequence}
		delete(ro.missing, ch.ID)
		ro.byID[ch.ID] = ch.Endpoint
		return !known || !ch.Endpoint.samePlacement(*old)
	}
	if !known {
		return false
	}
	if ro.expiryUncertain(now) {
		ro.missing[ch.ID] = true
		return false
	}
	delete(ro.byID, ch.ID)
	return true
}

// expiryUncertain reports whether a registration may have expired only because the store was unreachable.
func (ro *Roster) expiryUncertain(now time.Duration) bool {
	return (ro.unreachable && ro.readStale(now)) || (ro.recoveredAt > 0 && now-ro.recoveredAt < recoveryGrace)
}

// readStale reports whether the last read is so old that registrations of running endpoints may have expired since.
func (ro *Roster) readStale(now time.Duration) bool { return ro.Age(now) >= minOutage }

// HasMissing reports whether expired registrations are kept because they may be renewed.
func (ro *Roster) HasMissing() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return len(ro.missing) > 0
}

func (ro *Roster) publish() {
	services := map[string][]*Endpoint{}
	for _, en := range ro.byID {
		if !en.Leaving {
			services[en.Service] = append(services[en.Service], en)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(aa, bb *Endpoint) int { return strings.Compare(aa.ID, bb.ID) })
	}
	ro.services.Store(&services)
}

// Contains reports whether an endpoint is registered, leaving or not.
func (ro *Roster) Contains(id string) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	_, ok := ro.byID[id]
	return ok
}
