// Package ledger is the state machine of the replicated log: it applies log entries to a state that holds
// incarnations, budgets, tickets, requests and quarantined content.
//
// It does no I/O and is deterministic: replicas that applied the same entries have equal states.
package ledger
