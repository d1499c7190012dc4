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
	// returnSpan is how long after the store's return a lapsed registration may take to come back: the platform's two seconds.
	returnSpan = 2 * time.Second
	// doubtSpan is how recently the store must have failed for a missing registration to be in doubt: three missed heartbeats are noticed with some delay.
	doubtSpan = 5 * time.Second
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
	// Started tells lives of the same ID apart, in milliseconds of the endpoint's own clock.
	Started int64
	// Sequence counts the registrations of one life; an older one may arrive late.
	Sequence int64
}

// heartbeat is the newest registration known of an ID.
type heartbeat struct {
	started  int64
	sequence int64
}

func (he heartbeat) older(en *Endpoint) bool {
	return he.started < en.Started || (he.started == en.Started && he.sequence < en.Sequence)
}

// alike reports whether placement need not tell both apart.
func (en Endpoint) alike(other Endpoint) bool {
	en.Sequence = other.Sequence
	return en == other
}

// Same reports whether both are the same life of the same endpoint.
func (en Endpoint) Same(other Endpoint) bool {
	return en.ID == other.ID && en.Started == other.Started && en.Address == other.Address
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
	missing map[string]time.Duration
	// seen outlives the endpoints, so that a registration that arrives late revives none.
	seen     map[string]heartbeat
	failedAt time.Duration
	failing  bool
	services atomic.Pointer[map[string][]*Endpoint]
}

// New returns a roster without endpoints.
func New() *Roster {
	ro := &Roster{byID: map[string]*Endpoint{}, missing: map[string]time.Duration{}, seen: map[string]heartbeat{}}
	ro.publish()
	return ro
}

// Usable returns the endpoints of a service that may get work, in ascending order of their IDs.
func (ro *Roster) Usable(service string) []*Endpoint {
	return (*ro.services.Load())[service]
}

// Count returns how many endpoints may get work.
func (ro *Roster) Count() int {
	sum := 0
	for _, list := range *ro.services.Load() {
		sum += len(list)
	}
	return sum
}

// Failed reports that the store could not be read.
func (ro *Roster) Failed(now time.Duration) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.failing = true
	ro.failedAt = now
}

// Reached reports that the store was read, and drops the registrations that have been missing for too long.
func (ro *Roster) Reached(now time.Duration) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.failing {
		ro.failing = false
		ro.failedAt = now
		for id := range ro.missing {
			ro.missing[id] = now
		}
	}
	dropped := false
	for id, since := range ro.missing {
		if now-since >= returnSpan {
			delete(ro.missing, id)
			delete(ro.byID, id)
			dropped = true
		}
	}
	if dropped {
		ro.publish()
	}
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
		if last, ok := ro.seen[ch.ID]; ok && !last.older(ch.Endpoint) {
			return false
		}
		ro.seen[ch.ID] = heartbeat{started: ch.Endpoint.Started, sequence: ch.Endpoint.Sequence}
		delete(ro.missing, ch.ID)
		ro.byID[ch.ID] = ch.Endpoint
		return !known || !ch.Endpoint.alike(*old)
	}
	if !known {
		return false
	}
	if ro.inDoubt(now) {
		if _, ok := ro.missing[ch.ID]; !ok {
			ro.missing[ch.ID] = now
		}
		return false
	}
	delete(ro.byID, ch.ID)
	return true
}

// inDoubt reports whether a registration may have lapsed only because the store was away.
func (ro *Roster) inDoubt(now time.Duration) bool {
	return ro.failing || (ro.failedAt > 0 && now-ro.failedAt < doubtSpan)
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

// Knows reports whether an endpoint is registered, leaving or not.
func (ro *Roster) Knows(id string) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	_, ok := ro.byID[id]
	return ok
}
