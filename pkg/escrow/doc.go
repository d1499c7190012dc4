// Package escrow tracks how many tokens of each budget one incarnation may spend: its grants, ceilings,
// reservations and settlements.
//
// It does no I/O. Every now parameter is the monotonic time since the process started.
package escrow
