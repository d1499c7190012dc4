package place

import "time"

const (
	// maxLagAge is the age beyond which a reported lag of this instance says nothing any more.
	maxLagAge = time.Second
	// maxSampleLag is the lag of this instance beyond which measured times say nothing about an endpoint. It is below the time of most first events.
	maxSampleLag = 30 * time.Millisecond
	// maxLagShare is the share of a measured time up to which the lag is subtracted from it; with more, the time is dropped.
	maxLagShare = 0.5
)

// lag is how late this instance itself runs.
type lag struct {
	// newest is the newest lag, reported at newestAt.
	newest   time.Duration
	newestAt time.Duration
	// largeAt is the time of the newest lag beyond maxSampleLag, zero if there was none.
	largeAt time.Duration
}

// at returns the lag at the given time, zero if it is not known.
func (la *lag) at(now time.Duration) time.Duration {
	if la.newestAt == 0 || now-la.newestAt > maxLagAge {
		return 0
	}
	return la.newest
}

// SetLag sets how late this instance itself runs, for example the scheduling lag of a periodic probe. The lag is subtracted from measured times, and times
// that are measured while it is large are dropped, so that an instance without processor time does not learn that endpoints are slow.
func (ba *Balancer) SetLag(now, length time.Duration) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.lag.newest, ba.lag.newestAt = max(0, length), now
	if length > maxSampleLag {
		ba.lag.largeAt = now
	}
}

// sample returns the time from the given moment of the attempt until now without the lag of this instance, or false if the lag does not allow to measure it.
func (at *Attempt) sample(now, since time.Duration) (time.Duration, bool) {
	la := &at.balancer.lag
	own, measured := la.at(now), now-since
	if since == at.startedAt {
		own += at.lagAtStart
	}
	if (la.largeAt > 0 && la.largeAt >= since) || float64(own) > maxLagShare*float64(measured) {
		return 0, false
	}
	return at.state.work.shrink((at.workAtStart+at.state.work.factor(now))/2, measured-own), true
}
