package escrow

import "time"

// Config sets how much is spread out ahead of need.
type Config struct {
	// PartitionSpan is the partition that a grant covers at the present demand.
	PartitionSpan time.Duration
	// Delay is the time without an accepted batch after which a ceiling rises.
	Delay time.Duration
	// SlackSpan is the demand that a ceiling leaves above what is spent and reserved.
	SlackSpan time.Duration
	// MinSlack is the least slack of a ceiling in tokens.
	MinSlack int64
	// IdleSpan is the time without demand after which an unused grant is returned.
	IdleSpan time.Duration
	// HeadroomPercent is the demand, in percent of what was measured, that a rising ceiling allows.
	HeadroomPercent int64
}

// DefaultConfig returns the settings for a few instances in one region.
func DefaultConfig() Config {
	return Config{
		PartitionSpan:   15 * time.Minute,
		Delay:           5 * time.Second,
		SlackSpan:       15 * time.Second,
		MinSlack:        20_000,
		IdleSpan:        10 * time.Minute,
		HeadroomPercent: 200,
	}
}
