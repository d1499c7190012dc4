package emul

import (
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/spill"
)

// LeftTally counts requests that were sent to runners in another failure domain than that of the instance.
type LeftTally struct {
	// Sent and Tokens are the number of all requests sent and of their prompt tokens.
	Sent, Tokens int64
	// Left and LeftTokens are those that left the domain.
	Left, LeftTokens int64
}

// TokenShare returns the share of the prompt tokens that left the domain.
func (lt LeftTally) TokenShare() float64 {
	if lt.Tokens == 0 {
		return 0
	}
	return float64(lt.LeftTokens) / float64(lt.Tokens)
}

// countLeft counts a request that is sent.
func (si *simulation) countLeft(rq place.Request, ch choice) {
	si.left.Sent++
	si.left.Tokens += rq.Prompt
	if ch.runner.endpoint.Domain != rq.Domain {
		si.left.Left++
		si.left.LeftTokens += rq.Prompt
	}
}

// spillConfig returns the configuration of an instance.
func spillConfig(cf spill.Config, instance int) spill.Config {
	if cf == (spill.Config{}) {
		cf = spill.DefaultConfig()
	}
	cf.Seed = uint64(instance) + 1
	return cf
}
