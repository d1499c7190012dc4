package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedFleet is a number of instances in virtual time that all send requests to one limited endpoint as often as they get permits.
type simulatedFleet struct {
	random    *rand.Rand
	perSecond float64
	// demand is the number of requests a second at each instance that could be sent to the endpoint.
	demand  float64
	issuers []*Issuer
	permits []Permits
	nextAt  []time.Duration
	// switchAt is the time at which each instance begins to ask the second issuer instead of the first one.
	switchAt []time.Duration
	// firstDead is the time from which the first issuer does not answer.
	firstDead time.Duration
	sent      []time.Duration
	bySender  []int
	asks      int
}

func newSimulatedFleet(instances int, perSecond, demand float64, seed uint64) *simulatedFleet {
	sf := &simulatedFleet{
		random: rand.New(rand.NewPCG(seed, 1)), perSecond: perSecond, demand: demand, issuers: []*Issuer{NewIssuer(), NewIssuer()},
		permits: make([]Permits, instances), nextAt: make([]time.Duration, instances), switchAt: make([]time.Duration, instances),
		firstDead: time.Hour, bySender: make([]int, instances),
	}
	for ix := range instances {
		sf.switchAt[ix] = time.Hour
		sf.nextAt[ix] = sf.gap()
	}
	return sf
}

func (sf *simulatedFleet) gap() time.Duration {
	return time.Duration(sf.random.ExpFloat64() * float64(time.Second) / sf.demand)
}

// run simulates the fleet in steps of a millisecond.
func (sf *simulatedFleet) run(length time.Duration) {
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for ix := range sf.permits {
			if now >= sf.nextAt[ix] {
				sf.nextAt[ix] = now + sf.gap()
				sf.request(now, ix)
			}
		}
	}
}

// request sends one request of an instance if it has a permit, and otherwise asks for one.
func (sf *simulatedFleet) request(now time.Duration, ix int) {
	pe := &sf.permits[ix]
	if pe.Usable(now) {
		pe.Take()
		sf.sent = append(sf.sent, now)
		sf.bySender[ix]++
		return
	}
	if !pe.Due(now) {
		return
	}
	number := 0
	if now >= sf.switchAt[ix] {
		number = 1
	}
	if number == 0 && now >= sf.firstDead {
		pe.EndAsk(now, now, "", Grant{Retry: 300 * time.Millisecond})
		return
	}
	sf.asks++
	name := fmt.Sprint("issuer-", number)
	ask := pe.BeginAsk(now, "process", sf.perSecond).WithIssuer(name)
	pe.EndAsk(now, now, name, sf.issuers[number].Issue(now, fmt.Sprint("instance-", ix), ask))
}

// most returns the maximum number of requests in any span of the given length from a time on.
func (sf *simulatedFleet) most(from, span time.Duration) int {
	most, first := 0, 0
	for ix, at := range sf.sent {
		for at-sf.sent[first] >= span || sf.sent[first] < from && first < ix {
			first++
		}
		if at >= from {
			most = max(most, ix-first+1)
		}
	}
	return most
}

// TestFleetKeepsRateLimit checks that a fleet never sends more than one and a half times the limit, plus five requests, in four seconds, uses
// at least nine tenths of the limit, gives every instance a turn and needs few asks for it, also while the issuer changes.
func TestFleetKeepsRateLimit(tt *testing.T) {
	const window, length = 4 * time.Second, 200 * time.Second
	changes := []struct {
		name  string
		apply func(sf *simulatedFleet)
	}{
		{"one issuer", func(*simulatedFleet) {}},
		{"another instance joins and becomes the issuer, which some learn three seconds later", func(sf *simulatedFleet) {
			for ix := range sf.switchAt {
				sf.switchAt[ix] = 100*time.Second + time.Duration(sf.random.IntN(3000))*time.Millisecond
			}
		}},
		{"half of the instances are cut off from the issuer for good", func(sf *simulatedFleet) {
			for ix := range len(sf.switchAt) / 2 {
				sf.switchAt[ix] = 100 * time.Second
			}
			sf.firstDead = 104 * time.Second
			for ix := len(sf.switchAt) / 2; ix < len(sf.switchAt); ix++ {
				sf.switchAt[ix] = 104 * time.Second
			}
		}},
		{"the issuer dies", func(sf *simulatedFleet) {
			sf.firstDead = 100 * time.Second
			for ix := range sf.switchAt {
				sf.switchAt[ix] = 100*time.Second + time.Duration(sf.random.IntN(1000))*time.Millisecond
			}
		}},
	}
	for _, instances := range []int{1, 4, 31} {
		for _, perSecond := range []float64{0.4, 1.9, 2.5, 20, 200} {
			for _, ch := range changes {
				tt.Run(fmt.Sprintf("%d instances/%g a second/%s", instances, perSecond, ch.name), func(tt *testing.T) {
					sf := newSimulatedFleet(instances, perSecond, max(5, 4*perSecond/float64(instances)), 7)
					ch.apply(sf)
					sf.run(length)
					if got, want := sf.most(0, window), int(1.5*perSecond*window.Seconds())+5; got > want {
						tt.Errorf("%d requests in %s, want at most %d", got, window, want)
					}
					if got, want := float64(len(sf.sent))/length.Seconds(), 0.9*perSecond; got < want {
						tt.Errorf("%.2f requests a second, want at least %.2f", got, want)
					}
					// Otherwise the asks of a large fleet would cost more than the requests.
					if want := 4*len(sf.sent) + 10*instances; sf.asks > want {
						tt.Errorf("%d asks for %d requests, want at most %d", sf.asks, len(sf.sent), want)
					}
					for ix, count := range sf.bySender {
						if want := int(0.3 * perSecond * length.Seconds() / float64(instances)); count < want {
							tt.Errorf("instance %d sent %d requests, want at least %d, a third of an equal share", ix, count, want)
						}
					}
				})
			}
		}
	}
}
