package engine

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Request is a request of a caller. Budget is the name of the budget that pays for it. Service is the plain service to call; if Service is
// empty, the request is for Model. ContentHash identifies the content, to compare retries and to recognize suspect content.
type Request struct {
	ID     string
	Team   string
	Budget string
	// Class is the name of the request class.
	Class string
	// Key is the caller's idempotency key, or empty.
	Key         string
	ContentHash string
	// Parts are the hashes of the messages of the prompt, which other requests may share; see blame.Request.
	Parts       []uint64
	Model       string
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Prompt is the text that is matched against the prefix caches of model runners.
	Prompt []byte
	// MaxPromptTokens is an upper bound on the tokens of the prompt.
	MaxPromptTokens int64
	// MaxAnswerTokens is the requested limit for each answer, or zero for the limit of the class.
	MaxAnswerTokens int64
	// Choices is the number of answers requested, at least one.
	Choices int64
	// Stream is set if the caller requested a streamed response.
	Stream bool
	// AddUsageOption is set when the body of a streaming request lacks the option that reports usage, so the runner must add it.
	AddUsageOption bool
}

// Call is one attempt of a request on an endpoint. Key is the caller's idempotency key, or empty; Idempotent and Priority are those
// of the request class.
type Call struct {
	ID          string
	Key         string
	Endpoint    ticket.Endpoint
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	Idempotent  bool
	Priority    int
	// Fencing is the number of the incarnation that sends the call; see ticket.Endpoint.ChecksFencing.
	Fencing int64
	// MaxAnswerTokens is the limit for each answer.
	MaxAnswerTokens int64
	// AddMaxTokens is set when the body contains no limit, so the runner must add MaxAnswerTokens.
	AddMaxTokens bool
	// AddUsageOption is set when the runner must add the option to the body that makes the endpoint report its token usage.
	AddUsageOption bool
	// StripUsage is set when the caller did not request usage figures and must not receive them.
	StripUsage bool
}

// Usage is the number of tokens that an endpoint reported; Known is false if it reported none.
type Usage struct {
	// Prompt is the number of tokens in the prompt.
	Prompt int64
	// Completion is the number of tokens in all answers.
	Completion int64
	Known      bool
}

// Tokens returns the sum of prompt and completion tokens.
func (us Usage) Tokens() int64 { return us.Prompt + us.Completion }

// Sink receives a response; the data passed to Chunk is valid only during the call.
type Sink interface {
	// Head receives the HTTP status and the content type; it is called before the first chunk.
	Head(status int, contentType string) error
	// Chunk receives the next part of the body.
	Chunk(data []byte) error
}

// Runner sends calls to endpoints.
//
// An error is a *fault.Error whose verdict says whether the endpoint may have run the call; with fault.NotRun nothing was
// written to the sink.
type Runner interface {
	// Run sends the call, writes the response to the sink and returns the reported usage.
	Run(ctx context.Context, ca Call, si Sink) (Usage, error)
}

// RequestSummary describes how a request ended, for metrics and log messages.
type RequestSummary struct {
	Request Request
	// Err is nil if the request was answered.
	Err error
	// Usage is the number of tokens that the endpoint reported.
	Usage Usage
	// Endpoint is the endpoint of the last attempt, or empty if there was none.
	Endpoint string
	// Attempts is the number of calls to endpoints.
	Attempts int
	// FirstChunk is the time from the start of the request to the first part of the response, or zero if there was none.
	FirstChunk time.Duration
	// Total is the time from the start of the request to its end.
	Total time.Duration
	// FalseRefusal is set when the request was refused although the budget would have covered it.
	FalseRefusal bool
}

// Observer is notified of each finished request.
type Observer interface {
	// Finished is called once when a request has ended, whether or not it was answered. It is not called for requests that are
	// refused while the instance drains.
	Finished(su RequestSummary)
}
