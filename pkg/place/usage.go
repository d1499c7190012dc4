package place

import (
	"math"
	"time"
)

const (
	// usageSpan is the span over which the requests of this instance at a service are averaged.
	usageSpan = 2 * time.Second
	// quietDeviations is the number of standard deviations by which the requests of all instances must stay below the slots of an endpoint for the
	// service to count as quiet.
	quietDeviations = 3
)

// usage measures how many requests this instance has at all endpoints of a service.
type usage struct {
	running   int
	endpoints int
	// average is the moving average of running, at the time averagedAt.
	average    float64
	averagedAt time.Duration
}

// change records that a request has begun (1) or ended (-1).
func (us *usage) change(now time.Duration, by int) {
	us.average, us.averagedAt = us.at(now), now
	us.running += by
}

// at returns the moving average at the given time.
func (us *usage) at(now time.Duration) float64 {
	weight := math.Exp(-float64(now-us.averagedAt) / float64(usageSpan))
	return us.average*weight + float64(us.running)*(1-weight)
}

// quiet reports whether all instances together probably have so few requests at each endpoint of a service that they need not know of each other's, if
// each has about as many as this one.
func (fl *fleet) quiet(service string, now time.Duration, slots int) bool {
	us := fl.usage[service]
	if us == nil || us.endpoints == 0 {
		return true
	}
	expected := float64(fl.instances) * max(us.at(now), float64(us.running)) / float64(us.endpoints)
	return expected+quietDeviations*math.Sqrt(expected) < float64(slots)
}

// service returns the usage of a service.
func (fl *fleet) service(name string) *usage {
	us, ok := fl.usage[name]
	if !ok {
		us = &usage{}
		fl.usage[name] = us
	}
	return us
}
