package escrow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Wait.
var (
	// ErrExhausted is returned if the budget could not cover the reservation even with all unspent grants returned.
	ErrExhausted = eris.New("the prepaid budget does not cover the reservation")
	// ErrNoGrant is returned if the budget is not exhausted, but the context ended before enough tokens were granted.
	ErrNoGrant = eris.New("timed out waiting for a grant from the prepaid budget")
)

// WaitConfig holds the dependencies of Wait.
type WaitConfig struct {
	// Book holds the account from which tokens are reserved.
	Book Book
	// Clock returns the monotonic time since the process started.
	Clock func() time.Duration
	// Wake asks the log writer to append a batch soon, which claims the tokens that waiting requests need.
	Wake func()
	// Exhausted reports whether the budget could not cover the reservation even if all unspent grants were returned.
	Exhausted func(re Reservation) bool
}

// Wait reserves tokens. If too few are available, it waits until a grant or the settlement of another request makes enough
// available. It fails with ErrExhausted or ErrNoGrant.
func Wait(ctx context.Context, config WaitConfig, re Reservation) error {
	bo := config.Book
	if re.Tokens == 0 || bo.Reserve(config.Clock(), re.Budget, re.Tokens) {
		return nil
	}
	changed := bo.AddWaiter(config.Clock(), re.Budget, re.Tokens)
	defer bo.RemoveWaiter(re.Budget, re.Tokens)
	config.Wake()
	for {
		if config.Exhausted(re) {
			return ErrExhausted
		}
		if bo.Reserve(config.Clock(), re.Budget, re.Tokens) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNoGrant
		case <-changed:
		}
		changed = bo.NextChange(re.Budget)
	}
}
