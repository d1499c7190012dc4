package roster

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// recoveryGrace is the time after a recovery of the store for which endpoints with expired registrations are kept, so that they can
	// register again. The platform gives them two seconds.
	recoveryGrace = 2 * time.Second
	// minOutage is the minimum length of an outage of the store, counted from the last successful read. In a shorter one, an endpoint misses
	// fewer than two heartbeats, and its registration does not expire.
	minOutage = 2500 * time.Millisecond
	// maxBuildBytes is the length up to which a version is passed on to other instances as it is.
	maxBuildBytes = 64
)

// Endpoint is the registration of one process of an endpoint; it is immutable.
type Endpoint struct {
	// ID identifies the endpoint; a restarted process keeps it.
	ID string
	// Service is the name of the service to which the endpoint belongs.
	Service string
	// Address is the host and port at which the endpoint accepts requests.
	Address string
	// Domain is the failure domain of the endpoint.
	Domain string
	// Version is the version of the endpoint's software; empty if the registration does not state it. Versions have no order.
	Version string
	// Slots is the number of requests that the endpoint runs at once; zero if the registration does not state it.
	Slots int
	// Leaving is true if the endpoint drains: it finishes the requests in flight and gets no new ones.
	Leaving bool
	// StartedMillis is the start time of the process in Unix milliseconds, by the endpoint's clock; it distinguishes processes with the same
	// ID.
	StartedMillis int64
	// Sequence is the number of the registration within its process; an older registration may arrive after a newer one.
	Sequence int64
}

// version identifies one of the registrations with the same ID. Versions are ordered by the start of the process (see
// Endpoint.StartedMillis) and then by sequence.
type version struct {
	started  int64
	sequence int64
}

// newerThan reports whether the version is newer than the registration.
func (ve version) newerThan(en *Endpoint) bool {
	return en.StartedMillis < ve.started || (en.StartedMillis == ve.started && en.Sequence < ve.sequence)
}

// matches reports whether the version is that of the registration.
func (ve version) matches(en *Endpoint) bool {
	return en.StartedMillis == ve.started && en.Sequence == ve.sequence
}

// samePlacement reports whether two registrations are equal except for Sequence, which is irrelevant to placement.
func (en Endpoint) samePlacement(other Endpoint) bool {
	en.Sequence = other.Sequence
	return en == other
}

// SameProcess reports whether both registrations are of the same process.
func (en Endpoint) SameProcess(other Endpoint) bool {
	return en.ID == other.ID && en.StartedMillis == other.StartedMillis && en.Address == other.Address
}

// Process returns a name of the process, since a restarted one may keep the ID of the endpoint.
func (en Endpoint) Process() string { return en.ID + "@" + strconv.FormatInt(en.StartedMillis, 36) }

// Build identifies the software of the endpoint. Streams can go on at another endpoint of the same build. An endpoint that states no version shares
// its build with no other process.
func (en Endpoint) Build() string {
	switch {
	case en.Version == "":
		return "process " + en.Process()
	case len(en.Version) > maxBuildBytes:
		return "hash " + strconv.FormatUint(xxhash.Sum64String(en.Version), 16)
	default:
		return "version " + en.Version
	}
}

// Change is a registration, or the end of one, as read from the store.
type Change struct {
	// ID is the ID of the endpoint.
	ID string
	// Endpoint is the new registration, or nil if the registration ended or does not describe a usable endpoint.
	Endpoint *Endpoint
	// Kept is set by Apply if the registration ended and the endpoint is kept for a time, because it may still renew its registration.
	Kept bool
}

// Removal is the removal of an endpoint that was kept after its registration had ended.
type Removal struct {
	// ID is the ID of the endpoint.
	ID string
	// Kept is the time for which the endpoint was kept.
	Kept time.Duration
}

// Roster holds the endpoints of all services; Usable, UsableCount and Age take no lock.
type Roster struct {
	mu sync.Mutex
	// byID holds the registered endpoints, and those that are missing, by ID.
	byID map[string]*Endpoint
	// missing holds the endpoints that are kept although their registration ended, by ID, and the time at which that was read. The registration
	// may have expired only because heartbeats did not reach the store during an outage.
	missing map[string]time.Duration
	// latest holds the newest version by ID, also of removed endpoints. An older registration that arrives late then does not add the endpoint
	// again.
	latest map[string]version
	// recoveredAt is the time of the first successful read after the last outage of at least minOutage, or after the store last came back from an
	// older copy, zero if there was neither.
	recoveredAt time.Duration
	// unreachable is true if the last read failed.
	unreachable bool
	// lastRead is the time of the last successful read.
	lastRead atomic.Int64
	// services holds the endpoints that accept new requests, by service.
	services atomic.Pointer[map[string][]*Endpoint]
	// left holds the processes that have said themselves that they leave, whatever their registrations state.
	left map[string]bool
	// builds holds the builds of the endpoints of each service.
	builds atomic.Pointer[map[string]Builds]
}

// New returns a roster without endpoints.
func New() *Roster {
	ro := &Roster{byID: map[string]*Endpoint{}, missing: map[string]time.Duration{}, latest: map[string]version{}, left: map[string]bool{}}
	ro.publish()
	return ro
}

// Usable returns the endpoints of a service that accept new requests, in ascending order of their IDs. The list must not be changed.
func (ro *Roster) Usable(service string) []*Endpoint {
	return (*ro.services.Load())[service]
}

// Endpoint returns the registration of an endpoint by its ID, also of one that is leaving or missing.
func (ro *Roster) Endpoint(id string) (*Endpoint, bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	en, ok := ro.byID[id]
	return en, ok
}

// All returns the endpoints of all services that accept new requests, in no particular order.
func (ro *Roster) All() []*Endpoint {
	var all []*Endpoint
	for _, list := range *ro.services.Load() {
		all = append(all, list...)
	}
	return all
}

// UsableCount returns the number of endpoints of all services that accept new requests.
func (ro *Roster) UsableCount() int {
	sum := 0
	for _, list := range *ro.services.Load() {
		sum += len(list)
	}
	return sum
}

// Age returns the time since the last successful read of the store.
func (ro *Roster) Age(now time.Duration) time.Duration {
	return now - time.Duration(ro.lastRead.Load())
}

// ReadFailed is called when the store could not be read.
func (ro *Roster) ReadFailed() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.unreachable = true
}

// ReadSucceeded is called when the store was read. It removes the endpoints whose registrations are missing, unless the store recovered from
// an outage within the last recoveryGrace, and returns those that it removed.
func (ro *Roster) ReadSucceeded(now time.Duration) []Removal {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.unreachable && ro.readStale(now) {
		ro.recoveredAt = now
	}
	ro.unreachable = false
	ro.lastRead.Store(int64(now))
	if ro.expiryUncertain(now) || len(ro.missing) == 0 {
		return nil
	}
	var list []Removal
	for id, since := range ro.missing {
		delete(ro.byID, id)
		list = append(list, Removal{ID: id, Kept: now - since})
	}
	clear(ro.missing)
	ro.publish()
	return list
}

// StoreRestored is called when the store has come back from an older copy, before its content is passed to Replace. Endpoints that registered since
// that copy are then kept until they have had the time to register again.
func (ro *Roster) StoreRestored(now time.Duration) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.recoveredAt = now
}

// Apply applies changes in the given order, which is the order in the store. It returns those that add, remove or change an endpoint, or after
// which an endpoint is missing; a mere renewal of a registration is not returned.
func (ro *Roster) Apply(now time.Duration, list []Change) []Change {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	var relevant []Change
	publish := false
	for _, ch := range list {
		switch ro.applyOne(now, ch) {
		case unchanged:
		case nowMissing:
			ch.Kept = true
			relevant = append(relevant, ch)
		case changed:
			publish = true
			relevant = append(relevant, ch)
		}
	}
	if publish {
		ro.publish()
	}
	return relevant
}

// Replace is like Apply for a list that is the complete content of the store: known registrations that are not in the list have ended.
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

// effect is what a change does to the endpoints.
type effect int

const (
	// unchanged leaves placement as it is.
	unchanged effect = iota
	// nowMissing keeps an endpoint whose registration ended.
	nowMissing
	// changed adds, removes or changes an endpoint.
	changed
)

// applyOne applies one change and returns its effect.
func (ro *Roster) applyOne(now time.Duration, ch Change) effect {
	old, known := ro.byID[ch.ID]
	if ch.Endpoint != nil {
		last, ok := ro.latest[ch.ID]
		if ok && (last.newerThan(ch.Endpoint) || (!known && last.matches(ch.Endpoint))) {
			return unchanged
		}
		ro.latest[ch.ID] = version{started: ch.Endpoint.StartedMillis, sequence: ch.Endpoint.Sequence}
		delete(ro.missing, ch.ID)
		if known && !ch.Endpoint.SameProcess(*old) {
			delete(ro.left, old.Process())
		}
		ro.byID[ch.ID] = ch.Endpoint
		if known && ch.Endpoint.samePlacement(*old) {
			return unchanged
		}
		return changed
	}
	if !known {
		return unchanged
	}
	if ro.expiryUncertain(now) {
		if _, ok := ro.missing[ch.ID]; ok {
			return unchanged
		}
		ro.missing[ch.ID] = now
		return nowMissing
	}
	delete(ro.byID, ch.ID)
	delete(ro.missing, ch.ID)
	return changed
}

// expiryUncertain reports whether a registration that ends now may have expired only because the store was unreachable.
func (ro *Roster) expiryUncertain(now time.Duration) bool {
	return (ro.unreachable && ro.readStale(now)) || ro.inGrace(now)
}

// inGrace reports whether the store recovered within the last recoveryGrace.
func (ro *Roster) inGrace(now time.Duration) bool {
	return ro.recoveredAt > 0 && now-ro.recoveredAt < recoveryGrace
}

// readStale reports whether the last read is so old that registrations of running endpoints may have expired since.
func (ro *Roster) readStale(now time.Duration) bool { return ro.Age(now) >= minOutage }

// publish makes the current endpoints visible to the methods that take no lock.
func (ro *Roster) publish() {
	services := map[string][]*Endpoint{}
	for _, en := range ro.byID {
		if !ro.leaving(en) {
			services[en.Service] = append(services[en.Service], en)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(aa, bb *Endpoint) int { return strings.Compare(aa.ID, bb.ID) })
	}
	ro.services.Store(&services)
	ro.publishBuilds()
}

// Contains reports whether the endpoint is registered or missing, also if it is leaving.
func (ro *Roster) Contains(id string) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	_, ok := ro.byID[id]
	return ok
}
