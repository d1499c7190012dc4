package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/quota"
)

// borrowPause is how long peers are not asked for tokens of a team after they gave less than was asked for.
const borrowPause = 40 * time.Millisecond

// giveWait is how long a peer's call waits for a new row: several round trips to the store.
const giveWait = 80 * time.Millisecond

// lender moves tokens between this instance and its peers.
type lender struct {
	edge *Edge
	mu   sync.Mutex
	// failedAt is when peers last gave less than was asked for, by team.
	failedAt map[string]time.Duration
}

// Borrow reports whether tokens of the team came in from a peer.
func (le *lender) Borrow(ctx context.Context, team string, tokens int64) bool {
	cf := le.edge.config
	now := cf.Clock()
	if !le.mayAsk(team, now) {
		return false
	}
	names, want := le.edge.purses.Shard(team).Lenders(now, team, tokens, rand.Float64)
	got := le.edge.mesh.Borrow(ctx, team, want, names)
	if got > 0 {
		le.edge.purses.Shard(team).Receive(team, got)
		cf.Logger.Info("tokens taken", "team", team, "asked", want, "got", got, "from", names)
	}
	if got < want {
		le.failed(team, now)
	}
	return got > 0
}

// mayAsk reports whether peers should be asked: shortly after they gave less than was asked for they are not.
func (le *lender) mayAsk(team string, now time.Duration) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	at, ok := le.failedAt[team]
	return !ok || now-at >= borrowPause
}

func (le *lender) failed(team string, now time.Duration) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.failedAt[team] = now
}

// Lend returns how many tokens of the team were moved to a peer; where only the ceiling forbids it, the next row is waited for, if there can be one.
func (le *lender) Lend(ctx context.Context, team string, tokens int64) int64 {
	pu := le.edge.purses.Shard(team)
	clock := le.edge.config.Clock
	given, capped := pu.Lend(clock(), team, tokens)
	if capped && le.edge.StoreReachable() {
		changed := pu.AddWaiter(clock(), team, tokens-given)
		le.await(ctx, changed)
		pu.RemoveWaiter(team, tokens-given)
		more, _ := pu.Lend(clock(), team, tokens-given)
		given += more
	}
	if given > 0 {
		le.edge.config.Logger.Info("tokens given", "team", team, "asked", tokens, "given", given, "capped", capped)
	}
	return given
}

func (le *lender) await(ctx context.Context, changed <-chan struct{}) {
	ti := time.NewTimer(giveWait)
	defer ti.Stop()
	select {
	case <-changed:
	case <-ti.C:
	case <-ctx.Done():
	}
}

// AcceptReturn takes tokens back that a peer had borrowed.
func (le *lender) AcceptReturn(team string, tokens int64) {
	le.edge.purses.Shard(team).Receive(team, tokens)
	le.edge.config.Logger.Info("tokens returned", "team", team, "tokens", tokens)
}

// returnSurplus sends what other holders can use better to them.
func (le *lender) returnSurplus(ctx context.Context, pu *quota.Shard) {
	lo := le.edge.config.Logger
	for _, su := range pu.ReleaseSurpluses(le.edge.config.Clock(), !le.edge.StoreReachable(), le.edge.mesh.InBackoff) {
		if err := le.edge.mesh.Return(ctx, su.Holder, su.Team, su.Tokens); err != nil {
			// The peer may have taken them, so they are not taken back.
			lo.Info("tokens lost on the way", "team", su.Team, "tokens", su.Tokens, "holder", su.Holder, "reason", err.Error())
			continue
		}
		lo.Info("tokens sent", "team", su.Team, "tokens", su.Tokens, "holder", su.Holder)
	}
}
