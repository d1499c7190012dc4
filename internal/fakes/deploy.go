package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// An API key and the model names that are valid in the example deployments.
const (
	ExampleKey   = "key-team-1"
	ExampleModel = "weir-large"
	ExampleSmall = "weir-small"
)

const (
	exampleTeams       = 10
	largeTeams         = 3
	largePrepaidTokens = 2_000_000_000
	smallPrepaidTokens = 100_000_000
	modelSlots         = 32
	serviceSlots       = 16
	tokenDelay         = 10 * time.Millisecond
	prefillDelay       = 20 * time.Millisecond
	cacheBlocks        = 4096
	reportLag          = time.Second
	restartAfter       = 2 * time.Second
	serviceDelay       = 20 * time.Millisecond
	tokensPerCall      = 10
	reviewMaxTokens    = 4096
	questionMaxTokens  = 1024
)

// Domains are the failure domains over which the endpoints of the example deployments are spread.
var Domains = []string{"domain-a", "domain-b", "domain-c"}

// Deployment is an example deployment: its endpoints and the name of its plain service.
type Deployment struct {
	Name      string
	Service   string
	Endpoints []EndpointSpec
}

// EndpointSpec describes one endpoint; Service is empty for a model runner.
type EndpointSpec struct {
	Name    string
	Domain  string
	Service string
}

// FindDeployment returns the example deployment of the given name.
func FindDeployment(name string) (Deployment, bool) {
	switch name {
	case "birligi":
		return newDeployment(name, "payments", 9), true
	case "virtanen":
		return newDeployment(name, "archive", 18), true
	default:
		return Deployment{}, false
	}
}

const serviceRunners = 3

func newDeployment(name, service string, models int) Deployment {
	de := Deployment{Name: name, Service: service}
	for ix := range models {
		de.Endpoints = append(de.Endpoints, EndpointSpec{Name: fmt.Sprintf("model-%d", ix+1), Domain: Domains[ix%len(Domains)]})
	}
	for ix := range serviceRunners {
		de.Endpoints = append(de.Endpoints, EndpointSpec{Name: fmt.Sprintf("%s-%d", service, ix+1), Domain: Domains[ix%len(Domains)], Service: service})
	}
	return de
}

// Ticket returns the deployment's first configuration ticket; address returns the address of each endpoint.
func (de Deployment) Ticket(address func(index int) string) ticket.Ticket {
	ti := ticket.Ticket{Number: 1, Author: "example", Reason: "first set-up", Classes: exampleClasses()}
	ti.Services = []ticket.Service{{Name: de.Service, TokensPerCall: tokensPerCall}}
	for ix := range exampleTeams {
		te := fmt.Sprintf("team-%d", ix+1)
		prepaid := int64(smallPrepaidTokens)
		if ix < largeTeams {
			prepaid = largePrepaidTokens
		}
		ti.Teams = append(ti.Teams, ticket.Team{Name: te, KeyHashes: []string{hashKey("key-" + te)}, DefaultBudget: te, DefaultClass: "question"})
		ti.Budgets = append(ti.Budgets, ticket.Budget{Name: te, Team: te, PrepaidTokens: prepaid})
	}
	for ix, ep := range de.Endpoints {
		ti.Endpoints = append(ti.Endpoints, ep.ticketEndpoint(address(ix)))
	}
	return ti
}

func (ep EndpointSpec) ticketEndpoint(address string) ticket.Endpoint {
	en := ticket.Endpoint{Name: ep.Name, Address: "http://" + address, Domain: ep.Domain, Slots: modelSlots}
	if ep.Service != "" {
		en.Service = ep.Service
		en.Slots = serviceSlots
		return en
	}
	en.Models = []string{ExampleModel, ExampleSmall}
	return en
}

func exampleClasses() []ticket.Class {
	return []ticket.Class{
		{Name: "question", Timeout: ticket.Duration(30 * time.Second), Priority: 10, MaxAnswerTokens: questionMaxTokens, Idempotent: true},
		{Name: "review", Timeout: ticket.Duration(5 * time.Minute), Priority: 1, MaxAnswerTokens: reviewMaxTokens, Idempotent: true},
		{Name: "status", Timeout: ticket.Duration(5 * time.Second), Priority: 20, MaxAnswerTokens: 1, Idempotent: true},
		{Name: "disbursement", Timeout: ticket.Duration(15 * time.Second), Priority: 20, MaxAnswerTokens: 1},
		{Name: "checkout", Timeout: ticket.Duration(15 * time.Second), Priority: 20, MaxAnswerTokens: 1},
	}
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
