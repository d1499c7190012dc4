package route

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Report is a load report of an endpoint. Running and Queued are the numbers of requests that the endpoint runs and has queued.
// Leaving is set if the endpoint is draining. At is the time when the report was received, measured from the start of the process.
type Report struct {
	Running int
	Queued  int
	Leaving bool
	At      time.Duration
}

// candidate is an endpoint with all that this instance knows about its load.
type candidate struct {
	endpoint ticket.Endpoint
	report   Report
	// ownRequests is the number of requests in flight from this instance.
	ownRequests int
	// peerRequests is the number of requests in flight from each other instance, by incarnation.
	peerRequests map[int64]int
	// sinceReport corrects the last report by the requests of this instance: it is the number dispatched since the report
	// less the number that ended since.
	sinceReport int
	// serviceTime is the average duration of the answered requests from this instance.
	serviceTime ewma
	circuit     Circuit
	cache       prefixCache
	// listedLeaving is set while the platform lists the endpoint as leaving.
	listedLeaving bool
	// suspectRequests is the number of requests in flight whose content is suspected of crashing endpoints.
	suspectRequests int
}

func newCandidate(en ticket.Endpoint) *candidate {
	return &candidate{endpoint: en, peerRequests: map[int64]int{}, cache: newPrefixCache()}
}

// load returns the estimated number of requests on the endpoint. It is the greater of two estimates: the last load report
// corrected by sinceReport, and the sum of the requests in flight from this instance and from its peers.
func (ca *candidate) load() int {
	known := ca.ownRequests
	for _, count := range ca.peerRequests {
		known += count
	}
	reported := ca.report.Running + ca.report.Queued + ca.sinceReport
	return max(known, reported)
}

func (ca *candidate) leaving() bool {
	return ca.listedLeaving || ca.endpoint.Leaving || ca.endpoint.Removed || ca.report.Leaving
}

// ewma is an exponentially weighted moving average of durations.
type ewma struct {
	value time.Duration
}

// ewmaWeight is the reciprocal of the weight of a new sample: average += (sample - average) / ewmaWeight.
const ewmaWeight = 8

func (ew *ewma) add(sample time.Duration) {
	if ew.value == 0 {
		ew.value = sample
		return
	}
	ew.value += (sample - ew.value) / ewmaWeight
}
