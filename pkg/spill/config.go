package spill

import "time"

// Config says what leaving a failure domain costs.
type Config struct {
	// RoundTrip is the time of a round trip to another failure domain.
	RoundTrip time.Duration
	// BytePrice is the latency that sending one megabyte to another failure domain is worth.
	BytePrice time.Duration
	// Surcharge is added while the own domain is not under pressure; zero means that leaving always costs the round trip and the bytes.
	Surcharge time.Duration
	// Seed differs between instances, so that they do not change their shares together.
	Seed uint64
}

// DefaultConfig returns the usual configuration.
func DefaultConfig() Config {
	return Config{
		RoundTrip: 2 * time.Millisecond,
		// A prompt of 12,000 tokens costs 3 ms, with the round trip 5 ms.
		BytePrice: 60 * time.Millisecond,
		// A fifth of the shortest latency target (120 ms): no request misses its target because it stays.
		Surcharge: 24 * time.Millisecond,
	}
}
