// Package soak tests instances that run as separate processes, while faults are injected at random. It checks the responses that callers get
// and the requests that endpoints run.
package soak
