package space

import (
	"sync/atomic"
)

// Config holds the bounds of a Space.
type Config struct {
	// Bytes is the memory that all accounts may take together.
	Bytes int64
	// ReservedBytes is the part of Bytes that only small accounts may take, so that a few large ones cannot crowd out the others.
	ReservedBytes int64
	// SmallBytes is the size up to which an account is small.
	SmallBytes int64
}

// Space is the memory that accounts share; it is safe for concurrent use.
type Space struct {
	config Config
	used   atomic.Int64
}

// New returns a space of which nothing is used.
func New(config Config) *Space { return &Space{config: config} }

// Used returns the number of bytes that all accounts take.
func (sp *Space) Used() int64 { return sp.used.Load() }

// Open returns an empty account; Close must be called at its end. The account of a nil space is nil and has no bound.
func (sp *Space) Open() *Account {
	if sp == nil {
		return nil
	}
	return &Account{space: sp}
}

// Account is the memory that one request takes; it is not safe for concurrent use.
type Account struct {
	space *Space
	taken int64
}

// Take takes the given number of bytes and reports whether they were free. On a nil account it always does.
func (ac *Account) Take(bytes int64) bool {
	if ac == nil {
		return true
	}
	sp := ac.space
	limit := sp.config.Bytes
	if ac.taken+bytes > sp.config.SmallBytes {
		limit -= sp.config.ReservedBytes
	}
	if sp.used.Add(bytes) > limit {
		sp.used.Add(-bytes)
		return false
	}
	ac.taken += bytes
	return true
}

// Taken returns the number of bytes that the account takes.
func (ac *Account) Taken() int64 {
	if ac == nil {
		return 0
	}
	return ac.taken
}

// Give gives bytes back that were taken before.
func (ac *Account) Give(bytes int64) {
	if ac == nil {
		return
	}
	ac.taken -= bytes
	ac.space.used.Add(-bytes)
}

// Close gives back all bytes of the account.
func (ac *Account) Close() { ac.Give(ac.Taken()) }
