// Package route chooses the endpoint of a request and decides whether to admit the request now, queue it or refuse it.
//
// Decisions are deterministic: the time and the random number are arguments.
package route
