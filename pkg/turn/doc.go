// Package turn decides when callers that were refused for lack of capacity come back, and recognizes them when they do. It has no I/O; the time is passed in.
package turn
