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
	// ratioShare is the part of the ratio that is used; the rest covers requests that the platform counts in another window.
	ratioShare = 0.8
	// headroomShare is the part of the headroom that is shared out; the rest covers instances that are not known yet.
	headroomShare = 0.7
)

// Budget decides whether a request may be sent once more; it is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	config   Config
	peers    int
	started  time.Duration
	last     time.Duration
	services map[string]*window
}

// New returns an allowance of a process that starts now: what an earlier life used is unknown, so its headroom comes after a whole window.
func New(config Config, now time.Duration) *Budget {
	return &Budget{config: config, peers: 1, started: now, services: map[string]*window{}}
}

// SetInstances sets among how many instances the headroom is divided.
func (al *Budget) SetInstances(count int) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.peers = max(1, count)
}

// SetConfig takes another rule; what was counted stays.
func (al *Budget) SetConfig(config Config) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if config.Window != al.config.Window {
		// The buckets of another window cannot be compared, so the headroom is earned anew.
		al.services = map[string]*window{}
		al.started = al.last
	}
	al.config = config
}

// RecordRequest counts a first send of a request.
func (al *Budget) RecordRequest(now time.Duration, service string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.window(service).add(al.slot(now), 1, 0)
}

// AllowRetry counts a repeat and reports true, or reports false where it would exceed the share.
func (al *Budget) AllowRetry(now time.Duration, service string) bool {
	al.mu.Lock()
	defer al.mu.Unlock()
	wi := al.window(service)
	slot := al.slot(now)
	first, repeats := wi.sums(slot)
	bound := al.config.Ratio * ratioShare * first
	if now-al.started >= al.config.Window {
		bound += al.config.Headroom * headroomShare / float64(al.peers)
	}
	if repeats+1 > bound {
		return false
	}
	wi.add(slot, 0, 1)
	return true
}

func (al *Budget) slot(now time.Duration) int64 {
	al.last = now
	return int64(now / (al.config.Window / buckets))
}

func (al *Budget) window(service string) *window {
	wi, ok := al.services[service]
	if !ok {
		wi = &window{}
		al.services[service] = wi
	}
	return wi
}

type bucket struct {
	slot    int64
	first   float64
	repeats float64
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
	bu.first += first
	bu.repeats += repeats
}

func (wi *window) sums(slot int64) (first, repeats float64) {
	for _, bu := range wi.ring {
		if bu.slot < slot-buckets || bu.slot > slot {
			continue
		}
		repeats += bu.repeats
		if bu.slot > slot-buckets {
			first += bu.first
		}
	}
	return first, repeats
}
