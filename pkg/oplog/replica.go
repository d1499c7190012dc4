package oplog

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/ledger"
)

// maxRecentBytes limits the size of the recently applied entries that are kept in memory for peers.
const maxRecentBytes = 8 << 20

// ErrGap is returned if entries between the last applied one and the page are missing.
var ErrGap = eris.New("entries between the last applied one and the page are missing")

// Listener is notified of state changes; it is called with the replica locked and must not block.
type Listener interface {
	// EntryApplied is called after each applied entry, with the events that the entry caused.
	EntryApplied(st *ledger.State, events []ledger.Event)
	// StateReplaced is called when the whole state was replaced, and with the current state when the listener is added.
	StateReplaced(st *ledger.State)
}

// Replica is this process's copy of the ledger state; it is safe for concurrent use.
type Replica struct {
	mu        sync.RWMutex
	state     *ledger.State
	listeners []Listener
	// recent are the last applied entries, from firstRecent on; recentBytes is their total size.
	recent      [][]byte
	firstRecent int64
	recentBytes int
}

// NewReplica returns a replica that has applied no entry.
func NewReplica() *Replica {
	return &Replica{state: ledger.NewState()}
}

// AddListener adds a listener and calls its StateReplaced with the current state. The listener gets no events of entries
// that were applied before.
func (re *Replica) AddListener(li Listener) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.listeners = append(re.listeners, li)
	li.StateReplaced(re.state)
}

// View calls the function with the state, which the function must not modify or keep.
func (re *Replica) View(fn func(st *ledger.State)) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	fn(re.state)
}

// Offset returns the offset of the last applied entry.
func (re *Replica) Offset() int64 {
	re.mu.RLock()
	defer re.mu.RUnlock()
	return re.state.Offset()
}

// Apply applies the entries of a page that are not applied yet; it fails with ErrGap or with an error of ledger.State.Apply.
func (re *Replica) Apply(pg Page) error {
	re.mu.Lock()
	defer re.mu.Unlock()
	for ix, data := range pg.Entries {
		offset := pg.From + int64(ix)
		if offset <= re.state.Offset() {
			continue
		}
		if offset > re.state.Offset()+1 {
			return ErrGap
		}
		if err := re.applyEntry(offset, data); err != nil {
			return err
		}
	}
	return nil
}

func (re *Replica) applyEntry(offset int64, data []byte) error {
	events, err := re.state.Apply(offset, data)
	if err != nil {
		return eris.Wrapf(err, "apply the log entry at offset %d", offset)
	}
	re.addRecent(offset, data)
	for _, li := range re.listeners {
		li.EntryApplied(re.state, events)
	}
	return nil
}

func (re *Replica) addRecent(offset int64, data []byte) {
	if len(re.recent) == 0 {
		re.firstRecent = offset
	}
	re.recent = append(re.recent, data)
	re.recentBytes += len(data)
	for re.recentBytes > maxRecentBytes && len(re.recent) > 1 {
		re.recentBytes -= len(re.recent[0])
		re.recent = re.recent[1:]
		re.firstRecent++
	}
}

// RecentEntries returns applied entries from an offset on: up to maxBytes, but at least one. The page is empty if the entry
// at the offset is not in memory.
func (re *Replica) RecentEntries(from int64, maxBytes int) Page {
	re.mu.RLock()
	defer re.mu.RUnlock()
	pg := Page{First: re.firstRecent, Next: re.state.Offset() + 1, From: from}
	if len(re.recent) == 0 {
		pg.First = pg.Next
	}
	if from < pg.First || from >= pg.Next {
		return pg
	}
	size := 0
	for _, data := range re.recent[from-re.firstRecent:] {
		if size += len(data); size > maxBytes && len(pg.Entries) > 0 {
			break
		}
		pg.Entries = append(pg.Entries, data)
	}
	return pg
}

// Encode returns the offset of the state and its encoding.
func (re *Replica) Encode() (int64, []byte, error) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	data, err := re.state.Encode()
	return re.state.Offset(), data, err
}

// ReplaceState replaces the state if the given one has a greater offset; otherwise the given one is ignored.
func (re *Replica) ReplaceState(st *ledger.State) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if st.Offset() <= re.state.Offset() {
		return
	}
	re.state = st
	re.recent = nil
	re.recentBytes = 0
	for _, li := range re.listeners {
		li.StateReplaced(st)
	}
}
