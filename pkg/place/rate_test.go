package place

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// unevenFactors are how long work takes at the endpoints of uneven speed, in turn, as factors of the usual time.
var unevenFactors = []float64{1, 0.7, 1, 1.7, 1}

// serveLong sends prompts without shared parts one after the other through the balancer, to endpoints of the given rate and of uneven speed. Each prompt can
// go to two of ten endpoints. The instance is late by the lag when it
// sends a request and when it reads the first event.
func serveLong(ba *Balancer, count int, rate float64, lag time.Duration) (refused int) {
	list, now := endpoints(10), time.Second
	for number := range count {
		rq := Request{
			Prompt: int64(2500 + number%7*1000), Output: 10, Domain: "zone-a", TimeLeft: time.Second,
			Parts: []Part{{ID: uint64(1e6 + number), Tokens: int64(2500 + number%7*1000)}},
		}
		for index, en := range list {
			if index != number%10 && index != number*3%10 {
				rq.Tried = append(rq.Tried, en.ID)
			}
		}
		if lag > 0 {
			ba.SetLag(now, lag)
		}
		de := ba.Pick(now, model, list, rq)
		if de.Endpoint == nil {
			refused++
			now += de.RetryAfter
			continue
		}
		at := ba.Begin(now, model, rq, de)
		var index int
		_, _ = fmt.Sscanf(de.Endpoint.ID, "endpoint-%d", &index)
		usual := initialFirstEventBase + time.Duration(float64(rq.Prompt)/rate*float64(time.Millisecond)) + attentionTime(rq.Prompt, rq.Prompt)
		now += time.Duration(float64(usual)*unevenFactors[index%len(unevenFactors)]) + 2*lag
		if lag > 0 {
			ba.SetLag(now, lag)
		}
		at.RecordFirstEvent(now)
		at.End(now, Canceled)
	}
	return refused
}

// checkTimes checks the expected times of long prompts at endpoints of the given rate and of uneven speed against the real ones; atLeast is the minimum ratio.
func checkTimes(tt *testing.T, ba *Balancer, rate, atLeast float64) {
	tt.Helper()
	for index, factor := range unevenFactors {
		st := ba.states[fmt.Sprint("endpoint-", index)]
		got, want := st.service.prefillTime(10_000).Seconds()*st.slowness*1000, 10_000/rate*factor
		if got < want*atLeast || got > max(want, 10_000/rate)*1.3 {
			tt.Errorf("10,000 tokens at the endpoint of factor %.1f are expected to take %.0f ms, want about %.0f", factor, got, want)
		}
	}
}

// TestLearnedRate serves long prompts at endpoints of uneven speed, whose usual rates are those of the deployments. The balancer must learn the usual rate and
// which endpoints are slower, so that queue limits and backlogs are right also for endpoints that it has not used yet.
func TestLearnedRate(tt *testing.T) {
	for _, rate := range []float64{61.8, 81.9, 157} {
		tt.Run(fmt.Sprint(rate), func(tt *testing.T) {
			ba := NewBalancer()
			serveLong(ba, 400, rate, 0)
			if got := ba.estimate("model").rate; math.Abs(math.Log(got/rate)) > 0.3 {
				tt.Errorf("learned a rate of %.1f tokens a ms, want about %.1f", got, rate)
			}
			checkTimes(tt, ba, rate, 0.75)
		})
	}
}

// TestLateInstance serves long prompts through an instance that is itself late, as on a small machine without processor time. It must neither learn that the
// endpoints are slow nor refuse requests for that reason.
func TestLateInstance(tt *testing.T) {
	for _, lag := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond} {
		tt.Run(lag.String(), func(tt *testing.T) {
			ba := NewBalancer()
			if refused := serveLong(ba, 200, initialPrefillRate, lag); refused > 0 {
				tt.Errorf("%d requests were refused", refused)
			}
			if got := ba.estimate("model").rate; got < initialPrefillRate*0.8 {
				tt.Errorf("learned a rate of %.1f tokens a ms, want about %d", got, initialPrefillRate)
			}
			checkTimes(tt, ba, initialPrefillRate, 0)
		})
	}
}

// TestFrozenInstance freezes the instance once during a request. The one large lag must not count against the endpoint, nor against times measured later.
func TestFrozenInstance(tt *testing.T) {
	ba, list := NewBalancer(), endpoints(1)
	rq := Request{Prompt: 3000, Domain: "zone-a", TimeLeft: time.Minute}
	de := ba.Pick(time.Second, model, list, rq)
	at := ba.Begin(time.Second, model, rq, de)
	ba.SetLag(11*time.Second, 10*time.Second)
	ba.SetLag(11*time.Second+time.Millisecond, 0)
	at.RecordFirstEvent(11*time.Second + 2*time.Millisecond)
	at.End(11*time.Second+2*time.Millisecond, Canceled)
	if got := at.state.slowness; got != 1 {
		tt.Errorf("after the freeze the slowness is %.2f, want 1", got)
	}
	now := 12 * time.Second
	at = ba.Begin(now, model, rq, ba.Pick(now, model, list, rq))
	at.RecordFirstEvent(now + 2*de.TimeToFirstEvent)
	at.End(now, Canceled)
	if got := ba.Pick(now, model, list, rq).TimeToFirstEvent; got <= de.TimeToFirstEvent {
		tt.Errorf("after a later time of twice the expected, %s are expected, want more than %s", got, de.TimeToFirstEvent)
	}
}

// TestLearnedFirstEventBase guards against endpoints whose first event takes long, whatever the prompt: with a constant base, their prefill rate seemed to be
// a third of the real one, so that the queue of an endpoint seemed three times as long and requests were refused in vain.
func TestLearnedFirstEventBase(tt *testing.T) {
	const rate = 82.0
	for _, base := range []time.Duration{4 * time.Millisecond, 26 * time.Millisecond, 50 * time.Millisecond} {
		tt.Run(base.String(), func(tt *testing.T) {
			ba, list, now := NewBalancer(), endpoints(10), time.Second
			for number := range 1200 {
				tokens := int64(200)
				if number%2 == 0 {
					tokens = int64(2500 + number%7*1000)
				}
				rq := Request{Prompt: tokens, Output: 10, Domain: "zone-a", TimeLeft: time.Second, Parts: []Part{{ID: uint64(1e6 + number), Tokens: tokens}}}
				for index, en := range list {
					if index != number/2%10 && index != number*3%10 {
						rq.Tried = append(rq.Tried, en.ID)
					}
				}
				de := ba.Pick(now, model, list, rq)
				if de.Endpoint == nil {
					tt.Fatalf("request %d was refused by idle endpoints: %s", number, de.Reason)
				}
				at := ba.Begin(now, model, rq, de)
				usual := base + time.Duration(float64(tokens)/rate*float64(time.Millisecond)) + attentionTime(tokens, tokens)
				if number%7 == 0 {
					// The endpoint is disturbed for a moment.
					usual *= 2
				}
				now += usual
				at.RecordFirstEvent(now)
				at.End(now, Canceled)
			}
			es := ba.estimate(model.Name)
			if es.base < base*7/10 || es.base > base*14/10 {
				tt.Errorf("learned base %s, want about %s", es.base, base)
			}
			if es.rate < rate*0.7 || es.rate > rate*1.4 {
				tt.Errorf("learned rate %.1f tokens a ms, want about %.1f", es.rate, rate)
			}
		})
	}
}
