package ledger

// EventKind is the kind of a state change.
type EventKind uint8

// The kinds of event.
const (
	// Joined reports that Incarnation joined.
	Joined EventKind = iota + 1
	// ProvedDead reports that the process of Incarnation is proven dead; the incarnation can now be closed.
	ProvedDead
	// Closed reports that Incarnation was closed and Tokens were written off.
	Closed
	// BatchAccepted reports that the batch Sequence of Incarnation was accepted.
	BatchAccepted
	// Granted reports that the grant of Incarnation on Budget grew by Tokens.
	Granted
	// ClaimQueued reports that a claim could not be granted in full: Incarnation waits for Tokens of Budget.
	ClaimQueued
	// BudgetChanged reports that a ticket set the prepaid total of Budget to Tokens.
	BudgetChanged
	// TicketApplied reports an accepted ticket; Tokens holds its number.
	TicketApplied
	// TicketRejected reports a rejected ticket; Tokens holds its number.
	TicketRejected
	// IntentAccepted reports that Incarnation may dispatch the request of Key.
	IntentAccepted
	// IntentRejected reports that Key is already in use by an earlier request.
	IntentRejected
	// Resolved reports that the outcome of the request of Key was recorded.
	Resolved
	// DuplicateBill reports that Key was billed before; the Tokens of this bill were written off.
	DuplicateBill
	// QuarantineChanged reports that the content hash in Key was quarantined or released.
	QuarantineChanged
)

// Event is one state change made by a log entry; fields that do not apply to its kind are zero.
type Event struct {
	Kind        EventKind
	Offset      int64
	Incarnation int64
	Sequence    int64
	Budget      string
	Key         string
	Tokens      int64
}
