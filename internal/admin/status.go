package admin

import (
	"github.com/clementineweir/clementineweir/internal/peer"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Status is the state of one instance, as shown to operators.
type Status struct {
	Instance    string            `json:"instance"`
	Domain      string            `json:"domain"`
	Incarnation int64             `json:"incarnation"`
	Ready       bool              `json:"ready"`
	Draining    bool              `json:"draining"`
	Contact     string            `json:"contact"`
	Offset      int64             `json:"offset"`
	LagEntries  int64             `json:"lagEntries"`
	Checkpoint  int64             `json:"checkpointOffset"`
	Rejected    int64             `json:"rejectedEntries"`
	Members     []Member          `json:"members"`
	Links       []peer.LinkStatus `json:"links"`
	Budgets     []Budget          `json:"budgets"`
	Endpoints   []Endpoint        `json:"endpoints"`
	Quarantine  []string          `json:"quarantine"`
}

// Member is one open incarnation in the log.
type Member struct {
	Incarnation int64  `json:"incarnation"`
	Instance    string `json:"instance"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	ProvedDead  bool   `json:"provedDead"`
}

// Budget is the state of a budget as this instance knows it. All amounts are in tokens; those with Here are the amounts of this instance's
// current incarnation.
type Budget struct {
	Name             string `json:"name"`
	Team             string `json:"team"`
	Prepaid          int64  `json:"prepaidTokens"`
	Billed           int64  `json:"billedTokens"`
	WrittenOff       int64  `json:"writtenOffTokens"`
	Free             int64  `json:"freeTokens"`
	GrantedHere      int64  `json:"grantedHereTokens"`
	GrantedElsewhere int64  `json:"grantedElsewhereTokens"`
	SpentHere        int64  `json:"spentHereTokens"`
	ReservedHere     int64  `json:"reservedHereTokens"`
	LimitHere        int64  `json:"limitHereTokens"`
	Overspent        int64  `json:"overspentTokens"`
}

// Endpoint is the state of an endpoint as this instance knows it.
type Endpoint struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Slots  int    `json:"slots"`
	// OwnRequests counts the requests in flight of this instance.
	OwnRequests       int  `json:"ownRequests"`
	EstimatedRequests int  `json:"estimatedRequests"`
	Leaving           bool `json:"leaving"`
	CircuitOpen       bool `json:"circuitOpen"`
	ReportedRequests  int  `json:"reportedRequests"`
}

// Objects holds the configured objects in force, as set by change tickets.
type Objects struct {
	Offset    int64             `json:"offset"`
	Teams     []ticket.Team     `json:"teams"`
	Budgets   []ledger.Budget   `json:"budgets"`
	Classes   []ticket.Class    `json:"classes"`
	Services  []ticket.Service  `json:"services"`
	Endpoints []ticket.Endpoint `json:"endpoints"`
}
