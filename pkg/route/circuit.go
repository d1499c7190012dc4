package route

import "time"

const (
	// circuitFailures is the number of consecutive failures after which a circuit opens.
	circuitFailures = 3
	// circuitMinOpen is the first delay before a probe; it doubles after each failed probe, up to circuitMaxOpen.
	circuitMinOpen = time.Second
	circuitMaxOpen = 30 * time.Second
)

// Circuit is a circuit breaker for one endpoint. An open circuit allows one request at a time as a probe, after a delay that
// grows with each failed probe.
type Circuit struct {
	// failures counts the consecutive failures, and opens how often the circuit opened since the last success.
	failures int
	opens    int
	// openUntil is the earliest time of the next probe; probing is set while a probe is in flight.
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

// Begin records that a request was sent; if the circuit is open, the request is the probe.
func (ci *Circuit) Begin() {
	if ci.failures >= circuitFailures {
		ci.probing = true
	}
}

// End records how a request ended; a success closes the circuit.
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

// Reset closes the circuit.
func (ci *Circuit) Reset() { *ci = Circuit{} }

// Trip opens the circuit immediately.
func (ci *Circuit) Trip(now time.Duration) {
	ci.failures = max(ci.failures, circuitFailures)
	ci.open(now)
}

func (ci *Circuit) open(now time.Duration) {
	span := min(circuitMinOpen<<min(ci.opens, 5), circuitMaxOpen)
	ci.openUntil = now + span
	ci.opens++
}

// Cancel records that a request ended in a way that says nothing about the state of the endpoint.
func (ci *Circuit) Cancel() { ci.probing = false }
