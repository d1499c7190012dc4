package plan

import "time"

// RetrySafety says whether a request can be retried although an earlier attempt may have run.
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
	// Name is the name of the route.
	Name string
	// Host is the host of the requests; case does not matter.
	Host string
	// Prefix is the path prefix of the requests. It must end with a slash; a route whose prefix does not end with one matches no request.
	Prefix string
	// RetrySafety says whether the requests can be retried although an earlier attempt may have run.
	RetrySafety RetrySafety
	// Stream is true if the responses are streams of events.
	Stream bool
	// Timeout is the time from the start of a request to its deadline; zero if the configuration sets none.
	Timeout time.Duration
	// LatencyTarget is the targeted time to the complete response, or to the first event of a stream.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of attempts for one request, including the first.
	MaxAttempts int
	// Priority is the urgency of the requests; 0 is the most urgent.
	Priority int
	// Anonymous is true if requests need no team key.
	Anonymous bool
	// Backends are the services to which the requests go.
	Backends []Backend
	// InterEventTarget is the targeted time between two events of a stream.
	InterEventTarget time.Duration
}

// Backend is one of the services of a route.
type Backend struct {
	// Service is the name of the service.
	Service string
	// Weight, divided by the sum of the weights of the route, is the share of the requests that go to the service.
	Weight int
}

// Service is a set of interchangeable endpoints. A service that runs no model is called a plain service.
type Service struct {
	// Name is the unique name of the service, to which backends and endpoints refer.
	Name string
	// MaxConnections is the maximum number of connections that the configuration states for the service; the routers do not enforce it.
	MaxConnections int
	// TokensPerEvent is the maximum number of output tokens in one event of a stream; zero for plain services.
	TokensPerEvent int64
	// KVCapacityTokens is the capacity of the KV cache of one endpoint, in tokens. Requests in flight and cached prompts share it.
	KVCapacityTokens int64
	// Slots is the number of requests that one endpoint runs at once, unless its registration gives another number.
	Slots int
	// KVCopyRate is the rate, in tokens per second, at which an endpoint copies cached prompts from another endpoint; zero if endpoints cannot
	// copy.
	KVCopyRate int64
}

// Team is a customer.
type Team struct {
	// Name is the unique name of the team.
	Name string
	// Keys are the API keys of the team.
	Keys []string
	// Limited is true if the team can spend at most Prepaid tokens in total.
	Limited bool
	// Prepaid is the prepaid total in tokens, if Limited is true.
	Prepaid int64
	// HasPriority is true if the configuration sets Priority.
	HasPriority bool
	// Priority is the priority of the team, which goes before Route.Priority in the rank of its requests (see Route.Rank).
	Priority int
}

// Limits are the limits on requests and idle connections of callers.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes int64
	// HeaderTimeout is the maximum time to receive the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection may be closed.
	IdleTimeout time.Duration
}
