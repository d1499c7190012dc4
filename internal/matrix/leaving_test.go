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

// noticeDelay is the maximum time until every instance must know that an endpoint is leaving (draining).
const noticeDelay = 5 * time.Second

// TestLeavingEndpointGetsNoNewWork marks an endpoint as leaving: in the platform's list, by a ticket, and by the endpoint itself. After
// noticeDelay the endpoint must get no new requests, and all requests must still be served.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(wo *world)
	}{
		{"by the platform's list", func(wo *world) {
			wo.emulator.List.Set([]plat.ListedInstance{{Address: "http://" + endpointAddress(0), State: plat.StateLeaving}})
		}},
		{"by a ticket", func(wo *world) {
			en := wo.emulator.Ticket().Endpoints[0]
			en.Leaving = true
			wo.publish(ticket.Ticket{Number: 2, Author: "operator", Endpoints: []ticket.Endpoint{en}})
		}},
		{"by its own report", func(wo *world) { wo.emulator.Runners[0].SetFaults(fakes.RunnerFaults{Leaving: true}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWorld(t, "birligi", nil, func(wo *world) {
				wo.sendAll(40, leavingCall)
				if len(wo.emulator.Runners[0].Runs()) == 0 {
					t.Error("the endpoint got no requests before it was marked as leaving, so the test shows nothing")
				}
				tt.leave(wo)
				time.Sleep(noticeDelay)
				before := len(wo.emulator.Runners[0].Runs())
				for ix, rp := range wo.sendAll(80, leavingCall) {
					if !rp.complete {
						t.Errorf("request %d did not get a complete response: %s", ix, rp)
					}
				}
				if after := len(wo.emulator.Runners[0].Runs()); after != before {
					t.Errorf("the leaving endpoint got %d new requests, want none", after-before)
				}
			})
		})
	}
}

func leavingCall(ix int) (int, call) {
	return ix % instances, call{team: 1, class: "question", prompt: fmt.Sprintf("call %d answer=60", ix)}
}

const (
	// appendRequests is the number of requests of TestAppendRate, requestInterval the time between two of them.
	appendRequests  = 5000
	requestInterval = 2 * time.Millisecond
	// maxAppendsPerSecond is the maximum rate of appends of all four instances together, at 500 requests a second.
	maxAppendsPerSecond = 100
)

// TestAppendRate sends 500 requests a second to four instances and checks that the rate of appends to the log stays within maxAppendsPerSecond.
func TestAppendRate(t *testing.T) {
	runWorld(t, "virtanen", nil, func(wo *world) {
		before := wo.emulator.Log.Appends()
		begin := time.Now()
		done := make(chan response, appendRequests)
		for ix := range appendRequests {
			go func() {
				done <- wo.send(context.Background(), ix%instances, call{team: 1, class: "question", prompt: fmt.Sprintf("call %d answer=4", ix)})
			}()
			time.Sleep(requestInterval)
		}
		span := time.Since(begin)
		appends := wo.emulator.Log.Appends() - before
		for range appendRequests {
			if rp := <-done; !rp.complete {
				t.Errorf("a request got no complete response: %s", rp)
			}
		}
		rate := float64(appends) / span.Seconds()
		t.Logf("%.1f appends to the log a second at %.0f requests a second", rate, appendRequests/span.Seconds())
		if rate > maxAppendsPerSecond {
			t.Errorf("%.1f appends to the log a second, want at most %d", rate, maxAppendsPerSecond)
		}
	})
}
