package oplog

import (
	"sync"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/ledger"
)

// maxRecentBytes bounds the folded entries that are kept for peers.
const maxRecentBytes = 8 << 20

// ErrGap reports that entries between the folded offset and the page are missing.
var ErrGap = eris.New("entries before the page are missing")

// Listener is told what each applied entry changed; it runs inside the fold and must not block.
type Listener interface {
	Applied(st *ledger.State, events []ledger.Event)
	// StateReplaced reports that the whole state was replaced.
	StateReplaced(st *ledger.State)
}

// Replica is the folded state of one process; it is safe for concurrent use.
type Replica struct {
	mu        sync.RWMutex
	state     *ledger.State
	listeners []Listener
	recent    [][]byte
	first     int64
	bytes     int
}

// NewReplica returns a replica that has folded nothing.
func NewReplica() *Replica {
	return &Replica{state: ledger.NewState()}
}

// AddListener adds a listener; it is not called for entries that were folded before.
func (re *Replica) AddListener(li Listener) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.listeners = append(re.listeners, li)
	li.StateReplaced(re.state)
}

// View calls the function with the state, which it must not keep.
func (re *Replica) View(fn func(st *ledger.State)) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	fn(re.state)
}

// Offset returns the last folded offset.
func (re *Replica) Offset() int64 {
	re.mu.RLock()
	defer re.mu.RUnlock()
	return re.state.Offset()
}

// Apply folds the entries of a page that are new; it fails with ErrGap or with an error of the fold.
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
		if err := re.applyOne(offset, data); err != nil {
			return err
		}
	}
	return nil
}

func (re *Replica) applyOne(offset int64, data []byte) error {
	events, err := re.state.Apply(offset, data)
	if err != nil {
		return eris.Wrapf(err, "fold the entry at offset %d", offset)
	}
	re.remember(offset, data)
	for _, li := range re.listeners {
		li.Applied(re.state, events)
	}
	return nil
}

func (re *Replica) remember(offset int64, data []byte) {
	if len(re.recent) == 0 {
		re.first = offset
	}
	re.recent = append(re.recent, data)
	re.bytes += len(data)
	for re.bytes > maxRecentBytes && len(re.recent) > 1 {
		re.bytes -= len(re.recent[0])
		re.recent = re.recent[1:]
		re.first++
	}
}

// RecentEntries returns the recent entries from an offset on.
func (re *Replica) RecentEntries(from int64, maxBytes int) Page {
	re.mu.RLock()
	defer re.mu.RUnlock()
	pg := Page{First: re.first, Next: re.state.Offset() + 1, From: from}
	if len(re.recent) == 0 {
		pg.First = pg.Next
	}
	if from < pg.First || from >= pg.Next {
		return pg
	}
	size := 0
	for _, data := range re.recent[from-re.first:] {
		if size += len(data); size > maxBytes && len(pg.Entries) > 0 {
			break
		}
		pg.Entries = append(pg.Entries, data)
	}
	return pg
}

// Encode returns the encoded state.
func (re *Replica) Encode() (int64, []byte, error) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	data, err := re.state.Encode()
	return re.state.Offset(), data, err
}

// ReplaceState replaces the state by a newer one; an older one is ignored.
func (re *Replica) ReplaceState(st *ledger.State) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if st.Offset() <= re.state.Offset() {
		return
	}
	re.state = st
	re.recent = nil
	re.bytes = 0
	for _, li := range re.listeners {
		li.StateReplaced(st)
	}
}
