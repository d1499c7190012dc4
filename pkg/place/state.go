package place

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
	"github.com/clementineweir/clementineweir/pkg/route"
)

const (
	// failureHalfLife is the half-life of the count of recent failures.
	failureHalfLife = 4 * time.Second
	// slownessWeight is the weight of the newest sample in the moving average of the slowness.
	slownessWeight = 0.2
	// maxSlowness bounds a single sample of the slowness.
	maxSlowness = 20
	// loadSpan is the time after which a reported load is stale; each response brings a new one.
	loadSpan = 1500 * time.Millisecond
	// usualInactivity is how long an endpoint with requests may send nothing without a penalty: the prefill of a long prompt takes about
	// as long.
	usualInactivity = 400 * time.Millisecond
	// cacheShare is the part of an endpoint's KV memory that is assumed to hold cached prompts.
	cacheShare = 0.6
	// defaultKVCapacity is the KV memory of an endpoint, in tokens, if the configuration does not say.
	defaultKVCapacity = 400_000
)

// state is what this instance knows of one process of an endpoint.
type state struct {
	endpoint roster.Endpoint
	circuit  route.Circuit
	// running is the number of this instance's requests in flight at the endpoint.
	running int
	// prefillBacklog is the number of uncached prompt tokens of own requests that have not had their first event.
	prefillBacklog int64
	cache          cache
	// failures is the weighted count of failures, as of failuresAt; it decays with failureHalfLife.
	failures   float64
	failuresAt time.Duration
	// slowness is the moving average of the ratio of measured to expected times.
	slowness float64
	// latency is the moving average of the latency of a plain service.
	latency time.Duration
	// load is what the endpoint reported at loadAt.
	load   Load
	loadAt time.Duration
	// lastActivity is when the endpoint last sent data for an own request, or got the first request after it had none.
	lastActivity atomic.Int64
	// ownAtLoad is the value of running at loadAt.
	ownAtLoad int
	// peerTokens is the number of uncached prompt tokens that peers reported to have sent here and that were not prefilled yet, as of
	// peerTokensAt.
	peerTokens   float64
	peerTokensAt time.Duration
}

func newState(en roster.Endpoint, capacity int64) *state {
	if capacity <= 0 {
		capacity = defaultKVCapacity
	}
	return &state{endpoint: en, cache: newCache(int64(float64(capacity) * cacheShare)), slowness: 1}
}

// otherRequests returns the number of requests of other instances at the endpoint by the last reported load, zero if that is stale.
func (st *state) otherRequests(now time.Duration) int {
	if st.loadAt == 0 || now-st.loadAt > loadSpan {
		return 0
	}
	return max(0, st.load.Running+st.load.Waiting-st.ownAtLoad)
}

// inactivity returns for how much longer than usual the endpoint has sent nothing, while it has own requests.
func (st *state) inactivity(now time.Duration) time.Duration {
	if st.running == 0 {
		return 0
	}
	return max(0, now-time.Duration(st.lastActivity.Load())-usualInactivity)
}

// waiting returns the number of requests in the endpoint's queue by the last reported load, zero if that is stale.
func (st *state) waiting(now time.Duration) int {
	if st.loadAt == 0 || now-st.loadAt > loadSpan {
		return 0
	}
	return st.load.Waiting
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

// recordTime adds a sample of the time to the first event, with the time expected at slowness 1, to the slowness.
func (st *state) recordTime(expected, measured time.Duration) {
	if expected <= 0 {
		return
	}
	sample := min(float64(measured)/float64(expected), maxSlowness)
	st.slowness = max(0.3, st.slowness*(1-slownessWeight)+sample*slownessWeight)
}
