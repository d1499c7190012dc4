package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	// stopTime is the time within which requests to a removed endpoint must stop, and leaverWork the time that endpoints take for a request.
	stopTime, leaverWork = 2 * time.Second, 20 * time.Millisecond
	// storeCut is the length of a cut from the store, and removalDelay the time from its end until the registration is removed.
	storeCut, removalDelay = 5 * time.Second, 1500 * time.Millisecond
	// senders is the number of callers.
	senders = 3
)

// refuseStore makes the proxies to the store refuse connections, or ends that.
func (wo *world) refuseStore(refuse bool) {
	fault := stand.NoFault
	if refuse {
		fault = stand.Refusing
	}
	wo.store.SetFault(fault)
}

// stallStore makes the proxies to the store hold all data, or ends that and resets the connections.
func (wo *world) stallStore(stall bool) {
	for _, no := range wo.nodes {
		if stall {
			no.storeProxy.set(stalled)
			continue
		}
		no.storeProxy.set(passing)
		no.storeProxy.reset()
	}
}

// TestRemovedEndpointAfterCut guards against requests to an endpoint whose registration was removed soon after the instances reached the store again.
func TestRemovedEndpointAfterCut(tt *testing.T) {
	cases := []struct {
		name string
		cut  func(wo *world, begin bool)
	}{
		{"the store refuses", (*world).refuseStore},
		{"connections to the store are silent", (*world).stallStore},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tt.Parallel()
			wo := newWorld(tt, 0, 1000)
			wo.deregisterOthers()
			wo.configure()
			leaving := wo.register(stand.EndpointConfig{ID: "leaving", Service: "plain", Domain: "zone-a", Slots: 32, Version: versions[0]})
			// Without peers, nothing but its own reads tells the instance that it reaches the store again.
			wo.addNode("instance")
			awaitReady(tt, wo)
			for _, en := range append(wo.plainEndpoints, leaving) {
				en.SetWork(leaverWork)
			}
			stop := make(chan struct{})
			var group sync.WaitGroup
			var mu sync.Mutex
			sentAt := map[string]time.Time{}
			no := wo.nodes[0]
			for range senders {
				group.Go(func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(leaverWork):
						}
						mu.Lock()
						id := fmt.Sprint("request-", len(sentAt))
						sentAt[id] = time.Now()
						mu.Unlock()
						wo.sendLate(no, lateRequest{id: id, route: "unsafe", client: http.DefaultClient})
					}
				})
			}
			wo.await("the endpoint gets requests", func() bool { return len(leaving.Runs()) > 0 })
			tc.cut(wo, true)
			time.Sleep(storeCut)
			tc.cut(wo, false)
			time.Sleep(removalDelay)
			removed := time.Now()
			wo.store.Put(wire.RegistrationTopic, "leaving", nil)
			time.Sleep(2 * stopTime)
			close(stop)
			group.Wait()
			for _, ru := range leaving.Runs() {
				if after := sentAt[ru.ID].Sub(removed); after > stopTime {
					tt.Errorf("request %s reached the endpoint, although it was sent %s after the registration was removed, want at most %s", ru.ID, after, stopTime)
				}
			}
			if tt.Failed() {
				tt.Logf("the log ends with\n%s", no.logEnd())
			}
		})
	}
}
