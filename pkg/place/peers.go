package place

import "time"

// maxPeerBacklog bounds the estimated prefill backlog, in tokens, of the requests that peers sent to one endpoint. At initialPrefillRate this many
// tokens are prefilled in about eight seconds.
const maxPeerBacklog = 500_000

// RecordPeerDispatch records that a peer sent a prompt with the given shared prefix and number of uncached tokens to an endpoint.
//
// These notifications complement the load that an endpoint reports. Each response brings the load at the time when the response began, which
// is not recent enough when there are many instances.
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

// peerBacklog estimates the number of uncached prompt tokens from peers that the endpoint has not prefilled yet. It assumes that the
// endpoint prefills at the rate of its service, divided by its slowness.
func (st *state) peerBacklog(now time.Duration) int64 {
	prefilled := float64(now-st.peerTokensAt) / float64(time.Millisecond) * st.service.rate / st.slowness
	return int64(max(0, st.peerTokens-prefilled))
}
