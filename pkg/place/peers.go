package place

import "time"

// maxPeerBacklog bounds what an endpoint is believed to have to read for other instances, in tokens: some seconds of its time.
const maxPeerBacklog = 500_000

// RecordPeerDispatch notes that another instance has sent a prompt about a subject, with the given unread tokens, to an endpoint.
//
// It answers the load of many instances before the same endpoints: what an endpoint itself reports comes with an answer, and is as old as
// that answer's first event.
func (ba *Balancer) RecordPeerDispatch(now time.Duration, endpoint string, subject uint64, unread int64) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.locations.record(subject, endpoint)
	st, ok := ba.states[endpoint]
	if !ok || unread <= 0 {
		return
	}
	st.peerTokens = min(maxPeerBacklog, float64(st.peerBacklog(now))+float64(min(unread, maxPeerBacklog)))
	st.peerTokensAt = now
}

// peerBacklog returns what is left of the prompts of other instances, which are read at the usual rate.
func (st *state) peerBacklog(now time.Duration) int64 {
	read := float64(now-st.peerTokensAt) / float64(time.Millisecond) * prefillRate / st.slowness
	return int64(max(0, st.peerTokens-read))
}
