package route

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Report is what an endpoint says about its load; At is when it was received, as time since the process started.
type Report struct {
	Running int
	Queued  int
	Leaving bool
	At      time.Duration
}

// candidate is one endpoint with everything that is known of its load.
type candidate struct {
	endpoint ticket.Endpoint
	report   Report
	// ownRequests counts this instance's requests on the endpoint, peers those of the other instances.
	ownRequests  int
	peerRequests map[int64]int
	// sinceReport counts own dispatches less own finishes sinceReport the last report.
	sinceReport int
	serviceTime ewma
	circuit     Circuit
	cache       prefixCache
	unlisted    bool
	// suspectRequests counts running requests whose content is suspected of crashing endpoints.
	suspectRequests int
}

func newCandidate(en ticket.Endpoint) *candidate {
	return &candidate{endpoint: en, peerRequests: map[int64]int{}, cache: newPrefixCache()}
}

// load returns the estimated number of requests on the endpoint.
func (ca *candidate) load() int {
	known := ca.ownRequests
	for _, count := range ca.peerRequests {
		known += count
	}
	reported := ca.report.Running + ca.report.Queued + ca.sinceReport
	return max(known, reported)
}

func (ca *candidate) leaving() bool {
	return ca.unlisted || ca.endpoint.Leaving || ca.endpoint.Removed || ca.report.Leaving
}

// ewma is a moving average of durations.
type ewma struct {
	value time.Duration
}

// ewmaWeight is the divisor that weighs a new sample against the average.
const ewmaWeight = 8

func (ew *ewma) add(sample time.Duration) {
	if ew.value == 0 {
		ew.value = sample
		return
	}
	ew.value += (sample - ew.value) / ewmaWeight
}
