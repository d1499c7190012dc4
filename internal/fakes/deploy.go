package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Values that are valid in all example deployments.
const (
	// ExampleKey is the API key of team-1.
	ExampleKey = "key-team-1"
	// ExampleModel and ExampleSmallModel are the names of the models; every model runner has both.
	ExampleModel      = "weir-large"
	ExampleSmallModel = "weir-small"
)

const (
	exampleTeams = 10
	// largeTeams is the number of teams with largePrepaidTokens; all others have smallPrepaidTokens.
	largeTeams         = 3
	largePrepaidTokens = 2_000_000_000
	smallPrepaidTokens = 100_000_000
	modelSlots         = 32
	serviceSlots       = 16
	// tokenDelay is the time to generate one output token, prefillDelay the time to prefill one prompt block that is not cached.
	tokenDelay   = 10 * time.Millisecond
	prefillDelay = 20 * time.Millisecond
	// cacheBlocks is the size of a model runner's prefix cache in blocks.
	cacheBlocks = 4096
	// reportLag is the age of the load that a model runner returns.
	reportLag = time.Second
	// restartAfter is the time from a crash of an endpoint until it serves again.
	restartAfter = 2 * time.Second
	// serviceDelay is the time that a call of the plain service takes.
	serviceDelay = 20 * time.Millisecond
	// tokensPerCall is the number of tokens that a call of the plain service costs.
	tokensPerCall     = 10
	reviewMaxTokens   = 4096
	questionMaxTokens = 1024
)

// Domains are the failure domains of the example deployments.
var Domains = []string{"domain-a", "domain-b", "domain-c"}

// Deployment is an example deployment.
type Deployment struct {
	// Name is the name by which FindDeployment finds the deployment.
	Name string
	// Service is the name of the deployment's only plain service (a service without model runners).
	Service string
	// Endpoints lists the model runners first, then the endpoints of the plain service.
	Endpoints []EndpointSpec
}

// EndpointSpec describes one endpoint.
type EndpointSpec struct {
	// Name is the endpoint's name, unique in the deployment.
	Name string
	// Domain is the failure domain.
	Domain string
	// Service is the name of the plain service; it is empty for a model runner.
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

// serviceEndpoints is the number of endpoints of the plain service.
const serviceEndpoints = 3

// newDeployment returns a deployment with the given number of model runners.
func newDeployment(name, service string, models int) Deployment {
	de := Deployment{Name: name, Service: service}
	for ix := range models {
		de.Endpoints = append(de.Endpoints, EndpointSpec{Name: fmt.Sprintf("model-%d", ix+1), Domain: Domains[ix%len(Domains)]})
	}
	for ix := range serviceEndpoints {
		de.Endpoints = append(de.Endpoints, EndpointSpec{Name: fmt.Sprintf("%s-%d", service, ix+1), Domain: Domains[ix%len(Domains)], Service: service})
	}
	return de
}

// Ticket returns the deployment's first ticket (change of configuration), which sets up its classes, services, teams, budgets and endpoints.
// The parameter address returns the address of the endpoint with a given index.
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
	en.Models = []string{ExampleModel, ExampleSmallModel}
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
