package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/shed"
)

// downlink simulates the incoming direction of an instance's link, whose load in relation to its rate is given.
type downlink struct {
	shedder  *shed.Shedder
	balancer *Balancer
	now      time.Duration
	load     float64
	// queued is how long bytes wait in front of the link.
	queued time.Duration
}

const (
	downlinkRate  = 10e6 / 8
	downlinkProbe = 40 * time.Millisecond
)

// run lets time pass, with the probes that tell the balancer of the delay.
func (dl *downlink) run(until time.Duration) {
	for dl.now+downlinkProbe <= until {
		dl.now += downlinkProbe
		dl.queued = min(time.Second, max(0, dl.queued+time.Duration((dl.load-1)*float64(downlinkProbe))))
		used := min(1, dl.load)
		if dl.queued > 0 {
			used = 1
		}
		dl.shedder.RecordRead(shed.Callers, int(used*downlinkRate*downlinkProbe.Seconds()))
		dl.shedder.RecordLag(dl.now, 0)
		dl.balancer.SetLag(dl.now, dl.shedder.Delay(dl.now))
	}
}

// serve sends long prompts one after the other to endpoints of the given rate; their first events wait in front of the link.
func (dl *downlink) serve(tt *testing.T, count int, rate float64) {
	tt.Helper()
	list := endpoints(5)
	for number := range count {
		tokens := int64(2500 + number%7*1000)
		rq := Request{Prompt: tokens, Output: 10, Domain: "zone-a", TimeLeft: 10 * time.Second, Parts: []Part{{ID: uint64(dl.now), Tokens: tokens}}}
		for index, en := range list {
			if index != number%len(list) {
				rq.Tried = append(rq.Tried, en.ID)
			}
		}
		start := dl.now
		de := dl.balancer.Pick(start, model, list, rq)
		if de.Endpoint == nil {
			tt.Fatalf("request %d was refused: %s", number, de.Reason)
		}
		at := dl.balancer.Begin(start, model, rq, de)
		arrives := start + initialFirstEventBase + time.Duration(float64(tokens)/rate*float64(time.Millisecond)) + attentionTime(tokens, tokens)
		dl.run(arrives)
		dl.run(arrives + dl.queued)
		at.RecordFirstEvent(arrives + dl.queued)
		at.End(arrives+dl.queued, Canceled)
		dl.run(dl.now + downlinkProbe)
	}
}

// TestSaturatedDownlink guards against an instance behind a small link that reads first events late because the link is full, learns that the endpoints are
// slow, and refuses requests that they would answer in time.
func TestSaturatedDownlink(tt *testing.T) {
	const rate = 82
	dl := downlink{shedder: shed.New(shed.Config{LinkBytesPerSecond: downlinkRate}), balancer: NewBalancer(), now: time.Second, load: 0.5}
	dl.serve(tt, 300, rate)
	es := dl.balancer.estimate(model.Name)
	learned, base, slowness := es.rate, es.base, map[string]float64{}
	for id, st := range dl.balancer.states {
		slowness[id] = st.slowness
	}
	if learned < rate*0.8 {
		tt.Fatalf("learned a rate of %.1f tokens a ms before the flood, want about %d", learned, rate)
	}
	for _, load := range []float64{3, 0.5} {
		dl.load = load
		dl.serve(tt, 60, rate)
		tt.Run(fmt.Sprintf("at %g of the rate", load), func(tt *testing.T) {
			if es.rate < learned*0.95 || es.base > base*105/100 {
				tt.Errorf("the rate is %.1f tokens a ms and the base %s, before the flood %.1f and %s", es.rate, es.base, learned, base)
			}
			for id, st := range dl.balancer.states {
				if st.slowness > slowness[id]*1.05 {
					tt.Errorf("the slowness of %s is %.2f, before the flood %.2f", id, st.slowness, slowness[id])
				}
			}
		})
	}
}
