package place

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
	"github.com/clementineweir/clementineweir/pkg/route"
)

const (
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 4 * time.Second
	// slownessWeight is the weight of the newest sample in the measured slowness.
	slownessWeight = 0.2
	// maxSlowness bounds what one bad sample can say.
	maxSlowness = 20
	// loadSpan is how long a reported load is believed; it is replaced by the next answer.
	loadSpan = 1500 * time.Millisecond
	// usualInactivity is how long a busy endpoint may send nothing: a long prompt delays first events by about as much.
	usualInactivity = 400 * time.Millisecond
	// cacheShare is the part of an endpoint's memory that is assumed to hold prompts.
	cacheShare = 0.6
	// defaultKVCapacity stands in for the memory of an endpoint that the configuration does not tell, in tokens.
	defaultKVCapacity = 400_000
)

// state is what this instance knows of one life of an endpoint.
type state struct {
	endpoint roster.Endpoint
	circuit  route.Circuit
	running  int
	// prefillBacklog are the prompt tokens of own requests before their first event.
	prefillBacklog int64
	cache          cache
	// failures decays with failureHalfLife.
	failures   float64
	failuresAt time.Duration
	// slowness is the measured time against the expected one.
	slowness float64
	// latency is the measured time of a plain service.
	latency time.Duration
	load    Load
	loadAt  time.Duration
	// lastActivity is when the endpoint last sent anything while it had own requests, or when the first of these was sent.
	lastActivity atomic.Int64
	ownAtLoad    int
	// peerTokens is what other instances said that they have sent here, in prompt tokens, as of toldAt.
	peerTokens   float64
	peerTokensAt time.Duration
}

func newState(en roster.Endpoint, memory int64) *state {
	if memory <= 0 {
		memory = defaultKVCapacity
	}
	return &state{endpoint: en, cache: newCache(int64(float64(memory) * cacheShare)), slowness: 1}
}

// otherRequests returns how many requests of other instances the endpoint was last known to have.
func (st *state) otherRequests(now time.Duration) int {
	if st.loadAt == 0 || now-st.loadAt > loadSpan {
		return 0
	}
	return max(0, st.load.Running+st.load.Waiting-st.ownAtLoad)
}

// inactivity returns for how long the endpoint has been silent beyond what is usual, with own requests on it.
func (st *state) inactivity(now time.Duration) time.Duration {
	if st.running == 0 {
		return 0
	}
	return max(0, now-time.Duration(st.lastActivity.Load())-usualInactivity)
}

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

func (st *state) recordTime(expected, measured time.Duration) {
	if expected <= 0 {
		return
	}
	sample := min(float64(measured)/float64(expected), maxSlowness)
	st.slowness = max(0.3, st.slowness*(1-slownessWeight)+sample*slownessWeight)
}
