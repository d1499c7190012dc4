package ledger

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// NoOffset is the offset of a state that has applied no entry.
const NoOffset = int64(-1)

// ErrOffset is returned for an entry whose offset is not the successor of the last applied offset.
var ErrOffset = eris.New("log entry out of order: its offset is not the successor of the last applied offset")

// State is the result of applying all log entries up to an offset; it is not safe for concurrent use.
type State struct {
	offset           int64
	incarnations     map[int64]*incarnation
	nonces           nonceTable
	budgets          map[string]*budget
	config           config
	requests         requestTable
	suspects         suspectTable
	audit            auditTrail
	rejected         int64
	checkpointOffset int64
	// events are the events of the entry that was applied last.
	events []Event
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		offset:           NoOffset,
		checkpointOffset: NoOffset,
		incarnations:     map[int64]*incarnation{},
		nonces:           newNonceTable(),
		budgets:          map[string]*budget{},
		config:           newConfig(),
		requests:         newRequestTable(),
		suspects:         newSuspectTable(),
	}
}

// Offset returns the offset of the last applied entry, or NoOffset.
func (st *State) Offset() int64 { return st.offset }

// CheckpointOffset returns the offset of the newest checkpoint recorded in the log, or NoOffset.
func (st *State) CheckpointOffset() int64 { return st.checkpointOffset }

// Rejected returns the number of log entries that were rejected so far.
func (st *State) Rejected() int64 { return st.rejected }

// Apply applies the next log entry and returns the resulting events, which are valid until the next call.
//
// Entries that this system did not write are counted as rejected and skipped. Apply fails with
// record.ErrVersion, record.ErrCorrupt or ErrOffset; the state is then unchanged.
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
