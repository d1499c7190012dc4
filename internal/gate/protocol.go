package gate

import (
	"net/http"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
)

// RequestInfo is what a caller says about a request in its headers.
type RequestInfo struct {
	ID  string
	Key string
	// Patience is how long the caller waits for the answer; zero where it does not say.
	Patience time.Duration
	// Prompt and Output are the tokens to read and the most to generate; Sized is false for plain services.
	Sized  bool
	Prompt int64
	Output int64
	Parts  []place.Part
	// LastEvent is the id of the last event that the caller has, or zero.
	LastEvent int64
}

// ForwardInfo is what the instance tells an endpoint beside the caller's headers.
type ForwardInfo struct {
	Endpoint string
	Team     string
	Left     time.Duration
	// CopyFrom is the address of an endpoint that holds parts of the prompt which this one should copy, or empty.
	CopyFrom string
	// LastEvent is the id after which a stream goes on, or zero.
	LastEvent int64
}

// ResponseInfo is what an endpoint says about its answer in its headers.
type ResponseInfo struct {
	// Declined answers promise that the request has not run.
	Declined bool
	// Genuine answers carry the endpoint's signature over unencoded bytes.
	Genuine bool
	HasLoad bool
	Load    place.Load
}

// Protocol translates the headers of callers and endpoints.
type Protocol interface {
	// DecodeRequest decodes a caller's headers; the error is shown to the caller.
	DecodeRequest(he http.Header) (RequestInfo, error)
	// EndpointHeaders returns the headers for an endpoint.
	EndpointHeaders(he http.Header, or ForwardInfo) http.Header
	// Matches reports whether an answer's headers belong to a call.
	Matches(he http.Header, ca RequestInfo) bool
	// DecodeResponse decodes the head of an endpoint's answer.
	DecodeResponse(status int, he http.Header) ResponseInfo
	// CallerHeaders returns the headers of an endpoint's answer for the caller.
	CallerHeaders(he http.Header) http.Header
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(he http.Header, delay time.Duration)
}
