package ledger

import (
	"slices"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// CrashesToQuarantine is the number of endpoints that must have crashed on requests with the same content hash before this hash
// is quarantined.
const CrashesToQuarantine = 2

// maxSuspects limits the hashes of suspected content that the state keeps; beyond it the oldest are evicted.
const maxSuspects = 10_000

// suspectTable holds, by content hash, the endpoints that crashed while running requests with this hash; order lists the hashes,
// oldest first.
type suspectTable struct {
	endpoints map[string][]string
	order     []string
}

func newSuspectTable() suspectTable { return suspectTable{endpoints: map[string][]string{}} }

// Quarantined reports whether requests with this content hash are rejected.
func (st *State) Quarantined(contentHash string) bool {
	return len(st.suspects.endpoints[contentHash]) >= CrashesToQuarantine
}

// CrashedEndpoints returns the endpoints that crashed while running requests with this content hash.
func (st *State) CrashedEndpoints(contentHash string) []string {
	return slices.Clone(st.suspects.endpoints[contentHash])
}

// SuspectHashes returns all content hashes on which an endpoint crashed, the oldest first.
func (st *State) SuspectHashes() []string { return slices.Clone(st.suspects.order) }

// QuarantinedHashes returns all quarantined content hashes in ascending order.
func (st *State) QuarantinedHashes() []string {
	var list []string
	for hash := range st.suspects.endpoints {
		if st.Quarantined(hash) {
			list = append(list, hash)
		}
	}
	slices.Sort(list)
	return list
}

func (st *State) applySuspect(su record.Suspect) {
	tb := &st.suspects
	on, ok := tb.endpoints[su.ContentHash]
	if slices.Contains(on, su.Endpoint) {
		return
	}
	if !ok {
		tb.order = append(tb.order, su.ContentHash)
		tb.evict()
	}
	tb.endpoints[su.ContentHash] = append(on, su.Endpoint)
	st.emit(Event{Kind: SuspicionChanged, Key: su.ContentHash})
	if len(on)+1 == CrashesToQuarantine {
		st.emit(Event{Kind: QuarantineChanged, Key: su.ContentHash})
	}
}

// applyClearSuspect clears a suspected content hash; only an operator's ticket releases a quarantined one.
func (st *State) applyClearSuspect(cs record.ClearSuspect) {
	if st.Quarantined(cs.ContentHash) {
		return
	}
	st.suspects.remove(cs.ContentHash)
	st.emit(Event{Kind: SuspicionChanged, Key: cs.ContentHash})
}

func (st *State) releaseQuarantined(hash string) {
	if st.Quarantined(hash) {
		st.emit(Event{Kind: QuarantineChanged, Key: hash})
	}
	st.suspects.remove(hash)
}

func (tb *suspectTable) remove(hash string) {
	if _, ok := tb.endpoints[hash]; !ok {
		return
	}
	delete(tb.endpoints, hash)
	tb.order = slices.DeleteFunc(tb.order, func(other string) bool { return other == hash })
}

func (tb *suspectTable) evict() {
	for len(tb.order) > maxSuspects {
		delete(tb.endpoints, tb.order[0])
		tb.order = tb.order[1:]
	}
}
