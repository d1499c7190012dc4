package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/blame"
)

// manyTraits is more than a tracker keeps.
const manyTraits = 2000

// BenchmarkTracker measures the calls of a tracker without suspects, and of one with as many as it keeps.
func BenchmarkTracker(bb *testing.B) {
	full := blame.New()
	for ix := range uint64(manyTraits) {
		full.RecordCrash(time.Second, 0, rq(ix+1000, 1, ix+100_000), fmt.Sprint("process-", ix%40))
	}
	ask := rq(7, 1, 2, 3)
	for _, bc := range []struct {
		name    string
		tracker *blame.Tracker
	}{{"empty", blame.New()}, {"full", full}} {
		bb.Run(bc.name+" blocked", func(bb *testing.B) {
			for bb.Loop() {
				bc.tracker.Blocked(2*time.Second, ask)
			}
		})
		bb.Run(bc.name+" answer", func(bb *testing.B) {
			for bb.Loop() {
				bc.tracker.RecordAnswer(2*time.Second, ask)
			}
		})
	}
	bb.Run("full crash", func(bb *testing.B) {
		ix := uint64(0)
		for bb.Loop() {
			ix++
			full.RecordCrash(10*time.Second, time.Second, rq(1_000_000+ix, 1, 2_000_000+ix), "process-1")
		}
	})
}
