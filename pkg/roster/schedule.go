package roster

import "time"

const (
	// readPause is the pause between two reads, in which heartbeats gather, and the least time between the starts of two reads while the store is
	// unreachable. The pause and a read together stay well below the time allowed to stop sending requests to a leaving endpoint.
	readPause = 350 * time.Millisecond
	// maxReadWait is how long one read may wait for a change.
	maxReadWait = 2 * time.Second
)

// Read says when and how the store is read next.
type Read struct {
	// Pause is the time until the read begins.
	Pause time.Duration
	// Wait is how long the read may wait for a change.
	Wait time.Duration
}

// NextRead returns the next read; begun is the start of the previous one.
//
// While the store is unreachable, reads do not wait for changes. Otherwise the first read after a recovery would end with the first change, and
// the recovery would be noticed only then. Nor do they while registrations are missing, so that ReadSucceeded drops endpoints that stay missing.
func (ro *Roster) NextRead(begun, now time.Duration) Read {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	switch {
	case ro.unreachable:
		return Read{Pause: max(0, begun+readPause-now)}
	case len(ro.missing) == 0:
		return Read{Pause: readPause, Wait: maxReadWait}
	case ro.inGrace(now):
		return Read{Pause: min(readPause, ro.recoveredAt+recoveryGrace-now)}
	default:
		return Read{Pause: readPause}
	}
}
