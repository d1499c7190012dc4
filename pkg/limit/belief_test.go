package limit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBelief applies the statements of responses and peers, which may arrive in another order than they were made.
func TestBelief(tt *testing.T) {
	const ms = time.Millisecond
	named := func(perSecond float64) Statement { return Statement{Limited: true, PerSecond: perSecond} }
	cases := []struct {
		name string
		run  func(be Belief) Belief
		want Statement
	}{
		{"named", func(be Belief) Belief { return be.WithResponse(20*ms, 10*ms, named(2)) }, named(2)},
		{"lowered by an earlier request", func(be Belief) Belief {
			return be.WithResponse(20*ms, 15*ms, named(2)).WithResponse(30*ms, 10*ms, named(1))
		}, named(1)},
		{"not raised by an earlier request", func(be Belief) Belief {
			return be.WithResponse(20*ms, 15*ms, named(2)).WithResponse(30*ms, 10*ms, named(3))
		}, named(2)},
		{"raised by a later request", func(be Belief) Belief {
			return be.WithResponse(20*ms, 15*ms, named(2)).WithResponse(30*ms, 20*ms, named(3))
		}, named(3)},
		{"not withdrawn by an earlier request", func(be Belief) Belief {
			return be.WithResponse(20*ms, 15*ms, named(2)).WithResponse(30*ms, 19*ms, Statement{})
		}, named(2)},
		{"withdrawn by a later request", func(be Belief) Belief {
			return be.WithResponse(20*ms, 15*ms, named(2)).WithResponse(30*ms, 20*ms, Statement{})
		}, Statement{}},
		{"zero is a limit", func(be Belief) Belief { return be.WithResponse(20*ms, 15*ms, named(0)) }, named(0)},
		{"learned from a peer", func(be Belief) Belief { return be.WithNotice(20*ms, named(2)) }, named(2)},
		{"a crossing notice does not withdraw", func(be Belief) Belief {
			return be.WithResponse(900*ms, 15*ms, named(2)).WithNotice(1000*ms, Statement{})
		}, named(2)},
		{"a later notice withdraws", func(be Belief) Belief {
			return be.WithResponse(900*ms, 15*ms, named(2)).WithNotice(1300*ms, Statement{})
		}, Statement{}},
		{"a notice lowers at once", func(be Belief) Belief {
			return be.WithResponse(900*ms, 15*ms, named(2)).WithNotice(901*ms, named(1))
		}, named(1)},
		{"a request from before the notice does not withdraw", func(be Belief) Belief {
			return be.WithNotice(900*ms, named(2)).WithResponse(950*ms, 899*ms, Statement{})
		}, named(2)},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			if diff := cmp.Diff(tc.want, tc.run(Belief{}).Statement); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
