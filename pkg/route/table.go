package route

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// AttemptResult says how one attempt of a request on an endpoint ended.
type AttemptResult uint8

// The results of an attempt.
const (
	// Answered means that the endpoint returned a response.
	Answered AttemptResult = iota + 1
	// Refused means that the endpoint declined the request without running it.
	Refused
	// Failed means that the request failed on the endpoint.
	Failed
	// Canceled means that the caller canceled the request, which says nothing about the endpoint.
	Canceled
)

// EndpointLoad is the load of one endpoint as shown to operators and sent to peers.
type EndpointLoad struct {
	Endpoint string
	// Domain is the failure domain of the endpoint.
	Domain string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// OwnRequests is the number of requests in flight from this instance.
	OwnRequests int
	// Load is the estimated number of requests on the endpoint from all instances.
	Load int
	// Leaving is set if the endpoint gets no new requests, because it is draining or was removed.
	Leaving bool
	// CircuitOpen is set while the circuit breaker allows no request to the endpoint.
	CircuitOpen bool
	// Report is the last load report that was received.
	Report Report
}

// Table holds the endpoints and admission queues of one instance; it is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	candidates map[string]*candidate
	models     map[string]*pool
	services   map[string]*pool
}

// NewTable returns a table without endpoints.
func NewTable() *Table {
	return &Table{
		candidates: map[string]*candidate{},
		models:     map[string]*pool{},
		services:   map[string]*pool{},
	}
}

// SetEndpoints replaces the endpoints; those that keep their name and address keep their load, circuit and prefix cache.
func (ta *Table) SetEndpoints(now time.Duration, list []ticket.Endpoint) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old := ta.candidates
	ta.candidates = map[string]*candidate{}
	ta.emptyPools()
	for _, en := range list {
		ca, ok := old[en.Name]
		if !ok || ca.endpoint.Address != en.Address {
			ca = newCandidate(en)
		}
		ca.endpoint = en
		ta.candidates[en.Name] = ca
		if !en.Removed {
			ta.index(ca)
		}
	}
	for _, po := range ta.models {
		po.dispatch(now)
	}
	for _, po := range ta.services {
		po.dispatch(now)
	}
}

func (ta *Table) emptyPools() {
	for _, po := range ta.models {
		po.list = nil
	}
	for _, po := range ta.services {
		po.list = nil
	}
}

func (ta *Table) index(ca *candidate) {
	for _, model := range ca.endpoint.Models {
		addTo(ta.models, model, ca)
	}
	if ca.endpoint.Service != "" {
		addTo(ta.services, ca.endpoint.Service, ca)
	}
}

func addTo(pools map[string]*pool, name string, ca *candidate) {
	po, ok := pools[name]
	if !ok {
		po = &pool{}
		pools[name] = po
	}
	po.list = append(po.list, ca)
}

// Models returns the names of the models served by at least one endpoint, in ascending order.
func (ta *Table) Models() []string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	names := make([]string, 0, len(ta.models))
	for name, po := range ta.models {
		if len(po.list) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (ta *Table) pool(qu Query) (*pool, bool) {
	pools, name := ta.models, qu.Model
	if qu.Service != "" {
		pools, name = ta.services, qu.Service
	}
	po, ok := pools[name]
	return po, ok && len(po.list) > 0
}

// Endpoint returns the endpoint of the given name.
func (ta *Table) Endpoint(name string) (ticket.Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ca, ok := ta.candidates[name]
	if !ok {
		return ticket.Endpoint{}, false
	}
	return ca.endpoint, true
}

// place records that a request is sent to the candidate.
func (ca *candidate) place(qu Query) {
	ca.ownRequests++
	ca.sinceReport++
	ca.circuit.Begin()
	ca.cache.add(qu.Prefix)
	if qu.Suspect {
		ca.suspectRequests++
	}
}

// Finish records the result of a request that Admit placed on the named endpoint, and dispatches the endpoint's queues. The
// attempt took the given time from dispatch to its end.
func (ta *Table) Finish(now time.Duration, name string, qu Query, result AttemptResult, took time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ca, ok := ta.candidates[name]
	if !ok {
		return
	}
	ca.ownRequests = max(0, ca.ownRequests-1)
	ca.sinceReport--
	if qu.Suspect {
		ca.suspectRequests = max(0, ca.suspectRequests-1)
	}
	switch result {
	case Answered:
		ca.serviceTime.add(took)
		ca.circuit.End(now, false)
	case Failed:
		ca.circuit.End(now, true)
	case Refused:
		ca.circuit.End(now, false)
	case Canceled:
		ca.circuit.probing = false
	}
	ta.dispatchFor(now, ca)
}

// dispatchFor dispatches queued requests for the models and the service of the candidate's endpoint.
func (ta *Table) dispatchFor(now time.Duration, ca *candidate) {
	for _, model := range ca.endpoint.Models {
		if po, ok := ta.models[model]; ok {
			po.dispatch(now)
		}
	}
	if po, ok := ta.services[ca.endpoint.Service]; ok {
		po.dispatch(now)
	}
}

// RecordCrash opens the circuit of an endpoint that crashed and clears its prefix cache.
func (ta *Table) RecordCrash(now time.Duration, name string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ca, ok := ta.candidates[name]; ok {
		ca.circuit.Trip(now)
		ca.cache.clear()
	}
}

// Observe records a load report of an endpoint, unless a newer one was recorded.
func (ta *Table) Observe(name string, re Report) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ca, ok := ta.candidates[name]
	if !ok || re.At < ca.report.At {
		return
	}
	ca.report = re
	ca.sinceReport = 0
	ta.dispatchFor(re.At, ca)
}

// ObservePeer records how many requests of another incarnation are in flight; counts holds these numbers by endpoint name and
// replaces those recorded before.
func (ta *Table) ObservePeer(incarnation int64, counts map[string]int) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for name, ca := range ta.candidates {
		count, ok := counts[name]
		if !ok || count == 0 {
			delete(ca.peerRequests, incarnation)
			continue
		}
		ca.peerRequests[incarnation] = count
	}
}

// SetListedLeaving sets for each endpoint whether the platform lists it as leaving; such an endpoint gets no new requests.
func (ta *Table) SetListedLeaving(listed func(en ticket.Endpoint) bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, ca := range ta.candidates {
		ca.listedLeaving = listed(ca.endpoint)
	}
}

// Loads returns the load of all endpoints in ascending order of their names.
func (ta *Table) Loads(now time.Duration) []EndpointLoad {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	list := make([]EndpointLoad, 0, len(ta.candidates))
	for name, ca := range ta.candidates {
		list = append(list, EndpointLoad{
			Endpoint: name, Domain: ca.endpoint.Domain, Slots: ca.endpoint.Slots, OwnRequests: ca.ownRequests,
			Load: ca.load(), Leaving: ca.leaving(), CircuitOpen: !ca.circuit.Allows(now), Report: ca.report,
		})
	}
	slices.SortFunc(list, func(aa, bb EndpointLoad) int { return strings.Compare(aa.Endpoint, bb.Endpoint) })
	return list
}
