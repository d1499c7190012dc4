package fault

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Kind classifies a failure independently of any transport.
type Kind uint8

// The kinds of failure.
const (
	// Invalid marks a request that can never succeed as written.
	Invalid Kind = iota + 1
	// Unauthorized marks a missing or unknown team key.
	Unauthorized
	// BudgetExhausted marks a request that the prepaid budget cannot cover.
	BudgetExhausted
	// NotFound marks an unknown model, service or budget.
	NotFound
	// Conflict marks a request whose idempotency key was used before, if the outcome of the earlier request is unknown or its response is not
	// stored.
	Conflict
	// KeyMismatch marks a request that reuses an idempotency key with different content.
	KeyMismatch
	// TooLarge marks a request above a size limit.
	TooLarge
	// Overloaded marks a request that no endpoint has capacity for.
	Overloaded
	// Unavailable marks a dependency that is unreachable, or an instance that cannot serve the request now.
	Unavailable
	// Timeout marks a request that did not complete in time.
	Timeout
	// Quarantined marks content that is refused because it crashed endpoints.
	Quarantined
	// Upstream marks an endpoint that failed while the request was sent to it or after that.
	Upstream
	// Crashed marks an endpoint that crashed while running the request.
	Crashed
	// Refused marks an endpoint that declined the request before running it.
	Refused
	// Canceled marks a request whose caller disconnected.
	Canceled
	// Malformed marks a body that cannot be decoded.
	Malformed
)

// Error is the failure of a request, with its kind and verdict.
type Error struct {
	kind    Kind
	verdict Verdict
	// message is shown to callers.
	message string
	// retryAfter is the delay after which the caller should retry, zero if none is set.
	retryAfter time.Duration
	// cause is the wrapped error, or nil.
	cause error
}

// New returns an error of the given kind and verdict; the message is shown to callers.
func New(kind Kind, verdict Verdict, message string) *Error {
	return &Error{kind: kind, verdict: verdict, message: message}
}

// Wrap returns an error of the given kind and verdict that wraps its cause.
func Wrap(cause error, kind Kind, verdict Verdict, message string) *Error {
	return &Error{kind: kind, verdict: verdict, message: message, cause: cause}
}

// From returns the first Error in the chain of err. If there is none, it wraps err in an Error of kind Unavailable and the given verdict.
func From(err error, verdict Verdict) *Error {
	var er *Error
	if errors.As(err, &er) {
		return er
	}
	return Wrap(eris.Wrap(err, "unclassified"), Unavailable, verdict, "the request failed")
}

// Error returns the message, followed by the cause if there is one.
func (er *Error) Error() string {
	if er.cause == nil {
		return er.message
	}
	return er.message + ": " + er.cause.Error()
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.cause }

// Kind returns the kind of failure.
func (er *Error) Kind() Kind { return er.kind }

// Verdict returns the verdict, which says whether the request may have run.
func (er *Error) Verdict() Verdict { return er.verdict }

// Message returns the message shown to callers, without the cause.
func (er *Error) Message() string { return er.message }

// RetryAfter returns the delay after which the caller should retry, or zero if none is set.
func (er *Error) RetryAfter() time.Duration { return er.retryAfter }

// WithVerdict returns a copy with another verdict.
func (er *Error) WithVerdict(verdict Verdict) *Error {
	cp := *er
	cp.verdict = verdict
	return &cp
}

// WithRetryAfter returns a copy with another retry delay.
func (er *Error) WithRetryAfter(delay time.Duration) *Error {
	cp := *er
	cp.retryAfter = delay
	return &cp
}
