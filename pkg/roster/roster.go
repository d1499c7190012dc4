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
	// recoveryGrace is how long after the store's return a lapsed registration may take to come back: the platform's two seconds.
	recoveryGrace = 2 * time.Second
	// minOutage is how long the store must have been out of reach for registrations to lapse wrongly: two missed heartbeats.
	minOutage = 2500 * time.Millisecond
)

// Endpoint is one registered life of an endpoint; it never changes.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving endpoints finish what they run and get nothing new.
	Leaving bool
	// StartedMillis tells lives of the same ID apart, in milliseconds of the endpoint's own clock.
	StartedMillis int64
	// Sequence counts the registrations of one life; an older one may arrive late.
	Sequence int64
}

// heartbeat is the newest registration known of an ID.
type heartbeat struct {
	started  int64
	sequence int64
}

// newerThan reports whether the registration was written before this heartbeat.
func (he heartbeat) newerThan(en *Endpoint) bool {
	return en.StartedMillis < he.started || (en.StartedMillis == he.started && en.Sequence < he.sequence)
}

// matches reports whether the registration is the very one of this heartbeat.
func (he heartbeat) matches(en *Endpoint) bool {
	return en.StartedMillis == he.started && en.Sequence == he.sequence
}

// samePlacement reports whether placement need not tell both apart.
func (en Endpoint) samePlacement(other Endpoint) bool {
	en.Sequence = other.Sequence
	return en == other
}

// SameProcess reports whether both are the same life of the same endpoint.
func (en Endpoint) SameProcess(other Endpoint) bool {
	return en.ID == other.ID && en.StartedMillis == other.StartedMillis && en.Address == other.Address
}

// Change is one fact read from the store: a registration, or its end.
type Change struct {
	ID string
	// Endpoint is nil where the registration ended, or where it names no usable endpoint.
	Endpoint *Endpoint
}

// Roster holds the endpoints of all services; its reads take no lock.
type Roster struct {
	mu      sync.Mutex
	byID    map[string]*Endpoint
	missing map[string]bool
	// latest outlives the endpoints, so that a registration that arrives late revives none.
	latest map[string]heartbeat
	// recoveredAt is when the store was last regained, or zero.
	recoveredAt time.Duration
	unreachable bool
	// lastRead is when the store was last read.
	lastRead atomic.Int64
	services atomic.Pointer[map[string][]*Endpoint]
}

// New returns a roster without endpoints.
func New() *Roster {
	ro := &Roster{byID: map[string]*Endpoint{}, missing: map[string]bool{}, latest: map[string]heartbeat{}}
	ro.publish()
	return ro
}

// Usable returns the endpoints of a service that may get work, in ascending order of their IDs.
func (ro *Roster) Usable(service string) []*Endpoint {
	return (*ro.services.Load())[service]
}

// UsableCount returns how many endpoints may get work.
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

// ReadFailed reports that the store could not be read.
func (ro *Roster) ReadFailed() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.unreachable = true
}

// ReadSucceeded reports that the store was read, and drops the registrations that are still missing some time after its return.
func (ro *Roster) ReadSucceeded(now time.Duration) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.unreachable && ro.outageLong(now) {
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

// Apply takes changes in the order of the store, and returns the changes that matter to placement.
func (ro *Roster) Apply(now time.Duration, list []Change) []Change {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var matter []Change
	for _, ch := range list {
		if ro.applyOne(now, ch) {
			matter = append(matter, ch)
		}
	}
	if len(matter) > 0 {
		ro.publish()
	}
	return matter
}

// Replace takes the whole content of the store; whatever is not in it has ended.
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
		ro.latest[ch.ID] = heartbeat{started: ch.Endpoint.StartedMillis, sequence: ch.Endpoint.Sequence}
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

// expiryUncertain reports whether a registration may have lapsed only because the store was away.
func (ro *Roster) expiryUncertain(now time.Duration) bool {
	return (ro.unreachable && ro.outageLong(now)) || (ro.recoveredAt > 0 && now-ro.recoveredAt < recoveryGrace)
}

// outageLong reports whether the last read is so old that registrations may have lapsed since only because the store was away.
func (ro *Roster) outageLong(now time.Duration) bool { return ro.Age(now) >= minOutage }

// HasMissing reports whether registrations are missing that may still come back.
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
