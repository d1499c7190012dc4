package ledger

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// NoOffset is the offset of a state that has applied no entry.
const NoOffset = int64(-1)

// ErrOffset reports an entry whose offset is not the next one.
var ErrOffset = eris.New("the entry does not follow the last applied offset")

// State is the result of folding the log up to an offset; it is not safe for concurrent use.
type State struct {
	offset       int64
	incarnations map[int64]*incarnation
	nonces       nonceTable
	budgets      map[string]*budget
	config       config
	requests     requestTable
	suspects     suspectTable
	audit        auditTrail
	rejected     int64
	saved        int64
	events       []Event
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		offset:       NoOffset,
		saved:        NoOffset,
		incarnations: map[int64]*incarnation{},
		nonces:       newNonceTable(),
		budgets:      map[string]*budget{},
		config:       newConfig(),
		requests:     newRequestTable(),
		suspects:     newSuspectTable(),
	}
}

// Offset returns the offset of the last applied entry, or NoOffset.
func (st *State) Offset() int64 { return st.offset }

// CheckpointOffset returns the offset of the newest checkpoint that the log speaks of, or NoOffset.
func (st *State) CheckpointOffset() int64 { return st.saved }

// Rejected returns how many entries and batches were refused so far.
func (st *State) Rejected() int64 { return st.rejected }

// Apply folds the next entry and returns what it changed; the events are valid until the next call.
//
// It fails with record.ErrVersion, record.ErrCorrupt or ErrOffset, and then the state is unchanged.
func (st *State) Apply(offset int64, data []byte) ([]Event, error) {
	if offset != st.offset+1 {
		return nil, ErrOffset
	}
	entry, err := record.DecodeEntry(data)
	if errors.Is(err, record.ErrForeign) {
		st.offset = offset
		st.rejected++
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return st.applyEntry(offset, entry), nil
}

func (st *State) applyEntry(offset int64, entry record.Entry) []Event {
	st.offset = offset
	st.events = st.events[:0]
	switch {
	case entry.Ticket != nil:
		st.applyTicket(*entry.Ticket)
	case entry.Join != nil:
		st.applyJoin(*entry.Join)
	case entry.Batch != nil:
		st.applyBatch(*entry.Batch)
	default:
		st.rejected++
	}
	return st.events
}

func (st *State) emit(ev Event) {
	ev.Offset = st.offset
	st.events = append(st.events, ev)
}
