package emul

import "testing"

// TestRateLimits runs loads in which some or all runners name rate limits: no runner may get more than one and a half times its limit, plus five
// requests, in four seconds, and the limits must be used.
func TestRateLimits(tt *testing.T) {
	cases := []struct {
		scenario string
		// minUse is the minimum share of the limits that is used. It is nine tenths if there is work for the limited runners that no other runner
		// can do.
		minUse float64
		// maxCanceled bounds the share of callers that give up waiting. Requests that exceed the limits are refused at once.
		maxCanceled float64
	}{
		{"limited", 0.5, 0.01},
		{"limited-all", 0.9, 0.01},
	}
	for _, tc := range cases {
		tt.Run(tc.scenario, func(tt *testing.T) {
			sc, _ := FindScenario(tc.scenario)
			re := runScenario(tt, tc.scenario, "weir", 1)
			if most := 1.5 + 5/(sc.RateLimit.PerSecond*limitWindow.Seconds()); re.Limits.Peak > most {
				tt.Errorf("a runner got %.2f times its limit, want at most %.2f", re.Limits.Peak, most)
			}
			if re.Limits.Use < tc.minUse {
				tt.Errorf("a share of %.3f of the limits is used, want at least %.2f", re.Limits.Use, tc.minUse)
			}
			if re.All.Canceled > tc.maxCanceled {
				tt.Errorf("a share of %.3f of the callers gave up waiting, want at most %.3f", re.All.Canceled, tc.maxCanceled)
			}
			if other := runScenario(tt, tc.scenario, "prefixHash", 1); other.Limits.Peak <= 2 {
				tt.Errorf("a policy without limits peaks at %.2f times the limit, so the load does not test them", other.Limits.Peak)
			}
		})
	}
}
