package place

import "time"

// maxPeerBacklog is the maximum prefill backlog, in tokens, that is counted for requests of peers at one endpoint. At prefillRate it is
// prefilled in about eight seconds.
const maxPeerBacklog = 500_000

// RecordPeerDispatch records that a peer sent a prompt with the given shared prefix and number of uncached tokens to an endpoint.
//
// These notifications complement the load that an endpoint reports. That load arrives with a response and is as old as its first event,
// which is not recent enough when there are many instances.
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

// peerBacklog estimates the prompt tokens of peers that the endpoint has not prefilled yet. It assumes that the endpoint prefills at
// prefillRate, divided by its slowness.
func (st *state) peerBacklog(now time.Duration) int64 {
	prefilled := float64(now-st.peerTokensAt) / float64(time.Millisecond) * prefillRate / st.slowness
	return int64(max(0, st.peerTokens-prefilled))
}
