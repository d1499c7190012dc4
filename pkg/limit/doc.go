// Package limit keeps the rate limits that endpoints name for all instances together.
//
// An instance sends a request to a limited endpoint only with a permit. All permits for one process of an endpoint are issued by one
// instance, its issuer, which spaces them by the limit. The package does no I/O and takes the time as a value.
package limit
