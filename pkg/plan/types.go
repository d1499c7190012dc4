package plan

import "time"

// RetrySafety says whether a request that may have run can be sent again.
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
	// LatencyTarget is the latency target for a complete response, or for the first event of a stream.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of attempts for one request, the first included.
	MaxAttempts int
	Priority    int
	// Anonymous is set if requests need no team key.
	Anonymous bool
	Backends  []Backend
	// InterEventTarget is the latency target for the gap between two events of a stream.
	InterEventTarget time.Duration
}

// Backend is a service with its weight in a route.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	MaxConnections int
	// TokensPerEvent is the maximum number of output tokens in one event of a stream; zero if the service runs no model.
	TokensPerEvent int64
	// KVCapacityTokens is the capacity of the KV cache of one endpoint, shared by requests in flight and cached prompts.
	KVCapacityTokens int64
	Slots            int
	// KVCopyRate is the rate, in tokens per second, at which an endpoint copies cached prompts from another; zero if it cannot.
	KVCopyRate int64
}

// Team is a customer; Prepaid is the total number of tokens that it may spend if it is Limited.
type Team struct {
	Name        string
	Keys        []string
	Limited     bool
	Prepaid     int64
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
