package escrow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Wait.
var (
	// ErrExhausted reports that the budget cannot cover the reservation whatever is returned.
	ErrExhausted = eris.New("the prepaid budget does not cover the reservation")
	// ErrNoGrant reports that the budget is not exhausted, but no grant was to be had before the context ended.
	ErrNoGrant = eris.New("no grant of the prepaid budget was to be had in time")
)

// WaitConfig holds what a wait for a grant needs besides the book.
type WaitConfig struct {
	Book  Book
	Clock func() time.Duration
	// Wake asks for a batch, which carries the claim.
	Wake func()
	// Exhausted reports whether waiting is of no use.
	Exhausted func(re Reservation) bool
}

// Wait reserves, waiting for claims and releases; it fails with ErrExhausted or ErrNoGrant.
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
