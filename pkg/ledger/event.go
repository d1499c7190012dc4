package ledger

// EventKind names a change of the state.
type EventKind uint8

// The kinds of event.
const (
	// Joined reports a new incarnation.
	Joined EventKind = iota + 1
	// ProvedDead reports that the process of an incarnation is proved dead and waits to be closed.
	ProvedDead
	// Closed reports that an incarnation was closed; Tokens holds what was written off.
	Closed
	// BatchAccepted reports a batch of Incarnation with number Sequence.
	BatchAccepted
	// Granted reports Tokens more for Incarnation on Budget.
	Granted
	// ClaimQueued reports that Incarnation waits for Tokens of Budget.
	ClaimQueued
	// BudgetChanged reports a new prepaid total in Tokens.
	BudgetChanged
	// TicketApplied reports an accepted ticket.
	TicketApplied
	// TicketRejected reports a refused ticket.
	TicketRejected
	// IntentAccepted reports that the intent of Incarnation is the first of Key.
	IntentAccepted
	// IntentRejected reports that Key already belongs to another request.
	IntentRejected
	// Resolved reports that the request of Key has an outcome.
	Resolved
	// DuplicateBill reports a second bill of Key, which was written off.
	DuplicateBill
	// QuarantineChanged reports that the content hash in Key was quarantined or released.
	QuarantineChanged
)

// Event is one change of the state made by one entry; fields that do not apply are zero.
type Event struct {
	Kind        EventKind
	Offset      int64
	Incarnation int64
	Sequence    int64
	Budget      string
	Key         string
	Tokens      int64
}
