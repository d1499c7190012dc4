package edge

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/clementineweir/clementineweir/pkg/quota"
)

// The reasons of loans.
const (
	// loanWaiting is the reason of a loan for which a request waits.
	loanWaiting = "waiting"
	// loanAhead is the reason of a loan that restores a balance before a request has to wait.
	loanAhead = "ahead"
)

// loan is a call to borrow tokens.
type loan struct {
	team, reason string
	// asked and got are numbers of tokens; from are the peers in the order in which they are asked.
	asked, got int64
	from       []string
}

// receive adds borrowed tokens to the shard, counts the loan and writes its log line.
func (tf *transfers) receive(sh *quota.Shard, lo loan) {
	tf.edge.metrics.Counter(fmt.Sprintf("weir_token_loans_total{reason=%q}", lo.reason)).Inc()
	if lo.got <= 0 {
		return
	}
	sh.Receive(lo.team, lo.got)
	tf.edge.metrics.Counter(fmt.Sprintf("weir_tokens_borrowed_total{reason=%q}", lo.reason)).AddInt64(lo.got)
	tf.edge.config.Logger.Info("tokens taken", "team", lo.team, "reason", lo.reason, "asked", lo.asked, "got", lo.got, "from", lo.from)
}

// aheadLoans requests the loans ahead of one shard.
type aheadLoans struct {
	transfers *transfers
	quota     *quota.Shard
}

// run starts a call for each loan ahead that is due. The shard returns at most one for each team until the call has ended.
func (al *aheadLoans) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-al.quota.Ahead():
		}
		for _, la := range al.quota.TakeAhead(al.transfers.edge.config.Clock(), rand.Float64) {
			ca := &aheadCall{loans: al, loan: la}
			go ca.run(ctx)
		}
	}
}

// aheadCall is a call for one loan ahead.
type aheadCall struct {
	loans *aheadLoans
	loan  quota.LoanAhead
}

func (ca *aheadCall) run(ctx context.Context) {
	tf, sh, la := ca.loans.transfers, ca.loans.quota, ca.loan
	got := tf.edge.mesh.BorrowAhead(ctx, la.Team, la.Tokens, la.Enough(), la.Lenders)
	tf.receive(sh, loan{team: la.Team, reason: loanAhead, asked: la.Tokens, got: got, from: la.Lenders})
	sh.FinishAhead(tf.edge.config.Clock(), la, got)
}
