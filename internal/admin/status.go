package admin

import (
	"github.com/clementineweir/clementineweir/internal/peer"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Status is the state of one instance, as shown to operators.
type Status struct {
	Instance string `json:"instance"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain"`
	// Incarnation is the number of the instance's current incarnation.
	Incarnation int64 `json:"incarnation"`
	// Ready is set if the load balancer may send requests to the instance.
	Ready bool `json:"ready"`
	// Draining is set while the instance finishes its requests and takes no new ones.
	Draining bool `json:"draining"`
	// Contact is the connectivity to the log: direct, relayed (through a peer) or detached.
	Contact string `json:"contact"`
	// Offset is the offset of the last applied log entry.
	Offset int64 `json:"offset"`
	// LagEntries is the number of known log entries that are not applied yet.
	LagEntries int64 `json:"lagEntries"`
	// Checkpoint is the offset of the newest checkpoint recorded in the log.
	Checkpoint int64 `json:"checkpointOffset"`
	// Rejected is the number of log entries that were rejected so far.
	Rejected int64 `json:"rejectedEntries"`
	// Members holds the open incarnations of all instances.
	Members []Member `json:"members"`
	// Links holds the state of the links to the other instances.
	Links     []peer.LinkStatus `json:"links"`
	Budgets   []Budget          `json:"budgets"`
	Endpoints []Endpoint        `json:"endpoints"`
	// Quarantine holds the hashes of the quarantined requests.
	Quarantine []string `json:"quarantine"`
}

// Member is one open incarnation in the log.
type Member struct {
	// Incarnation is the number of the incarnation.
	Incarnation int64  `json:"incarnation"`
	Instance    string `json:"instance"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain"`
	// Address is the address at which peers call the instance.
	Address string `json:"address"`
	// ProvedDead is set once the log holds a proof that the process of the incarnation is dead.
	ProvedDead bool `json:"provedDead"`
}

// Budget is the state of a budget as this instance knows it. All amounts are in tokens. The amounts whose names end in Here are those of this
// instance's current incarnation.
type Budget struct {
	// Name is the name of the budget.
	Name string `json:"name"`
	// Team is the team that owns the budget.
	Team string `json:"team"`
	// Prepaid is the total paid so far.
	Prepaid int64 `json:"prepaidTokens"`
	// Billed is the number of tokens charged by bills so far.
	Billed int64 `json:"billedTokens"`
	// WrittenOff is the number of tokens that count as spent but are on no bill.
	WrittenOff int64 `json:"writtenOffTokens"`
	// Free is the number of tokens that can still be granted; it may be negative.
	Free int64 `json:"freeTokens"`
	// GrantedHere is the grant of this incarnation.
	GrantedHere int64 `json:"grantedHereTokens"`
	// GrantedElsewhere is the sum of the grants of all other open incarnations.
	GrantedElsewhere int64 `json:"grantedElsewhereTokens"`
	// SpentHere is the number of tokens that this incarnation has billed or written off.
	SpentHere int64 `json:"spentHereTokens"`
	// ReservedHere is the sum of this incarnation's reservations that are not settled yet.
	ReservedHere int64 `json:"reservedHereTokens"`
	// LimitHere is the upper bound on SpentHere plus ReservedHere.
	LimitHere int64 `json:"limitHereTokens"`
	// Overspent is the spend above the greatest prepaid total that the budget ever had.
	Overspent int64 `json:"overspentTokens"`
}

// Endpoint is the state of an endpoint as this instance knows it.
type Endpoint struct {
	// Name is the name of the endpoint.
	Name string `json:"name"`
	// Domain is the failure domain of the endpoint.
	Domain string `json:"domain"`
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"slots"`
	// OwnRequests is the number of requests in flight from this instance.
	OwnRequests int `json:"ownRequests"`
	// EstimatedRequests is the estimated number of requests on the endpoint from all instances.
	EstimatedRequests int `json:"estimatedRequests"`
	// Leaving is set while the endpoint drains; it then gets no new requests.
	Leaving bool `json:"leaving"`
	// CircuitOpen is set while the circuit breaker keeps requests from the endpoint.
	CircuitOpen bool `json:"circuitOpen"`
	// ReportedRequests is the number of running and queued requests in the endpoint's last load report.
	ReportedRequests int `json:"reportedRequests"`
}

// Objects holds the configured objects in force, as set by change tickets.
type Objects struct {
	// Offset is the offset of the last applied log entry.
	Offset    int64             `json:"offset"`
	Teams     []ticket.Team     `json:"teams"`
	Budgets   []ledger.Budget   `json:"budgets"`
	Classes   []ticket.Class    `json:"classes"`
	Services  []ticket.Service  `json:"services"`
	Endpoints []ticket.Endpoint `json:"endpoints"`
}
