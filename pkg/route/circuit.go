package route

import "time"

const (
	circuitFailures = 3
	circuitMinOpen  = time.Second
	circuitMaxOpen  = 30 * time.Second
)

// Circuit keeps requests away from an endpoint that fails, and probes it with one request at a time.
type Circuit struct {
	failures  int
	opens     int
	openUntil time.Duration
	probing   bool
}

// Allows reports whether a request may be sent at the given time.
func (ci *Circuit) Allows(now time.Duration) bool {
	if ci.failures < circuitFailures {
		return true
	}
	return now >= ci.openUntil && !ci.probing
}

// Begin notes a request on its way; while the circuit is open it is the only one.
func (ci *Circuit) Begin() {
	if ci.failures >= circuitFailures {
		ci.probing = true
	}
}

// End notes how a request ended.
func (ci *Circuit) End(now time.Duration, failed bool) {
	ci.probing = false
	if !failed {
		*ci = Circuit{}
		return
	}
	ci.failures++
	if ci.failures >= circuitFailures {
		ci.open(now)
	}
}

// Trip opens the circuit at once.
func (ci *Circuit) Trip(now time.Duration) {
	ci.failures = max(ci.failures, circuitFailures)
	ci.open(now)
}

func (ci *Circuit) open(now time.Duration) {
	span := min(circuitMinOpen<<min(ci.opens, 5), circuitMaxOpen)
	ci.openUntil = now + span
	ci.opens++
}

// Cancel notes that a request ended without telling anything about the endpoint.
func (ci *Circuit) Cancel() { ci.probing = false }
