package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
)

// Part is one part of a prompt; requests that share parts share what an endpoint keeps of them.
type Part struct {
	ID     uint64
	Tokens int64
}

// Request is what placement knows of a request.
type Request struct {
	// Prompt and Output are the tokens to read and the most to generate; both are zero for plain services.
	Prompt int64
	Output int64
	// Parts are the parts of the prompt in order; the last one belongs to this request alone.
	Parts []Part
	// Domain is the failure domain of this instance.
	Domain string
	// Tried are the IDs of the endpoints that already got the request.
	Tried []string
	// Rank is the urgency, 0 first: where not all can be answered in time, the less urgent are refused first.
	Rank int
	// TimeLeft is the time in which the first event, or the whole answer of a plain service, is of use.
	TimeLeft time.Duration
}

// sharedTokens returns the prompt tokens in parts that other requests have, too.
func (rq Request) sharedTokens() int64 {
	if len(rq.Parts) < 2 {
		return 0
	}
	return rq.Prompt - rq.Parts[len(rq.Parts)-1].Tokens
}

// PrefixID returns the deepest shared part where it is long enough to be worth a copy, else zero; instances tell each other where it was sent.
func (rq Request) PrefixID() uint64 {
	if rq.sharedTokens() < localPrefixTokens {
		return 0
	}
	return rq.Parts[len(rq.Parts)-2].ID
}

// Decision is the endpoint for a request; without one, Reason says why and RetryAfter when room is expected.
type Decision struct {
	Endpoint   *roster.Endpoint
	Reason     string
	RetryAfter time.Duration
	// TimeToFirstEvent is the expected time to the first event or the answer.
	TimeToFirstEvent time.Duration
	// QueueTime is the part of it in which the endpoint reads the prompts of others.
	QueueTime time.Duration
	// UncachedTokens is the number of prompt tokens that the endpoint is not expected to hold, and does not copy either.
	UncachedTokens int64
	// Source is an endpoint from whose memory the chosen one should copy shared parts of the prompt, or nil.
	Source *roster.Endpoint
	// CopyTokens is the number of prompt tokens that Source is expected to give.
	CopyTokens int64
	// Candidates is the number of endpoints that were weighed.
	Candidates int
}

// CopyAddress returns the address of the source, or an empty string.
func (de Decision) CopyAddress() string {
	if de.Source == nil {
		return ""
	}
	return de.Source.Address
}

// Load is what an endpoint reports of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Outcome says how a send ended, as far as it tells about the endpoint.
type Outcome uint8

// The outcomes.
const (
	// Answered sends got a whole answer.
	Answered Outcome = iota + 1
	// Failed sends got an answer that reports a failure.
	Failed
	// Declined sends were refused before they ran.
	Declined
	// Incomplete sends got no whole answer.
	Incomplete
	// Unreachable sends found no connection.
	Unreachable
	// Canceled sends ended for reasons that say nothing about the endpoint.
	Canceled
)
