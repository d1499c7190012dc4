package engine

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Request is one caller's request; Key is the caller's idempotency key or empty.
type Request struct {
	ID          string
	Team        string
	Budget      string
	Class       string
	Key         string
	ContentHash string
	Model       string
	Service     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Prompt is the text whose leading blocks a model runner may hold in its cache.
	Prompt []byte
	// MaxPromptTokens is the most that the prompt can cost.
	MaxPromptTokens int64
	// MaxAnswerTokens is the most that each answer may cost, or zero for the bound of the class.
	MaxAnswerTokens int64
	// Choices is how many answers are asked for, at least one.
	Choices int64
	Stream  bool
	// AddUsageOption states that the body does not ask for usage figures of the stream, so the runner has to.
	AddUsageOption bool
}

// Call is what an endpoint is asked to run.
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
	Fencing     int64
	// MaxAnswerTokens bounds each answer.
	MaxAnswerTokens int64
	// AddMaxTokens states that the body names no bound, so the runner has to add AnswerTokens.
	AddMaxTokens bool
	// AddUsageOption states that the runner has to ask for usage figures.
	AddUsageOption bool
	// StripUsage states that the caller did not ask for usage figures and must not receive them.
	StripUsage bool
}

// Usage is the cost that an endpoint reported, in tokens; Known is false where it reported none.
type Usage struct {
	Prompt     int64
	Completion int64
	Known      bool
}

// Tokens returns the whole cost.
func (us Usage) Tokens() int64 { return us.Prompt + us.Completion }

// Sink takes the answer; the data of Chunk is valid only during the call.
type Sink interface {
	Head(status int, contentType string) error
	Chunk(data []byte) error
}

// Runner runs calls on endpoints.
//
// An error is a fault.Error whose verdict says how far the call got; with NotRun nothing was passed to the sink.
type Runner interface {
	Run(ctx context.Context, ca Call, si Sink) (Usage, error)
}

// RequestSummary describes how a request ended, for metrics and logs.
type RequestSummary struct {
	Request    Request
	Err        error
	Usage      Usage
	Endpoint   string
	Attempts   int
	FirstChunk time.Duration
	Total      time.Duration
	// FalseRefusal states that the request was refused although the budget would have covered it.
	FalseRefusal bool
}

// Observer is told of each finished request.
type Observer interface {
	Finished(fi RequestSummary)
}
