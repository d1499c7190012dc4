// Package oplog connects one incarnation to the platform's append-only log.
//
// A Reader applies log entries to a Replica, a Writer appends batches of records, and both go through peers
// while the log itself is unreachable. Checkpoints of the state are kept in a stream of their own.
package oplog
