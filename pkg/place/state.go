package place

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/pkg/limit"
	"github.com/clementineweir/clementineweir/pkg/roster"
	"github.com/clementineweir/clementineweir/pkg/route"
)

const (
	// failureHalfLife is the half-life of a failure in the count of recent failures.
	failureHalfLife = 4 * time.Second
	// slownessWeight is the weight of the newest sample in state.slowness, a moving average.
	slownessWeight = 0.2
	// minSlowness bounds state.slowness, and maxSlowness a single sample of it.
	minSlowness, maxSlowness = 0.3, 20
	// usualInactivity is the time without data from an endpoint, while requests are in flight there, that is not penalized. The prefill of a
	// long prompt takes about as long.
	usualInactivity = 400 * time.Millisecond
	// cacheShare is the part of an endpoint's KV memory that is assumed to hold cached prompts.
	cacheShare = 0.6
	// defaultKVCapacity is the size of an endpoint's KV memory, in tokens, if the configuration does not set it.
	defaultKVCapacity = 400_000
)

// state is what this instance knows of one process of an endpoint.
type state struct {
	endpoint roster.Endpoint
	// hash is the hash of the endpoint's ID.
	hash    uint64
	circuit route.Circuit
	// running is the number of this instance's requests in flight at the endpoint.
	running int
	// prefillBacklog is the sum of the uncached prompt tokens of those requests of this instance that wait for their first event.
	prefillBacklog int64
	cache          cache
	// failures is the count of failures at the time failuresAt, weighted by their kind (see Attempt.End). recentFailures computes the current
	// count, which decays with failureHalfLife.
	failures   float64
	failuresAt time.Duration
	// slowness is the moving average of the ratio of measured to expected times to the first event, where the expected times contain what the endpoint
	// said of its work (see workFactor), so that this is not counted twice.
	slowness float64
	// prefillRatio is the moving average of the logarithm of the same ratio for the requests that measure the prefill rate; rateMeasured is true after the
	// first of them.
	prefillRatio float64
	rateMeasured bool
	// latency is the moving average of the latency of a plain service.
	latency time.Duration
	// load is the newest load that the endpoint reported, received at loadAt.
	load   Load
	loadAt time.Duration
	// work is what the endpoint said of the duration of its work.
	work work
	// service is what is known of all endpoints of the service together.
	service *estimate
	// lag is how late this instance itself runs.
	lag *lag
	// lastActivity is the time at which the endpoint last sent data to this instance. If no request of this instance is in flight, the next
	// one sets it to its start.
	lastActivity atomic.Int64
	// runningAtLoad is the value of running at loadAt.
	runningAtLoad int
	// peerTokens is the estimated prefill backlog of requests that peers sent to the endpoint, at the time peerTokensAt, in tokens.
	peerTokens   float64
	peerTokensAt time.Duration
	// rateLimit is the rate limit that the endpoint has named for all instances together.
	rateLimit limit.Belief
	// permits are this instance's permits for requests to the endpoint while it has a rate limit.
	permits limit.Permits
	// brittle is what is known of the endpoint's brittleness.
	brittle brittleState
	// refusesUntil is the time until which the endpoint wants no requests from this instance.
	refusesUntil time.Duration
	// rateNoticeAt is the time of the last notice of the rate limit, sent or received.
	rateNoticeAt time.Duration
}

// newState returns the state of a process that has no requests yet; capacity is the size of its KV memory in tokens, zero if unknown.
func newState(en roster.Endpoint, capacity int64, service *estimate, la *lag) *state {
	if capacity <= 0 {
		capacity = defaultKVCapacity
	}
	return &state{endpoint: en, hash: xxhash.Sum64String(en.ID), cache: newCache(int64(float64(capacity) * cacheShare)), slowness: 1, service: service, lag: la}
}

// inactivity returns the time since the endpoint last sent data to this instance, less usualInactivity and the lag of this instance, but at least zero. It is also zero
// if no request of this instance is in flight there.
func (st *state) inactivity(now time.Duration) time.Duration {
	if st.running == 0 {
		return 0
	}
	return max(0, now-time.Duration(st.lastActivity.Load())-usualInactivity-st.lag.at(now))
}

func (st *state) recordFailure(now time.Duration, weight float64) {
	st.failures = st.recentFailures(now) + weight
	st.failuresAt = now
}

func (st *state) recentFailures(now time.Duration) float64 {
	if st.failures == 0 {
		return 0
	}
	return st.failures * math.Exp2(-(now-st.failuresAt).Seconds()/failureHalfLife.Seconds())
}

// recordTime updates the slowness with a measured time to the first event; expected is the time expected at slowness 1.
func (st *state) recordTime(expected, measured time.Duration) {
	if expected <= 0 {
		return
	}
	sample := min(float64(measured)/float64(expected), maxSlowness)
	st.slowness = max(minSlowness, st.slowness*(1-slownessWeight)+sample*slownessWeight)
}
