package retry

import (
	"sync"
	"time"
)

// Config is the limit on retries for the whole fleet. In any period of length Window, the number of retries to a service must be at most
// Ratio*requests + Headroom, where requests is the number of first attempts to the service.
type Config struct {
	// Ratio is the number of retries allowed for each first attempt.
	Ratio float64
	// Headroom is the number of retries allowed in addition.
	Headroom float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 20
	// usedRatioShare is the part of Config.Ratio that is used. The rest is a margin for requests that the platform counts in another window.
	// The limit of an instance is Ratio * usedRatioShare * requests + Headroom * usedHeadroomShare / instances.
	usedRatioShare = 0.8
	// usedHeadroomShare is the part of Config.Headroom that is divided among the known instances. The rest is for instances that are not
	// known yet.
	usedHeadroomShare = 0.7
)

// Budget is this instance's share of the limit on retries: it decides whether a request may be retried. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	config Config
	// instances is the number of known instances, at least 1.
	instances int
	// started is the time when the counting of requests and retries began.
	started time.Duration
	// lastAt is the time of the last call of RecordRequest or AllowRetry.
	lastAt time.Duration
	// services holds the counts by service.
	services map[string]*window
}

// New returns the budget of a process that starts now. During the first window it allows no headroom, since an earlier incarnation may have
// used it.
func New(config Config, now time.Duration) *Budget {
	return &Budget{config: config, instances: 1, started: now, services: map[string]*window{}}
}

// SetInstances sets the number of known instances, among which the headroom is divided.
func (bu *Budget) SetInstances(count int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.instances = max(1, count)
}

// SetConfig sets another limit; the counts are kept unless the window changes.
func (bu *Budget) SetConfig(config Config) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if config.Window != bu.config.Window {
		// The counts are lost, since buckets of another length cannot be used. So there is no headroom again during the first window.
		bu.services = map[string]*window{}
		bu.started = bu.lastAt
	}
	bu.config = config
}

// RecordRequest counts the first attempt of a request to the service.
func (bu *Budget) RecordRequest(now time.Duration, service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.window(service).add(bu.slot(now), 1, 0)
}

// AllowRetry reports whether one more retry to the service stays within this instance's share of the limit. If so, it counts the retry.
func (bu *Budget) AllowRetry(now time.Duration, service string) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	slot := bu.slot(now)
	requests, retries := wi.sums(slot)
	limit := bu.config.Ratio * usedRatioShare * requests
	if now-bu.started >= bu.config.Window {
		limit += bu.config.Headroom * usedHeadroomShare / float64(bu.instances)
	}
	if retries+1 > limit {
		return false
	}
	wi.add(slot, 0, 1)
	return true
}

// slot returns the number of the bucket that contains the given time, counted from time zero, and records the time in lastAt.
func (bu *Budget) slot(now time.Duration) int64 {
	bu.lastAt = now
	return int64(now / (bu.config.Window / buckets))
}

func (bu *Budget) window(service string) *window {
	wi, ok := bu.services[service]
	if !ok {
		wi = &window{}
		bu.services[service] = wi
	}
	return wi
}

// bucket holds the counts of one slot, a fixed part of the window.
type bucket struct {
	// slot is the number of the slot, counted from time zero.
	slot     int64
	requests float64
	retries  float64
}

// window counts requests and retries in a ring of buckets. A window that begins in the middle of a bucket overlaps one bucket more than fit
// into it. To stay below the limit, the sum of the retries includes that bucket and the sum of the requests does not.
type window struct {
	ring [buckets + 1]bucket
}

func (wi *window) add(slot int64, requests, retries float64) {
	bu := &wi.ring[slot%(buckets+1)]
	if bu.slot != slot {
		*bu = bucket{slot: slot}
	}
	bu.requests += requests
	bu.retries += retries
}

// sums returns the counts in the window that ends with the given slot.
func (wi *window) sums(slot int64) (requests, retries float64) {
	for _, bu := range wi.ring {
		if bu.slot < slot-buckets || bu.slot > slot {
			continue
		}
		retries += bu.retries
		if bu.slot > slot-buckets {
			requests += bu.requests
		}
	}
	return requests, retries
}
