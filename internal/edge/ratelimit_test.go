package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

const (
	// limitSettleTime is the time from the first response that names a rate limit until the fleet must keep it.
	limitSettleTime = 3 * time.Second
	// limitWindow is the span in which requests to a limited endpoint are counted.
	limitWindow = 4 * time.Second
)

// allowedArrivals returns the maximum number of requests in limitWindow at an endpoint with the given limit in requests a second: one and a half
// times the limit plus five.
func allowedArrivals(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// loopCallers sends streams to all instances until the context ends and returns the number of responses by status.
func (fl *fleet) loopCallers(ctx context.Context, callers int) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	var numbers atomic.Int64
	statuses := map[int]int{}
	for caller := range callers {
		in := fl.instances[caller%len(fl.instances)]
		group.Go(func() {
			for ctx.Err() == nil {
				rs := fl.send(in, request{
					id: fmt.Sprint("limited-", numbers.Add(1)), route: "resume", key: testKey, prompt: 20, output: testEvents * testStride,
				})
				mu.Lock()
				statuses[rs.Status]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return statuses
}

// TestFleetExceedsNamedRateLimit sends many requests through four instances while one of three endpoints names a rate limit. The endpoint must
// get no more than the limit from all instances together, and the other endpoints must serve the rest.
func TestFleetExceedsNamedRateLimit(tt *testing.T) {
	for _, perSecond := range []float64{2.5, 0} {
		tt.Run(fmt.Sprint(perSecond, " a second"), func(tt *testing.T) {
			tt.Parallel()
			fl := newFleet(tt, fleetConfig{instances: 4, prepaid: 50_000_000})
			limited := fl.models[0]
			limited.SetRateLimit(fmt.Sprint(perSecond))
			begun := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), limitSettleTime+2*limitWindow)
			defer cancel()
			statuses := fl.loopCallers(ctx, 16)
			settled := slices.DeleteFunc(limited.Arrivals(), func(ar stand.Arrival) bool { return ar.At.Sub(begun) < limitSettleTime })
			if got, want := stand.MaxArrivals(settled, limitWindow), allowedArrivals(perSecond); got > want {
				tt.Errorf("the endpoint got %d requests in %s, want at most %d", got, limitWindow, want)
			}
			if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
				tt.Errorf("numbers of responses by status: %v, want only 200: two endpoints have no limit", statuses)
			}
		})
	}
}

// TestPermitsAfterIssuerStops stops two of three instances one after the other. One of them may have been the issuer of the permits for the only
// endpoints, which all name rate limits; the remaining instances must go on to get permits.
func TestPermitsAfterIssuerStops(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 3, prepaid: 50_000_000})
	for _, en := range fl.models {
		en.SetRateLimit("5")
	}
	number := 0
	serve := func(in *instance) func() bool {
		return func() bool {
			number++
			rs := fl.send(in, request{id: fmt.Sprint("limited-", number), route: "resume", key: testKey, prompt: 20, output: testEvents * testStride})
			if rs.Status == http.StatusServiceUnavailable && rs.RetryAfter == "" {
				tt.Error("a request was refused without a delay until the retry")
			}
			return rs.Status == http.StatusOK && len(fl.models[0].Arrivals()) > 0
		}
	}
	last := fl.instances[2]
	fl.await("an endpoint has named its limit and serves", serve(last))
	for _, in := range fl.instances[:2] {
		in.stop()
		<-in.done
		before := len(fl.models[0].Arrivals())
		fl.await("the first endpoint gets requests after an instance has stopped", func() bool {
			serve(last)()
			return len(fl.models[0].Arrivals()) > before
		})
	}
}

// TestStartedInstanceExceedsRateLimit sends many requests at once to an instance that has just started while all endpoints name rate limits. It must
// have learned the limits from its peer.
func TestStartedInstanceExceedsRateLimit(tt *testing.T) {
	const burst = 20
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: 50_000_000})
	for _, en := range fl.models {
		en.SetRateLimit("0")
	}
	send := func(in *instance, number int) response {
		return fl.send(in, request{id: fmt.Sprint("limited-", number), route: "resume", key: testKey, prompt: 20, output: testEvents * testStride})
	}
	arrivals := func() int {
		sum := 0
		for _, en := range fl.models {
			sum += len(en.Arrivals())
		}
		return sum
	}
	number := 0
	fl.await("all endpoints have named their limits", func() bool {
		number++
		return send(fl.instances[0], number).Status == http.StatusServiceUnavailable
	})
	started := fl.start("instance-started")
	fl.await("the instance is ready", started.edge.Ready)
	before := arrivals()
	var group sync.WaitGroup
	for ix := range burst {
		group.Go(func() { send(started, 1000+ix) })
	}
	group.Wait()
	// Three endpoints may each get a request from either instance meanwhile.
	if got, want := arrivals()-before, 2*len(fl.models); got > want {
		tt.Errorf("the endpoints got %d requests, want at most %d", got, want)
	}
}
