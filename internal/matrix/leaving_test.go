package matrix

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/internal/plat"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// noticeSpan is the time in which every instance must know that an endpoint is leaving.
const noticeSpan = 5 * time.Second

// TestLeavingEndpointGetsNoNewWork lets an endpoint leave by each source that can say so.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(wo *world)
	}{
		{"by the platform's list", func(wo *world) {
			wo.em.List.Set([]plat.ListedInstance{{Address: "http://" + endpointAddress(0), State: plat.StateLeaving}})
		}},
		{"by a ticket", func(wo *world) {
			en := wo.em.Ticket().Endpoints[0]
			en.Leaving = true
			wo.publish(ticket.Ticket{Number: 2, Author: "operator", Endpoints: []ticket.Endpoint{en}})
		}},
		{"by its own report", func(wo *world) { wo.em.Runners[0].SetFaults(fakes.RunnerFaults{Leaving: true}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWorld(t, "birligi", nil, func(wo *world) {
				wo.sendAll(40, leavingCall)
				if len(wo.em.Runners[0].Runs()) == 0 {
					t.Error("the endpoint got no work before it left")
				}
				tt.leave(wo)
				time.Sleep(noticeSpan)
				before := len(wo.em.Runners[0].Runs())
				for ix, an := range wo.sendAll(80, leavingCall) {
					if !an.whole {
						t.Errorf("call %d: %s", ix, an)
					}
				}
				if after := len(wo.em.Runners[0].Runs()); after != before {
					t.Errorf("the leaving endpoint got %d requests", after-before)
				}
			})
		})
	}
}

func leavingCall(ix int) (int, call) {
	return ix % instances, call{team: 1, class: "question", prompt: fmt.Sprintf("call %d answer=60", ix)}
}

const (
	appendRequests = 5000
	appendPause    = 2 * time.Millisecond
	// maxAppendsPerSecond is the target for four instances at 500 requests a second.
	maxAppendsPerSecond = 100
)

// TestAppendRate sends 500 requests a second to four instances and counts the appends that the log took.
func TestAppendRate(t *testing.T) {
	runWorld(t, "virtanen", nil, func(wo *world) {
		before := wo.em.Log.Appends()
		begin := time.Now()
		done := make(chan answer, appendRequests)
		for ix := range appendRequests {
			go func() {
				done <- wo.send(context.Background(), ix%instances, call{team: 1, class: "question", prompt: fmt.Sprintf("call %d answer=4", ix)})
			}()
			time.Sleep(appendPause)
		}
		span := time.Since(begin)
		appends := wo.em.Log.Appends() - before
		for range appendRequests {
			if an := <-done; !an.whole {
				t.Errorf("not served: %s", an)
			}
		}
		rate := float64(appends) / span.Seconds()
		t.Logf("%.1f appends a second at %.0f requests a second", rate, appendRequests/span.Seconds())
		if rate > maxAppendsPerSecond {
			t.Errorf("%.1f appends a second, at most %d are allowed", rate, maxAppendsPerSecond)
		}
	})
}
