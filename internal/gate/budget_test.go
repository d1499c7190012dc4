package gate

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/quota"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const budgetTeam = "team"

// stubInstance is an InstanceView without a configuration.
type stubInstance struct {
	storeUnreachable bool
}

func (si stubInstance) Plan() *plan.Plan { return nil }

func (si stubInstance) Draining() bool { return false }

func (si stubInstance) StoreReachable() bool { return !si.storeUnreachable }

func (si stubInstance) TimeToStop() (time.Duration, bool) { return 0, false }
func (si stubInstance) Stopped() context.Context          { return context.Background() }

// stubBorrower fails to borrow until call number succeedFrom, and succeeds from that call on. Zero means that it always fails.
type stubBorrower struct {
	quotas      *quota.Set
	succeedFrom int
	asked       int
}

func (sb *stubBorrower) Borrow(_ context.Context, team string, tokens int64) bool {
	sb.asked++
	if sb.succeedFrom == 0 || sb.asked < sb.succeedFrom {
		return false
	}
	sb.quotas.Shard(team).Receive(team, tokens)
	return true
}

// TestReserve reserves tokens of a team whose grants are all at another instance, with the store reachable and unreachable.
func TestReserve(tt *testing.T) {
	type result struct {
		Kind     fault.Kind
		Retry    time.Duration
		Asked    int
		Reserved int64
	}
	cases := []struct {
		name string
		// remaining is the prepaid total less what the other instance has spent.
		remaining int64
		// lent is the number of tokens that the other instance has lent to peers.
		lent int64
		// succeedFrom is the number of the first attempt to borrow that succeeds, or zero if all fail.
		succeedFrom      int
		storeUnreachable bool
		want             result
	}{
		{"the first attempt to borrow succeeds", 1000, 0, 1, false, result{Asked: 1, Reserved: 100}},
		{"the second attempt to borrow succeeds, store unreachable", 1000, 0, 2, true, result{Asked: 2, Reserved: 100}},
		{"no peer lends", 1000, 0, 0, false, result{Kind: fault.Unavailable, Retry: insufficientRetryAfter, Asked: maxBorrowAttempts}},
		{"no peer lends, store unreachable", 1000, 0, 0, true, result{Kind: fault.Unavailable, Retry: outageRetryAfter, Asked: maxBorrowAttempts}},
		{"all that remains was lent to peers", 1000, 1000, 1, false, result{Kind: fault.Unavailable, Retry: uncertainRetryAfter}},
		{"nearly all that remains was lent to peers, a lender has received tokens since its row", 1000, 950, 1, false, result{Asked: 1, Reserved: 100}},
		{"nearly all that remains was lent to peers, no peer lends", 1000, 950, 0, false, result{Kind: fault.Unavailable, Retry: uncertainRetryAfter, Asked: 1}},
		{"the total is used up", 50, 0, 1, false, result{Kind: fault.BudgetExhausted}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			begun := time.Now()
			clock := func() time.Duration { return time.Since(begun) + 1 }
			stamp := func() quota.Stamp { return quota.Stamp{Wall: time.Now()} }
			set := quota.NewSet(1, quota.Config{Instance: "self", Incarnation: 1}, clock(), stamp)
			const total = 10_000
			set.SetTotals(map[string]int64{budgetTeam: total})
			row := quota.Row{Granted: total, Base: total, Spent: total - tc.remaining, NetLent: tc.lent, Delay: time.Minute, Incarnation: 1}
			data, err := record.Marshal(row)
			if err != nil {
				tt.Fatal(err)
			}
			set.Shard(budgetTeam).Reset(clock(), keyed.Snapshot{Records: []keyed.Record{{Key: "grant/other/" + budgetTeam, Value: data}}})
			sb := &stubBorrower{quotas: set, succeedFrom: tc.succeedFrom}
			pr := &proxyRequest{
				gate:        &gate{config: Config{Beliefs: stubInstance{tc.storeUnreachable}, Purses: set, Lender: sb, Clock: clock, Metrics: NewMetrics()}},
				httpRequest: httptest.NewRequest("POST", "/", nil), route: &plan.Route{LatencyTarget: time.Second}, deadline: clock() + time.Minute,
				info: RequestInfo{Sized: true, Prompt: 60, Output: 40}, team: budgetTeam, limited: true,
			}
			got := result{}
			if err := pr.reserve(); err != nil {
				fa := fault.From(err, fault.MayHaveRun)
				got.Kind, got.Retry = fa.Kind(), fa.RetryAfter()
				if fa.Verdict() != fault.NotRun {
					tt.Errorf("a refused reservation has the verdict %s, want notRun", fa.Verdict())
				}
			}
			got.Asked, got.Reserved = sb.asked, pr.reserved
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
