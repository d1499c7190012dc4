package plan

import "time"

// RetrySafety says whether a request can be retried after an attempt that may have run.
type RetrySafety uint8

// The values of RetrySafety.
const (
	// Once marks a request that may run at most once.
	Once RetrySafety = iota + 1
	// Idempotent marks a request that may run any number of times.
	Idempotent
	// Resumable marks a stream that another endpoint can resume after the last event received.
	Resumable
)

// Route assigns the requests with one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	RetrySafety RetrySafety
	Stream      bool
	Timeout     time.Duration
	// LatencyTarget is the targeted time to the complete response, or to the first event of a stream.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of attempts for one request, including the first.
	MaxAttempts int
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	// Anonymous is true if requests need no team key.
	Anonymous bool
	Backends  []Backend
	// InterEventTarget is the targeted time between two events of a stream.
	InterEventTarget time.Duration
}

// Backend is a service with its weight in a route.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable endpoints. A service that runs no model is called a plain service.
type Service struct {
	Name           string
	MaxConnections int
	// TokensPerEvent is the maximum number of output tokens in one event of a stream; zero for plain services.
	TokensPerEvent int64
	// KVCapacityTokens is the capacity of the KV cache of one endpoint, shared by requests in flight and cached prompts.
	KVCapacityTokens int64
	// Slots is the number of requests that one endpoint runs at once, unless its registration gives another number.
	Slots int
	// KVCopyRate is the rate, in tokens per second, at which an endpoint copies cached prompts from another endpoint; zero if endpoints cannot
	// copy.
	KVCopyRate int64
}

// Team is a customer.
type Team struct {
	Name string
	// Keys are the API keys of the team.
	Keys []string
	// Limited is true if the team can spend at most Prepaid tokens in total.
	Limited bool
	Prepaid int64
	// HasPriority is true if Priority is set.
	HasPriority bool
	Priority    int
}

// Limits are the limits on requests and idle connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
