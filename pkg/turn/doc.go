// Package turn decides when callers that were refused for lack of capacity come back, and recognizes them when they do. It has no I/O; the time is passed in.
//
// A Schedule has three parts. Lanes count how fast capacity comes free, and reserve it in slots of time for refused callers. The expected returns say which
// requests are those of callers with a slot, here or at another instance. The queue of a service holds new requests that wait a short time for room instead of
// being refused.
package turn
