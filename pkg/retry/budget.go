package retry

import (
	"sync"
	"time"
)

// Config is the fleet's rule: in any window, repeats of a service stay within Ratio of its requests plus Headroom.
type Config struct {
	Ratio    float64
	Headroom float64
	Window   time.Duration
}

const (
	// buckets is the resolution of the sliding window.
	buckets = 20
	// usedRatioShare is the part of the ratio that is used; the rest covers requests that the platform counts in another window.
	usedRatioShare = 0.8
	// usedHeadroomShare is the part of the headroom that is shared out; the rest covers instances that are not known yet.
	usedHeadroomShare = 0.7
)

// Budget decides whether a request may be sent once more; it is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	config    Config
	instances int
	started   time.Duration
	lastAt    time.Duration
	services  map[string]*window
}

// New returns an allowance of a process that starts now: what an earlier life used is unknown, so its headroom comes after a whole window.
func New(config Config, now time.Duration) *Budget {
	return &Budget{config: config, instances: 1, started: now, services: map[string]*window{}}
}

// SetInstances sets among how many instances the headroom is divided.
func (bu *Budget) SetInstances(count int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.instances = max(1, count)
}

// SetConfig takes another rule; what was counted stays.
func (bu *Budget) SetConfig(config Config) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if config.Window != bu.config.Window {
		// The buckets of another window cannot be compared, so the headroom is earned anew.
		bu.services = map[string]*window{}
		bu.started = bu.lastAt
	}
	bu.config = config
}

// RecordRequest counts a first send of a request.
func (bu *Budget) RecordRequest(now time.Duration, service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.window(service).add(bu.slot(now), 1, 0)
}

// AllowRetry counts a repeat and reports true, or reports false where it would exceed the share.
func (bu *Budget) AllowRetry(now time.Duration, service string) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	wi := bu.window(service)
	slot := bu.slot(now)
	first, repeats := wi.sums(slot)
	bound := bu.config.Ratio * usedRatioShare * first
	if now-bu.started >= bu.config.Window {
		bound += bu.config.Headroom * usedHeadroomShare / float64(bu.instances)
	}
	if repeats+1 > bound {
		return false
	}
	wi.add(slot, 0, 1)
	return true
}

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

type bucket struct {
	slot     int64
	requests float64
	retries  float64
}

// window sums requests over the window, and repeats over one bucket more.
type window struct {
	ring [buckets + 1]bucket
}

func (wi *window) add(slot int64, first, repeats float64) {
	bu := &wi.ring[slot%(buckets+1)]
	if bu.slot != slot {
		*bu = bucket{slot: slot}
	}
	bu.requests += first
	bu.retries += repeats
}

func (wi *window) sums(slot int64) (first, repeats float64) {
	for _, bu := range wi.ring {
		if bu.slot < slot-buckets || bu.slot > slot {
			continue
		}
		repeats += bu.retries
		if bu.slot > slot-buckets {
			first += bu.requests
		}
	}
	return first, repeats
}
