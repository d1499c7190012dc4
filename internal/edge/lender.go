package edge

import (
	"context"
	"sync"
	"time"
)

// borrowInterval is how often peers are asked for tokens of one team; the requests between take from what came in.
const borrowInterval = 40 * time.Millisecond

// lender moves tokens between this instance and its peers.
type lender struct {
	edge  *Edge
	mu    sync.Mutex
	asked map[string]time.Duration
}

// Borrow reports whether tokens of the team came in from a peer.
func (le *lender) Borrow(ctx context.Context, team string, tokens int64) bool {
	cf := le.edge.config
	now := cf.Clock()
	if !le.begin(team, now) {
		return false
	}
	names, want := le.edge.purses.Of(team).Lenders(now, team, tokens)
	got := le.edge.mesh.Borrow(ctx, team, want, names)
	if got > 0 {
		le.edge.purses.Of(team).Take(team, got)
		cf.Logger.Info("tokens taken", "team", team, "asked", want, "got", got, "from", names)
	}
	return got > 0
}

func (le *lender) begin(team string, now time.Duration) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	if at, ok := le.asked[team]; ok && now-at < borrowInterval {
		return false
	}
	le.asked[team] = now
	return true
}

// Give returns how many tokens of the team were moved to a peer.
func (le *lender) Give(team string, tokens int64) int64 {
	given := le.edge.purses.Of(team).Give(le.edge.config.Clock(), team, tokens)
	if given > 0 {
		le.edge.config.Logger.Info("tokens given", "team", team, "asked", tokens, "given", given)
	}
	return given
}
