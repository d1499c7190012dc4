package matrix

import (
	"strings"
	"sync"
	"testing"
)

// faultPairs are the pairs of faults that are injected at the same time.
var faultPairs = [][2]string{
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

// TestFaultPairs injects each of faultPairs at each of pairSteps, the steps at which two faults are most likely to interact.
func TestFaultPairs(t *testing.T) {
	for sx, name := range pairSteps {
		for px, pair := range faultPairs {
			if testing.Short() && (sx+px)%len(faultPairs) != 0 {
				continue
			}
			ce := cell{step: findStep(t, name), fault: combine(findFault(t, pair[0]), findFault(t, pair[1]))}
			t.Run(ce.name(), func(t *testing.T) {
				t.Parallel()
				if cellResult := runCell(t, ce); !strings.HasPrefix(cellResult, "ok") {
					t.Errorf("the result of this pair of faults is %q, want ok", cellResult)
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
	t.Fatalf("there is no step %q", name)
	return step{}
}

func findFault(t *testing.T, name string) fault {
	t.Helper()
	for _, fa := range faults {
		if fa.name == name {
			return fa
		}
	}
	t.Fatalf("there is no fault %q", name)
	return fault{}
}

// combine returns a fault that injects two faults at the same time.
func combine(first, second fault) fault {
	return fault{name: first.name + " and " + second.name, inject: func(wo *world, victim int, ob observation) {
		var wg sync.WaitGroup
		wg.Go(func() { first.inject(wo, victim, ob) })
		wg.Go(func() { second.inject(wo, victim, ob) })
		wg.Wait()
	}}
}
