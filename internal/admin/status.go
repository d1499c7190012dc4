package admin

import (
	"github.com/clementineweir/clementineweir/internal/peer"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Status is the state of one instance, as shown to operators.
type Status struct {
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Incarnation int64  `json:"incarnation"`
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`
	// Contact is the connectivity to the log: direct, relayed (through a peer) or detached.
	Contact string `json:"contact"`
	// Offset is the offset of the last applied log entry.
	Offset int64 `json:"offset"`
	// LagEntries is the number of known log entries that are not applied yet.
	LagEntries int64 `json:"lagEntries"`
	// Checkpoint is the offset of the newest checkpoint recorded in the log.
	Checkpoint int64 `json:"checkpointOffset"`
	// Rejected is the number of log entries that were rejected so far.
	Rejected  int64             `json:"rejectedEntries"`
	Members   []Member          `json:"members"`
	Links     []peer.LinkStatus `json:"links"`
	Budgets   []Budget          `json:"budgets"`
	Endpoints []Endpoint        `json:"endpoints"`
	// Quarantine holds the hashes of the quarantined contents.
	Quarantine []string `json:"quarantine"`
}

// Member is one open incarnation in the log.
type Member struct {
	Incarnation int64  `json:"incarnation"`
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	// Address is the address at which peers call the instance.
	Address string `json:"address"`
	// ProvedDead is set once the log holds a proof that the process of the incarnation is dead.
	ProvedDead bool `json:"provedDead"`
}

// Budget is the state of a budget as this instance knows it. All amounts are in tokens. The amounts whose names end in Here are those of this
// instance's current incarnation.
type Budget struct {
	Name    string `json:"name"`
	Team    string `json:"team"`
	Prepaid int64  `json:"prepaidTokens"`
	Billed  int64  `json:"billedTokens"`
	// WrittenOff is the number of tokens that count as spent but are on no bill.
	WrittenOff int64 `json:"writtenOffTokens"`
	// Free is the number of tokens that can still be granted; it may be negative.
	Free             int64 `json:"freeTokens"`
	GrantedHere      int64 `json:"grantedHereTokens"`
	GrantedElsewhere int64 `json:"grantedElsewhereTokens"`
	SpentHere        int64 `json:"spentHereTokens"`
	ReservedHere     int64 `json:"reservedHereTokens"`
	// LimitHere is the upper bound on SpentHere plus ReservedHere.
	LimitHere int64 `json:"limitHereTokens"`
	// Overspent is the spend above the greatest prepaid total that the budget ever had.
	Overspent int64 `json:"overspentTokens"`
}

// Endpoint is the state of an endpoint as this instance knows it.
type Endpoint struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Slots  int    `json:"slots"`
	// OwnRequests is the number of requests in flight from this instance.
	OwnRequests int `json:"ownRequests"`
	// EstimatedRequests is the estimated number of requests on the endpoint from all instances.
	EstimatedRequests int  `json:"estimatedRequests"`
	Leaving           bool `json:"leaving"`
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
