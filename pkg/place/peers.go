package place

import "time"

// maxPeerBacklog bounds the prefill backlog that peers report for an endpoint, in tokens; it stands for some seconds of prefill.
const maxPeerBacklog = 500_000

// RecordPeerDispatch records that a peer sent a prompt with the given shared prefix and number of uncached tokens to an endpoint.
//
// With many instances, the load that an endpoint reports is not recent enough: it comes with a response, and is as old as its first event.
func (ba *Balancer) RecordPeerDispatch(now time.Duration, endpoint string, prefix uint64, uncached int64) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.locations.record(prefix, endpoint)
	st, ok := ba.states[endpoint]
	if !ok || uncached <= 0 {
		return
	}
	st.peerTokens = min(maxPeerBacklog, float64(st.peerBacklog(now))+float64(min(uncached, maxPeerBacklog)))
	st.peerTokensAt = now
}

// peerBacklog returns the reported prompt tokens of peers that the endpoint has not prefilled yet, on the assumption of its usual rate.
func (st *state) peerBacklog(now time.Duration) int64 {
	prefilled := float64(now-st.peerTokensAt) / float64(time.Millisecond) * prefillRate / st.slowness
	return int64(max(0, st.peerTokens-prefilled))
}
