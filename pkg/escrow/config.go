package escrow

import "time"

// Config sets how many tokens an incarnation claims in advance, and the ceilings that limit its spending; see record.Ceiling.
type Config struct {
	// PartitionSpan is the time for which a grant covers the current demand while the log is unreachable.
	PartitionSpan time.Duration
	// Delay is how long the log must have accepted no batch of this instance before its ceilings start to rise. They rise so that the
	// instance can continue to serve requests while the log accepts nothing.
	Delay time.Duration
	// SlackSpan sets the slack of a ceiling: the tokens that the current demand uses during SlackSpan. The slack is the part
	// of the ceiling above the tokens that are spent, reserved or waited for.
	SlackSpan time.Duration
	// MinSlack is the minimum slack of a ceiling in tokens. A budget with few remaining tokens gets less; an idle account
	// gets none.
	MinSlack int64
	// IdleSpan is the time without use after which the surplus of a grant is returned to the budget.
	IdleSpan time.Duration
	// HeadroomPercent is the rate at which a ceiling rises, in percent of the measured demand.
	HeadroomPercent int64
}

// DefaultConfig returns settings for a fleet of a few instances in one region.
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
