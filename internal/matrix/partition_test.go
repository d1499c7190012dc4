package matrix

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/internal/admin"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	cutSpan     = 10 * time.Minute
	warmSpan    = 3 * time.Minute
	demandPause = 500 * time.Millisecond
	// maxWrittenOffPermille is the target for an instance loss with proof, in thousandths of the remaining budget.
	maxWrittenOffPermille = 5
)

// draw sends a request of the large team to an instance every half second and counts those that were not served.
func (wo *world) draw(index int, span time.Duration) (served, refused int) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for ix := range int(span / demandPause) {
		wg.Go(func() {
			an := wo.send(context.Background(), index, call{team: 1, class: "question", prompt: fmt.Sprintf("draw %d answer=40", ix)})
			mu.Lock()
			defer mu.Unlock()
			if an.whole {
				served++
			} else {
				refused++
			}
		})
		time.Sleep(demandPause)
	}
	wg.Wait()
	return served, refused
}

// TestCutOffInstanceRefusesNothing cuts an instance from the log and all peers for ten minutes at its usual demand.
func TestCutOffInstanceRefusesNothing(t *testing.T) {
	for _, deployment := range []string{"birligi", "virtanen"} {
		t.Run(deployment, func(t *testing.T) {
			runWorld(t, deployment, nil, func(wo *world) {
				wo.draw(0, warmSpan)
				wo.isolate(0, true, true)
				served, refused := wo.draw(0, cutSpan)
				t.Logf("cut off for %s: %d served, %d refused", cutSpan, served, refused)
				if refused > 0 {
					t.Errorf("%d of %d requests were refused", refused, served+refused)
				}
				wo.heal(0)
				wo.eventually("the cut-off spend settled", func() bool {
					bu := wo.budget(1, "team-1")
					return bu.Overspent == 0 && bu.Billed == wo.runTokens()
				})
			})
		})
	}
}

// TestLostInstanceWritesOffLittle kills an instance at its usual demand and starts another on its address.
func TestLostInstanceWritesOffLittle(t *testing.T) {
	for _, deployment := range []string{"birligi", "virtanen"} {
		t.Run(deployment, func(t *testing.T) {
			runWorld(t, deployment, nil, func(wo *world) {
				wo.publish(smallBudget())
				wo.draw(0, warmSpan)
				lost := wo.status(0).Incarnation
				wo.kill(0)
				time.Sleep(30 * time.Second)
				wo.start(0)
				wo.eventually("the lost incarnation closed", func() bool {
					return wo.nodes[0].daemon.Ready() && !slices.ContainsFunc(wo.status(1).Members, func(me admin.Member) bool { return me.Incarnation == lost })
				})
				for _, bu := range wo.status(1).Budgets {
					remaining := bu.Prepaid - bu.Billed - bu.WrittenOff
					t.Logf("%s: written off %d of %d remaining tokens", bu.Name, bu.WrittenOff, remaining)
					if bu.WrittenOff*1000 > remaining*maxWrittenOffPermille {
						t.Errorf("%s: written off %d of %d remaining tokens", bu.Name, bu.WrittenOff, remaining)
					}
				}
				if wo.budget(1, "team-1").WrittenOff == 0 {
					t.Error("nothing was written off, so the loss was not seen")
				}
			})
		})
	}
}

// smallBudget is a ticket with a budget below the least slack of a ceiling.
func smallBudget() ticket.Ticket {
	return ticket.Ticket{Number: 2, Author: "operator", Budgets: []ticket.Budget{{Name: "small", Team: "team-9", PrepaidTokens: 50_000}}}
}
