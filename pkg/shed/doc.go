// Package shed decides which new requests an overloaded instance refuses, so that their callers retry at another instance at once.
//
// The decision uses measurements of the instance itself: how late a periodic probe runs, the processor time that the process uses, and the bytes
// and the blocked time of its writes. The package does no I/O and has no clock.
package shed
