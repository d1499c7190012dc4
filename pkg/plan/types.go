package plan

import "time"

// RetrySafety says how often a request may run.
type RetrySafety uint8

// The kinds of repetition.
const (
	// Once marks a request that may run at most once.
	Once RetrySafety = iota + 1
	// Idempotent marks a request that may run any number of times.
	Idempotent
	// Resumable marks a stream that may go on at another endpoint after its last event.
	Resumable
)

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	RetrySafety   RetrySafety
	Stream        bool
	Timeout       time.Duration
	LatencyTarget time.Duration
	MaxAttempts   int
	Priority      int
	// Anonymous routes need no key.
	Anonymous bool
	Backends  []Backend
	// InterEventTarget is the longest pause between events within the latency objective.
	InterEventTarget time.Duration
}

// Backend is a service with its share of a route.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of endpoints that answer alike.
type Service struct {
	Name           string
	MaxConnections int
	// TokensPerEvent is the most output tokens that one event of a stream carries; zero where the service has no model.
	TokensPerEvent int64
	// KVCapacityTokens is what running requests and cached prompts of one endpoint may take.
	KVCapacityTokens int64
	Slots            int
	// KVCopyRate is how many prompt tokens a second one endpoint copies from another's memory; zero where endpoints do not copy.
	KVCopyRate int64
}

// Team is a customer; Prepaid is the total of tokens that it may spend.
type Team struct {
	Name        string
	Keys        []string
	Limited     bool
	Prepaid     int64
	HasPriority bool
	Priority    int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
