package ledger

// EventKind is the kind of a state change.
type EventKind uint8

// The kinds of event.
const (
	// Joined means that Incarnation joined.
	Joined EventKind = iota + 1
	// ProvedDead means that the process of Incarnation is proven dead; the incarnation can now be closed.
	ProvedDead
	// Closed means that Incarnation was closed and Tokens were written off.
	Closed
	// BatchAccepted means that the batch Sequence of Incarnation was accepted.
	BatchAccepted
	// Granted means that the grant of Incarnation on Budget grew by Tokens.
	Granted
	// ClaimQueued means that a claim could not be granted in full: Incarnation waits for Tokens of Budget.
	ClaimQueued
	// BudgetChanged means that a ticket set the prepaid total of Budget to Tokens.
	BudgetChanged
	// TicketApplied means that a ticket, a numbered configuration change, was applied. The field Tokens holds the ticket's number, not an amount.
	TicketApplied
	// TicketRejected means that a ticket was rejected. The field Tokens holds the ticket's number, not an amount.
	TicketRejected
	// IntentAccepted means that the intent of Incarnation is the first for Key: Incarnation may dispatch the request.
	IntentAccepted
	// IntentRejected means that the intent of Incarnation was rejected, because an earlier request already uses Key.
	IntentRejected
	// Resolved means that the outcome of the request with the idempotency key Key was recorded.
	Resolved
	// DuplicateBill means that Key was billed before: the Tokens of the new bill were written off.
	DuplicateBill
	// QuarantineChanged means that the content hash in Key was quarantined or released.
	QuarantineChanged
	// SuspicionChanged means that an endpoint was added to those that crashed on the content hash in Key, or that the hash was cleared.
	SuspicionChanged
)

// Event is one state change made by a log entry; fields that do not apply to its kind are zero.
type Event struct {
	Kind EventKind
	// Offset is the offset of the log entry.
	Offset int64
	// Incarnation is the number of the incarnation that the event concerns.
	Incarnation int64
	// Sequence is the sequence number of a batch.
	Sequence int64
	Budget   string
	// Key is an idempotency key or, for QuarantineChanged and SuspicionChanged, a content hash.
	Key string
	// Tokens is an amount or, for TicketApplied and TicketRejected, the number of the ticket.
	Tokens int64
}
