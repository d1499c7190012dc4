package place

import "time"

// maxTold bounds what an endpoint is believed to have to read for other instances, in tokens: some seconds of its time.
const maxTold = 500_000

// RecordPeerDispatch notes that another instance has sent a prompt about a subject, with the given unread tokens, to an endpoint.
//
// It answers the load of many instances before the same endpoints: what an endpoint itself reports comes with an answer, and is as old as
// that answer's first event.
func (bo *Balancer) RecordPeerDispatch(now time.Duration, endpoint string, subject uint64, unread int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.where.note(subject, endpoint)
	st, ok := bo.states[endpoint]
	if !ok || unread <= 0 {
		return
	}
	st.told = min(maxTold, float64(st.toldUnread(now))+float64(min(unread, maxTold)))
	st.toldAt = now
}

// toldUnread returns what is left of the prompts of other instances, which are read at the usual rate.
func (st *state) toldUnread(now time.Duration) int64 {
	read := float64(now-st.toldAt) / float64(time.Millisecond) * readRate / st.slowness
	return int64(max(0, st.told-read))
}
