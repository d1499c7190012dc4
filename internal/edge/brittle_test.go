package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// TestBrittleEndpointsFallOver sends twice the requests that four brittle endpoints can serve, through four instances. The endpoints may fall over
// twice plus a tenth of their number, and what they can serve must be used.
func TestBrittleEndpointsFallOver(tt *testing.T) {
	const (
		endpoints, instances = 4, 4
		slots                = 4
		pause                = 20 * time.Millisecond
		length               = 8 * time.Second
		// settleTime is the time after which the endpoints let fewer requests wait.
		settleTime = 3 * time.Second
		callers    = 2 * endpoints * slots
		maxFalls   = 2 + endpoints/10
	)
	fl := newFleet(tt, fleetConfig{
		instances: instances, prepaid: 100_000_000, versions: []string{"v1", "v1", "v1", "v1"}, pause: pause, slots: slots,
	})
	for _, en := range fl.models {
		en.SetBrittle("4", slots)
	}
	var served, refused, others atomic.Int64
	var group sync.WaitGroup
	begun := time.Now()
	for caller := range callers {
		group.Go(func() {
			for ix := 0; time.Since(begun) < length; ix++ {
				got := fl.send(fl.instances[caller%instances], request{
					id: fmt.Sprintf("request-%d-%d", caller, ix), route: "stream", key: testKey, prompt: 20, output: testEvents * testStride,
					parts: []string{"aa", fmt.Sprintf("%x", caller*100_000+ix)}, header: map[string]string{stand.HeaderDeadline: patienceMillis},
				})
				switch {
				case time.Since(begun) < settleTime:
				case got.Status == http.StatusOK && got.Complete:
					served.Add(1)
				case got.Status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					others.Add(1)
				}
				if got.Status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(settleTime)
	before := 0
	for _, en := range fl.models {
		en.SetBrittle("4", 1)
		before += len(en.Falls())
	}
	group.Wait()
	falls := -before
	for _, en := range fl.models {
		falls += len(en.Falls())
	}
	tt.Logf("%d falls before and %d after the room shrank; %d served, %d refused, %d others", before, falls, served.Load(), refused.Load(), others.Load())
	if before+falls > maxFalls {
		tt.Errorf("the endpoints fell over %d times, want at most %d", before+falls, maxFalls)
	}
	const most = int64(endpoints * slots * (length - settleTime) / (testEvents * pause))
	if served.Load() < most*6/10 {
		tt.Errorf("%d requests were served, want at least six in ten of the %d that fit into the slots", served.Load(), most)
	}
}
