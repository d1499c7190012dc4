package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestWorkingBalance checks how much a borrower asks for and returns. A target that is too small makes requests wait for loans, one that is
// too large takes the tokens that others need and loses them with the instance.
func TestWorkingBalance(tt *testing.T) {
	const second = time.Second
	cases := []struct {
		name                string
		balance             workingBalance
		sinceUse, sinceLoan time.Duration
		ask, release        int64
	}{
		{
			"nothing is known", workingBalance{}, 0, 0, 0, 0,
		}, {
			"one second of the demand",
			workingBalance{demand: 50_000, steady: 50_000, teamDemand: 100_000, meanSize: 1000, largeSize: 2000, unused: 10_000_000},
			0, 0, 50_000, 0,
		}, {
			"more than half of the target is left",
			workingBalance{free: 26_000, demand: 50_000, steady: 50_000, teamDemand: 100_000, meanSize: 1000, unused: 10_000_000},
			0, 0, 0, 0,
		}, {
			"a few requests",
			workingBalance{free: 1000, demand: 1000, steady: 1000, teamDemand: 10_000, meanSize: 1000, largeSize: 1500, unused: 10_000_000},
			0, 0, 3000, 0,
		}, {
			"two large requests",
			workingBalance{demand: 2000, steady: 2000, teamDemand: 10_000, meanSize: 1000, largeSize: 5000, unused: 10_000_000},
			0, 0, 10_000, 0,
		}, {
			"a tenth of its share of what is left",
			workingBalance{demand: 1000, steady: 1000, teamDemand: 10_000, meanSize: 1000, largeSize: 5000, unused: 150_000},
			0, 0, 1500, 0,
		}, {
			"less than a request is left for it",
			workingBalance{demand: 1000, steady: 1000, teamDemand: 10_000, meanSize: 1000, largeSize: 5000, unused: 9000},
			0, 0, 0, 0,
		}, {
			"one request a while ago",
			workingBalance{demand: 1500, steady: 100, teamDemand: 10_000, meanSize: 5000, largeSize: 5000, unused: 10_000_000},
			0, 0, 0, 0,
		}, {
			"no request for long", workingBalance{free: 700, meanSize: 1000, unused: 10_000_000}, 5 * second, second, 0, 700,
		}, {
			"far more than the target, after a recent loan",
			workingBalance{free: 20_000, demand: 4000, steady: 1000, teamDemand: 10_000, meanSize: 1000, unused: 10_000_000},
			0, 4 * second, 0, 0,
		}, {
			"far more than the target",
			workingBalance{free: 20_000, demand: 4000, steady: 1000, teamDemand: 10_000, meanSize: 1000, unused: 10_000_000},
			0, 5 * second, 0, 16_000,
		}, {
			"scarce", workingBalance{free: 700, demand: 100, steady: 100, teamDemand: 10_000, meanSize: 1000, unused: 9000, scarce: true}, 0, 0, 0, 700,
		},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			got := []int64{tc.balance.ask(), tc.balance.release(tc.sinceUse, tc.sinceLoan)}
			if diff := cmp.Diff([]int64{tc.ask, tc.release}, got); diff != "" {
				tt.Errorf("asked, released (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLendAhead checks that a lender keeps a part of its surplus for other borrowers, and lends no amount that is not worth a call.
func TestLendAhead(tt *testing.T) {
	for _, tc := range [][3]int64{{100, 1000, 100}, {900, 1000, 500}, {900, 150, 0}, {50, 150, 50}, {900, -10, 0}, {0, 1000, 0}} {
		if diff := cmp.Diff(tc[2], lendAhead(tc[0], tc[1])); diff != "" {
			tt.Errorf("asked %d, surplus %d: %s", tc[0], tc[1], diff)
		}
	}
}
