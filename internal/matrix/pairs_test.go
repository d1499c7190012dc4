package matrix

import (
	"strings"
	"sync"
	"testing"
)

// pairs are faults that are brought about together.
var pairs = [][2]string{
	{"log down", "instance crash"},
	{"cut from both", "top-up meanwhile"},
	{"answers lost", "caller gone"},
	{"instance crash", "endpoint crash"},
	{"records expired", "concurrent tickets"},
	{"silent connections", "log slow"},
	{"instance pause", "log slow"},
	{"cut from the log", "cut from peers"},
}

var pairSteps = []string{"claim read-back", "intent read-back", "service call ran", "mid-stream", "settle"}

// TestFaultPairs brings about chosen pairs of faults at the steps where they matter most.
func TestFaultPairs(t *testing.T) {
	for sx, name := range pairSteps {
		for px, pair := range pairs {
			if testing.Short() && (sx+px)%len(pairs) != 0 {
				continue
			}
			ce := cell{step: findStep(t, name), fault: both(findFault(t, pair[0]), findFault(t, pair[1]))}
			t.Run(ce.name(), func(t *testing.T) {
				t.Parallel()
				if shown := runCell(t, ce); !strings.HasPrefix(shown, "ok") {
					t.Errorf("the cell shows %q", shown)
				}
			})
		}
	}
}

func findStep(t *testing.T, name string) step {
	t.Helper()
	for _, st := range steps {
		if st.name == name {
			return st
		}
	}
	t.Fatalf("no step %s", name)
	return step{}
}

func findFault(t *testing.T, name string) fault {
	t.Helper()
	for _, fa := range faults {
		if fa.name == name {
			return fa
		}
	}
	t.Fatalf("no fault %s", name)
	return fault{}
}

func both(first, second fault) fault {
	return fault{name: first.name + " and " + second.name, do: func(wo *world, victim int, mo moment) {
		var wg sync.WaitGroup
		wg.Go(func() { first.do(wo, victim, mo) })
		wg.Go(func() { second.do(wo, victim, mo) })
		wg.Wait()
	}}
}
