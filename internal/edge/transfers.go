package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/quota"
)

// borrowPause is the minimum time between a shortfall and the next attempt to borrow tokens of the same team. A shortfall is an attempt in
// which the peers lent less than requested.
const borrowPause = 40 * time.Millisecond

// lendWait bounds the time that a peer's call to borrow waits until this instance has written a new grant row, which raises its ceiling. It
// covers several round trips to the store.
const lendWait = 80 * time.Millisecond

// transfers borrows tokens from peers, lends tokens to them, and returns tokens that this instance does not need.
type transfers struct {
	edge *Edge
	mu   sync.Mutex
	// shortfallAt holds the time of the last shortfall, by team.
	shortfallAt map[string]time.Duration
}

// Borrow asks peers for tokens of the team for a request that waits, and reports whether it received any.
func (tf *transfers) Borrow(ctx context.Context, team string, tokens int64) bool {
	cf := tf.edge.config
	now := cf.Clock()
	if !tf.mayBorrow(team, now) {
		return false
	}
	sh := tf.edge.quotas.Shard(team)
	names, want := sh.Lenders(now, team, tokens, rand.Float64)
	got := tf.edge.mesh.Borrow(ctx, team, want, names)
	tf.receive(sh, loan{team: team, reason: loanWaiting, asked: want, got: got, from: names})
	if got < want {
		tf.recordShortfall(team, now)
		sh.RecordShortfall(cf.Clock(), team)
	}
	return got > 0
}

// mayBorrow reports whether borrowPause has passed since the team's last shortfall.
func (tf *transfers) mayBorrow(team string, now time.Duration) bool {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	at, ok := tf.shortfallAt[team]
	return !ok || now-at >= borrowPause
}

// recordShortfall stores the time of a shortfall, so that mayBorrow returns false during the pause after it.
func (tf *transfers) recordShortfall(team string, now time.Duration) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	tf.shortfallAt[team] = now
}

// Lend lends at most the given number of a team's tokens to a peer and returns how many it lent.
//
// If only the ceiling prevents it from lending more and the store is reachable, it waits for this instance's next grant row, which raises
// the ceiling, and then lends the remaining tokens.
func (tf *transfers) Lend(ctx context.Context, team string, tokens int64) int64 {
	sh := tf.edge.quotas.Shard(team)
	return tf.lend(ctx, sh, loan{team: team, reason: loanWaiting, asked: tokens}, sh.Lend)
}

// LendAhead lends a part of this instance's surplus of a team to a peer, and otherwise does the same as Lend.
func (tf *transfers) LendAhead(ctx context.Context, team string, tokens int64) int64 {
	sh := tf.edge.quotas.Shard(team)
	return tf.lend(ctx, sh, loan{team: team, reason: loanAhead, asked: tokens}, sh.LendAhead)
}

// lend lends tokens by the given function of the shard, again after the next grant row if only the ceiling prevents it from lending more.
func (tf *transfers) lend(
	ctx context.Context, sh *quota.Shard, lo loan, call func(now time.Duration, team string, tokens int64) (int64, bool),
) int64 {
	clock := tf.edge.config.Clock
	given, capped := call(clock(), lo.team, lo.asked)
	if rest := lo.asked - given; capped && tf.edge.StoreReachable() {
		changed := sh.AddWaiter(clock(), lo.team, rest)
		tf.await(ctx, changed)
		sh.RemoveWaiter(lo.team, rest)
		more, _ := call(clock(), lo.team, rest)
		given += more
	}
	if given > 0 {
		tf.edge.metrics.Counter(fmt.Sprintf("weir_tokens_lent_total{reason=%q}", lo.reason)).AddInt64(given)
		tf.edge.config.Logger.Info("tokens given", "team", lo.team, "reason", lo.reason, "asked", lo.asked, "given", given, "capped", capped)
	}
	return given
}

// await waits at most lendWait for the signal that the team's grant has changed.
func (tf *transfers) await(ctx context.Context, changed <-chan struct{}) {
	ti := time.NewTimer(lendWait)
	defer ti.Stop()
	select {
	case <-changed:
	case <-ti.C:
	case <-ctx.Done():
	}
}

// AcceptReturn adds, to this instance's grant of the team, tokens that a peer gave back.
func (tf *transfers) AcceptReturn(team string, tokens int64) {
	tf.edge.quotas.Shard(team).Receive(team, tokens)
	tf.edge.config.Logger.Info("tokens returned", "team", team, "tokens", tokens)
}

// returnSurplus sends tokens that this instance does not need to the holders that can use them.
func (tf *transfers) returnSurplus(ctx context.Context, sh *quota.Shard) {
	lo := tf.edge.config.Logger
	for _, su := range sh.ReleaseSurpluses(tf.edge.config.Clock(), !tf.edge.StoreReachable(), tf.edge.mesh.InBackoff) {
		if err := tf.edge.mesh.Return(ctx, su.Holder, su.Team, su.Tokens); err != nil {
			// The call failed, but the peer may have received the tokens. They are therefore not added back to this instance's grant.
			tf.edge.metrics.Counter("weir_tokens_lost_total").AddInt64(su.Tokens)
			lo.Info("tokens lost on the way", "team", su.Team, "tokens", su.Tokens, "holder", su.Holder, "reason", err.Error())
			continue
		}
		tf.edge.metrics.Counter("weir_tokens_returned_total").AddInt64(su.Tokens)
		lo.Info("tokens sent", "team", su.Team, "tokens", su.Tokens, "holder", su.Holder)
	}
}

// reportSpending tells lenders which of their tokens were spent here, if no row of this instance says so.
func (tf *transfers) reportSpending(sh *quota.Shard) {
	for _, re := range sh.TakeSpendingReports(tf.edge.config.Clock(), rand.Float64) {
		notice := mesh.Notice{Spending: []mesh.SpendingNotice{{Team: re.Team, Tokens: re.Tokens}}}
		if err := tf.edge.notifier.SendTo([]string{re.Lender}, notice); err != nil {
			tf.edge.metrics.Counter("weir_spending_reports_lost_total").Inc()
			continue
		}
		tf.edge.metrics.Counter("weir_spending_reports_total").Inc()
	}
}

// applySpending counts tokens that this instance lent as spent.
func (tf *transfers) applySpending(list []mesh.SpendingNotice) {
	for _, sn := range list {
		tf.edge.quotas.Shard(sn.Team).ApplySpendingReport(sn.Team, sn.Tokens)
	}
}
