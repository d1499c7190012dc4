package emul

import "testing"

// TestResumedStreams resumes streams while runners of two software versions serve: none may go on at the other version, and the share that goes on must
// be at least half of the share of new streams that begin.
func TestResumedStreams(tt *testing.T) {
	for _, scenario := range []string{"two-versions", "two-versions-surge"} {
		tt.Run(scenario, func(tt *testing.T) {
			re := runScenario(tt, scenario, "weir", 1)
			rs := re.Resumptions
			if rs.Crossed > 0 {
				tt.Errorf("%d of %d streams went on at another version, want none", rs.Crossed, rs.Resumed)
			}
			begun := re.All.WithinTarget + re.All.Late
			if share := float64(rs.WentOn) / float64(rs.Resumed); share < begun/2 {
				tt.Errorf("a share of %.3f of %d resumed streams went on, want at least half of the %.3f of new ones", share, rs.Resumed, begun)
			}
			if other := runScenario(tt, scenario, "leastOutstanding", 1); other.Resumptions.Crossed == 0 {
				tt.Error("a policy that does not know of versions crosses them nowhere, so the load does not test them")
			}
		})
	}
}
