package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
)

// Part is one part of a prompt. Prompts that begin with the same parts share their entries in an endpoint's prefix cache.
type Part struct {
	ID     uint64
	Tokens int64
}

// Request holds the properties of a request that decide its placement.
type Request struct {
	// Prompt is the number of prompt tokens, Output the most tokens to generate; both are zero for plain services.
	Prompt int64
	Output int64
	// Parts are the parts of the prompt in order; the last one is not shared with other requests.
	Parts []Part
	// Domain is the failure domain of the instance that makes the decision.
	Domain string
	// Tried are the IDs of the endpoints to which the request was already sent.
	Tried []string
	// Rank is the urgency, 0 for the most urgent: under overload, requests of higher rank are refused first.
	Rank int
	// TimeLeft is how long the first event, or the complete response of a plain service, will still be of use.
	TimeLeft time.Duration
}

// sharedTokens returns the number of tokens in the shared prefix, which is all but the last part of the prompt.
func (rq Request) sharedTokens() int64 {
	if len(rq.Parts) < 2 {
		return 0
	}
	return rq.Prompt - rq.Parts[len(rq.Parts)-1].Tokens
}

// PrefixID identifies the shared prefix by its last part, or returns zero if the prefix is too short to be worth a copy. Instances notify
// each other to which endpoint they sent it.
func (rq Request) PrefixID() uint64 {
	if rq.sharedTokens() < localPrefixTokens {
		return 0
	}
	return rq.Parts[len(rq.Parts)-2].ID
}

// Decision is the endpoint chosen for a request. If Endpoint is nil, Reason says why and RetryAfter when to retry.
type Decision struct {
	Endpoint   *roster.Endpoint
	Reason     string
	RetryAfter time.Duration
	// TimeToFirstEvent is the expected time to the first event, or to the response of a plain service.
	TimeToFirstEvent time.Duration
	// QueueTime is the part of TimeToFirstEvent in which the endpoint prefills the prompts of other requests.
	QueueTime time.Duration
	// UncachedTokens is the number of prompt tokens that the endpoint is expected neither to have cached nor to copy.
	UncachedTokens int64
	// Source is the endpoint from whose memory the chosen one should copy the cached shared prefix, or nil.
	Source *roster.Endpoint
	// CopyTokens is the number of prompt tokens that are expected to be copied from Source.
	CopyTokens int64
	// Candidates is the number of endpoints among which the choice was made.
	Candidates int
}

// CopyAddress returns the address of Source, or an empty string.
func (de Decision) CopyAddress() string {
	if de.Source == nil {
		return ""
	}
	return de.Source.Address
}

// Load holds the numbers of requests that an endpoint reports with its responses.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Outcome says how an attempt ended, as far as that concerns the health of the endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means a complete response.
	Answered Outcome = iota + 1
	// Failed means a response that reports a failure.
	Failed
	// Declined means that the endpoint refused the request before it ran.
	Declined
	// Incomplete means that the response was missing or broke off.
	Incomplete
	// Unreachable means that no connection was made.
	Unreachable
	// Canceled means that the attempt ended for a reason that says nothing about the endpoint.
	Canceled
)
