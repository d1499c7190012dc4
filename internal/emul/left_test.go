package emul

import (
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/spill"
)

// TestSpillover compares what leaves the failure domain, and what is served in time, with the decision of pkg/spill and with a constant cost of 5 ms. At least a
// tenth less must leave, in calm, in a surge, with runners of uneven speed, and with a domain that has few runners, and the worth may be lower by 0.005 at most.
func TestSpillover(tt *testing.T) {
	for _, name := range []string{"birligi", "surge", "uneven", "scarce-domain"} {
		tt.Run(name, func(tt *testing.T) {
			got := runScenario(tt, name, "weir", 1)
			sc, _ := FindScenario(name)
			sc.Spill = spill.Config{RoundTrip: 5 * time.Millisecond}
			constant, err := Run(Config{Scenario: sc, Policy: "weir", Seed: 1})
			if err != nil {
				tt.Fatal(err)
			}
			tt.Logf("a share of %.3f of the prompt tokens left the domain, in objective %.3f, worth %.3f; with the constant %.3f, %.3f, %.3f", got.Left.TokenShare(),
				got.All.WithinTarget, got.All.Worth, constant.Left.TokenShare(), constant.All.WithinTarget, constant.All.Worth)
			if got.Left.TokenShare() > constant.Left.TokenShare()*0.9 {
				tt.Errorf("a share of %.3f of the prompt tokens left the domain, with the constant %.3f", got.Left.TokenShare(), constant.Left.TokenShare())
			}
			if got.All.Worth < constant.All.Worth-0.005 {
				tt.Errorf("the worth is %.3f, with the constant %.3f", got.All.Worth, constant.All.Worth)
			}
		})
	}
}
