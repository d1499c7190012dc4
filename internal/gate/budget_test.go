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

// stubInstance are what a gate believes in these tests.
type stubInstance struct {
	storeUnreachable bool
}

func (su stubInstance) Plan() *plan.Plan { return nil }

func (su stubInstance) Draining() bool { return false }

func (su stubInstance) StoreReachable() bool { return !su.storeUnreachable }

func (su stubInstance) TimeToStop() (time.Duration, bool) { return 0, false }

// stubBorrower gives tokens from a certain call on, or never where that is zero.
type stubBorrower struct {
	purses      *quota.Set
	succeedFrom int
	asked       int
}

func (pe *stubBorrower) Borrow(_ context.Context, team string, tokens int64) bool {
	pe.asked++
	if pe.succeedFrom == 0 || pe.asked < pe.succeedFrom {
		return false
	}
	pe.purses.Shard(team).Receive(team, tokens)
	return true
}

// TestReserve asks for tokens of a team whose grants are at another instance, with and without the store.
func TestReserve(tt *testing.T) {
	type result struct {
		Kind     fault.Kind
		Retry    time.Duration
		Asked    int
		Reserved int64
	}
	cases := []struct {
		name string
		// left is what the other instance's row leaves of the total, moved what it gave to borrowers.
		left      int64
		moved     int64
		giveFrom  int
		storeAway bool
		want      result
	}{
		{"a peer gives at once", 1000, 0, 1, false, result{Asked: 1, Reserved: 100}},
		{"a peer gives when asked again, the store away", 1000, 0, 2, true, result{Asked: 2, Reserved: 100}},
		{"no peer gives", 1000, 0, 0, false, result{Kind: fault.Unavailable, Retry: insufficientRetryAfter, Asked: maxBorrowAttempts}},
		{"no peer gives, the store away", 1000, 0, 0, true, result{Kind: fault.Unavailable, Retry: outageRetryAfter, Asked: maxBorrowAttempts}},
		{"all is given to borrowers", 1000, 950, 1, false, result{Kind: fault.Unavailable, Retry: uncertainRetryAfter}},
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
			row := quota.Row{Granted: total, Base: total, Spent: total - tc.left, NetLent: tc.moved, Delay: time.Minute, Incarnation: 1}
			data, err := record.Marshal(row)
			if err != nil {
				tt.Fatal(err)
			}
			set.Shard(budgetTeam).Reset(clock(), []keyed.Record{{Key: "grant/other/" + budgetTeam, Value: data}})
			pe := &stubBorrower{purses: set, succeedFrom: tc.giveFrom}
			pr := &proxyRequest{
				gate:    &gate{config: Config{Beliefs: stubInstance{tc.storeAway}, Purses: set, Lender: pe, Clock: clock}},
				request: httptest.NewRequest("POST", "/", nil), route: &plan.Route{LatencyTarget: time.Second}, deadline: clock() + time.Minute,
				info: RequestInfo{Sized: true, Prompt: 60, Output: 40}, team: budgetTeam, limited: true,
			}
			got := result{}
			if err := pr.reserve(); err != nil {
				fa := fault.From(err, fault.MayHaveRun)
				got.Kind, got.Retry = fa.Kind(), fa.RetryAfter()
				if fa.Verdict() != fault.NotRun {
					tt.Errorf("the verdict is %s", fa.Verdict())
				}
			}
			got.Asked, got.Reserved = pe.asked, pr.reserved
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
