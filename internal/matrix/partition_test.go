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
	// partitionDuration is the time for which an instance is cut off, warmUpDuration the time of steady demand before a fault.
	partitionDuration = 10 * time.Minute
	warmUpDuration    = 3 * time.Minute
	// demandInterval is the time between two requests of the steady demand.
	demandInterval = 500 * time.Millisecond
	// maxWrittenOffPermille is the maximum share of a budget's remaining tokens, in thousandths, that may be written off when an
	// incarnation is proven dead.
	maxWrittenOffPermille = 5
)

// sendSteadyDemand sends a request of team-1 to an instance every half second for the given time. It returns the number of requests with
// a complete response (served), and the number of all others (refused).
func (wo *world) sendSteadyDemand(index int, span time.Duration) (served, refused int) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for ix := range int(span / demandInterval) {
		wg.Go(func() {
			rp := wo.send(context.Background(), index, call{team: 1, class: "question", prompt: fmt.Sprintf("draw %d answer=40", ix)})
			mu.Lock()
			defer mu.Unlock()
			if rp.complete {
				served++
			} else {
				refused++
			}
		})
		time.Sleep(demandInterval)
	}
	wg.Wait()
	return served, refused
}

// TestCutOffInstanceRefusesNothing cuts an instance off from the log and all peers for ten minutes, at steady demand. The instance must serve
// every request from the tokens that it holds, and bill them once it is connected again.
func TestCutOffInstanceRefusesNothing(t *testing.T) {
	for _, deployment := range []string{"birligi", "virtanen"} {
		t.Run(deployment, func(t *testing.T) {
			runWorld(t, deployment, nil, func(wo *world) {
				wo.sendSteadyDemand(0, warmUpDuration)
				wo.isolate(0, true, true)
				served, refused := wo.sendSteadyDemand(0, partitionDuration)
				t.Logf("cut off for %s: %d served, %d refused", partitionDuration, served, refused)
				if refused > 0 {
					t.Errorf("%d of %d requests got no complete response during the partition", refused, served+refused)
				}
				wo.heal(0)
				wo.eventually("the tokens spent during the partition are billed, none overspent", func() bool {
					bu := wo.budget(1, "team-1")
					return bu.Overspent == 0 && bu.Billed == wo.runTokens()
				})
			})
		})
	}
}

// TestLostInstanceWritesOffLittle kills an instance at steady demand and restarts it on the same address. The tokens written off for the
// lost incarnation must stay within maxWrittenOffPermille of each budget's remaining tokens.
func TestLostInstanceWritesOffLittle(t *testing.T) {
	for _, deployment := range []string{"birligi", "virtanen"} {
		t.Run(deployment, func(t *testing.T) {
			runWorld(t, deployment, nil, func(wo *world) {
				wo.publish(smallBudget())
				wo.sendSteadyDemand(0, warmUpDuration)
				lost := wo.status(0).Incarnation
				wo.kill(0)
				time.Sleep(30 * time.Second)
				wo.start(0)
				wo.eventually("the lost incarnation is closed", func() bool {
					return wo.nodes[0].daemon.Ready() && !slices.ContainsFunc(wo.status(1).Members, func(me admin.Member) bool { return me.Incarnation == lost })
				})
				for _, bu := range wo.status(1).Budgets {
					remaining := bu.Prepaid - bu.Billed - bu.WrittenOff
					t.Logf("budget %s: written off %d of %d remaining tokens", bu.Name, bu.WrittenOff, remaining)
					if bu.WrittenOff*1000 > remaining*maxWrittenOffPermille {
						t.Errorf("budget %s: %d of %d remaining tokens are written off, more than maxWrittenOffPermille allows", bu.Name, bu.WrittenOff, remaining)
					}
				}
				if wo.budget(1, "team-1").WrittenOff == 0 {
					t.Error("no tokens of team-1 were written off, so the lost incarnation was not detected")
				}
			})
		})
	}
}

// smallBudget returns a ticket whose budget is too small for the minimum slack that the settings give a ceiling (minSlackTokens). The slack
// is limited to a share of the budget's remaining tokens instead, because it is written off after a crash.
func smallBudget() ticket.Ticket {
	return ticket.Ticket{Number: 2, Author: "operator", Budgets: []ticket.Budget{{Name: "small", Team: "team-9", PrepaidTokens: 50_000}}}
}
