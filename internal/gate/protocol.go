package gate

import (
	"net/http"
	"time"

	"github.com/clementineweir/clementineweir/pkg/limit"
	"github.com/clementineweir/clementineweir/pkg/place"
)

// RequestInfo holds the values that the gate takes from the headers of a request.
type RequestInfo struct {
	// ID identifies the request; endpoints repeat it in their responses.
	ID string
	// Key is the API key of the caller's team.
	Key string
	// Patience is the caller's timeout for the response, or zero if the caller sets none.
	Patience time.Duration
	// Sized reports whether the request states its numbers of prompt and output tokens; requests to services other than models do not.
	Sized bool
	// Prompt is the number of prompt tokens.
	Prompt int64
	// Output is the maximum number of tokens to generate.
	Output int64
	// Parts are the consecutive parts of the prompt; other requests may share its leading parts.
	Parts []place.Part
	// LastEvent is the ID of the last event that the caller has received of the stream, or zero.
	LastEvent int64
	// Resumes is the ID of the request that began the stream, if the caller resumes one, or empty.
	Resumes string
}

// ForwardInfo holds the values that the gate adds to a request for an endpoint.
type ForwardInfo struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Team is the name of the caller's team.
	Team string
	// Left is the time until the deadline of the response.
	Left time.Duration
	// CopyFrom is the address of another endpoint whose cached prefixes of the prompt should be copied, or empty.
	CopyFrom string
	// LastEvent is the ID of the last event already received; the stream resumes with the next one. It is zero if the stream starts anew.
	LastEvent int64
	// Urgency is the urgency of the request at the endpoint: 1 is the most urgent and 9 the least, and zero states none.
	Urgency int
}

// ResponseInfo holds the values that the gate takes from the headers of an endpoint's response.
type ResponseInfo struct {
	// Declined reports whether the endpoint declined the request without running it.
	Declined bool
	// Genuine reports whether the response is signed by the endpoint and has no content encoding.
	Genuine bool
	// HasLoad reports whether the response carries the endpoint's load.
	HasLoad bool
	// Load is the load that the endpoint reported, if HasLoad is set.
	Load place.Load
	// HasRateLimit reports whether the response says if the endpoint has a rate limit. Those that are not genuine do not.
	HasRateLimit bool
	// HasBrittleness reports whether the response says if the endpoint is brittle.
	HasBrittleness bool
	// Brittleness is what the endpoint says of it, if HasBrittleness is set.
	Brittleness place.Brittleness
	// Leaving reports whether the endpoint says that it leaves.
	Leaving bool
	// RefusalTime is the time for which the endpoint wants no requests from this instance, or zero.
	RefusalTime time.Duration
	// RateLimit is the endpoint's rate limit or the withdrawal of one, if HasRateLimit is set.
	RateLimit limit.Statement
}

// Protocol decodes and encodes the headers of callers and endpoints.
type Protocol interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(he http.Header) (RequestInfo, error)
	// EndpointHeaders returns the headers of the request to the endpoint, given those of the caller's request.
	EndpointHeaders(he http.Header, fi ForwardInfo) http.Header
	// Matches reports whether the headers of a response belong to the request, which is the first one of its connection or not.
	Matches(he http.Header, ri RequestInfo, first bool) bool
	// DecodeResponse decodes the status and the headers of an endpoint's response.
	DecodeResponse(status int, he http.Header) ResponseInfo
	// CallerHeaders returns the headers of the response to the caller, given those of the endpoint's response.
	CallerHeaders(he http.Header) http.Header
	// SetRetryAfter sets the header that tells a caller when to retry.
	SetRetryAfter(he http.Header, delay time.Duration)
}
