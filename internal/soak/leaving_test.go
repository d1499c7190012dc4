package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	// drainTime is the time within which an instance must stop to send requests to an endpoint that has said in a response that it leaves.
	drainTime = 2 * time.Second
	// refusalUnderWay is the time after a refusal for which requests to the endpoint are excused.
	refusalUnderWay = 500 * time.Millisecond
	// maxAfterRefusal is the number of requests that an instance may send to an endpoint that wants none.
	maxAfterRefusal = 2
)

// leaver is a model endpoint whose processes say now and then that they leave, or want no requests for some time, and are replaced by others.
type leaver struct {
	endpoint *stand.Endpoint
	spans    []leaverSpan
}

// leaverSpan is a time in which the process of the leaver said so.
type leaverSpan struct {
	from, until time.Time
	leaving     bool
	// delay is the delay of the refusals.
	delay time.Duration
}

// makeLeaver adds a model endpoint that leaves now and then.
func (wo *world) makeLeaver() {
	wo.leaver = &leaver{endpoint: wo.register(stand.EndpointConfig{
		ID: "leaver", Service: "model", Domain: "zone-a", Slots: 32, Events: eventsPerStream, Pause: eventInterval, CrashPart: crashPart, RestartTime: crashTime,
		Version: versions[1],
	})}
}

// allModels returns all model endpoints.
func (wo *world) allModels() []*stand.Endpoint {
	return append([]*stand.Endpoint{wo.brittleEndpoint, wo.leaver.endpoint}, wo.modelEndpoints...)
}

// injectLeaving lets the leaver say in turns that it leaves, after which another process takes its place, and that it wants no requests.
func (wo *world) injectLeaving(random *rand.Rand) {
	en := wo.leaver.endpoint
	ends := time.Now().Add(*lengthFlag)
	for turn := 0; time.Now().Before(ends); turn++ {
		time.Sleep(time.Duration(300+random.IntN(1000)) * time.Millisecond)
		sp := leaverSpan{from: time.Now(), leaving: random.IntN(2) == 0}
		if sp.leaving {
			en.SetLeaving(true)
			time.Sleep(drainTime + time.Duration(random.IntN(2000))*time.Millisecond)
		} else {
			sp.delay = time.Duration(1+random.IntN(3)) * time.Second
			en.SetRetryAfter(fmt.Sprint(sp.delay.Seconds()))
			time.Sleep(sp.delay + time.Duration(random.IntN(500))*time.Millisecond)
		}
		sp.until = time.Now()
		wo.leaver.spans = append(wo.leaver.spans, sp)
		en.SetLeaving(false)
		en.SetRetryAfter("")
		if !sp.leaving {
			continue
		}
		old, id := en.ID(), fmt.Sprint("leaver-", turn)
		en.Replace(id, versions[1])
		wo.store.Put(wire.RegistrationTopic, id, en.Registration(wo.addresses[en], "ready", 1))
		wo.store.Put(wire.RegistrationTopic, old, nil)
	}
}

// checkLeaving checks that instances that ran all the while sent no requests to the leaver after it had said that it leaves, and few after a refusal.
func (wo *world) checkLeaving(jo *journal) {
	calls := map[string]outcome{}
	for _, ou := range jo.list {
		calls[ou.id] = ou
	}
	for _, sp := range wo.leaver.spans {
		for _, no := range wo.nodes {
			if sp.leaving {
				wo.checkDrained(sp, no, calls)
			} else {
				wo.checkRefused(sp, no, calls)
			}
		}
	}
}

// checkDrained checks a span in which the leaver said that it leaves.
func (wo *world) checkDrained(sp leaverSpan, no *node, calls map[string]outcome) {
	passed := time.Time{}
	for _, ru := range wo.leaver.endpoint.Runs() {
		ou := calls[ru.ID]
		if ou.instance == no.name && ou.status == http.StatusOK && ru.BeganAt.After(sp.from) && ru.BeganAt.Before(sp.until) && (passed.IsZero() || ou.headAt.Before(passed)) {
			passed = ou.headAt
		}
	}
	if passed.IsZero() {
		return
	}
	for _, ar := range wo.leaver.endpoint.Arrivals() {
		if calls[ar.ID].instance == no.name && ar.At.After(passed.Add(drainTime)) && ar.At.Before(sp.until) && !no.disturbedBetween(passed, ar.At) {
			wo.tt.Errorf("request %s reached the endpoint from %s %s after a response there said that it leaves", ar.ID, no.name, ar.At.Sub(passed))
		}
	}
}

// checkRefused checks a span in which the leaver wanted no requests.
func (wo *world) checkRefused(sp leaverSpan, no *node, calls map[string]outcome) {
	first, late := time.Time{}, 0
	for _, ar := range wo.leaver.endpoint.Refusals() {
		if calls[ar.ID].instance != no.name || ar.At.Before(sp.from) || ar.At.After(sp.until) {
			continue
		}
		if first.IsZero() {
			first = ar.At
		}
		if ar.At.After(first.Add(refusalUnderWay)) && ar.At.Before(first.Add(sp.delay)) && !no.disturbedBetween(first, ar.At) {
			late++
		}
	}
	if late > maxAfterRefusal {
		wo.tt.Errorf("%d requests reached the endpoint from %s although it wanted none for %s, want at most %d", late, no.name, sp.delay, maxAfterRefusal)
	}
}

// disturbedBetween reports whether the instance was started or got a signal between two times.
func (no *node) disturbedBetween(from, to time.Time) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	for _, at := range no.disturbedAt {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
