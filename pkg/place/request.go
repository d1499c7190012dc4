package place

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
	"github.com/clementineweir/clementineweir/pkg/spill"
)

// Part is one part of a prompt. Prompts that begin with the same parts share their entries in an endpoint's prefix cache.
type Part struct {
	// ID identifies the part; it is the same in all prompts that share the part.
	ID uint64
	// Tokens is the size of the part.
	Tokens int64
}

// Request holds the properties of a request that decide its placement.
type Request struct {
	// Prompt is the number of prompt tokens; zero for plain services.
	Prompt int64
	// Output is the maximum number of tokens to generate; zero for plain services.
	Output int64
	// Bytes is the number of bytes that are sent to the endpoint; if it is zero, they are estimated from Prompt.
	Bytes int64
	// Parts are the parts of the prompt in order; the last one is not shared with other requests.
	Parts []Part
	// Team is the name of the caller's team, or empty.
	Team string
	// Domain is the failure domain of the instance that makes the decision.
	Domain string
	// Tried are the IDs of the endpoints to which the request was already sent; they are not chosen again.
	Tried []string
	// Rank is the urgency; 0 is the most urgent. Under overload, requests of higher rank are refused first.
	Rank int
	// Resumed reports whether the request resumes a stream, or comes back after a refusal when it was told. A caller that resumes has a part of the
	// response already, and it can go on at few endpoints; one that comes back does so once. Neither is refused to leave capacity for others.
	Resumed bool
	// TimeLeft is the time until the deadline for the first event (for a plain service: for the complete response). If it is zero or less, the
	// request is not refused because of expected times.
	TimeLeft time.Duration
}

// sharedTokens returns the number of tokens in the shared prefix, which is all but the last part of the prompt.
func (rq *Request) sharedTokens() int64 {
	if len(rq.Parts) < 2 {
		return 0
	}
	return rq.Prompt - rq.Parts[len(rq.Parts)-1].Tokens
}

// PrefixID returns the ID of the last part of the shared prefix, which stands for the whole prefix. It returns zero if the prefix is shorter
// than localPrefixTokens. Instances notify each other of the endpoints to which they sent a prefix.
func (rq *Request) PrefixID() uint64 {
	if rq.sharedTokens() < localPrefixTokens {
		return 0
	}
	return rq.Parts[len(rq.Parts)-2].ID
}

// Decision is the endpoint chosen for a request, or a refusal.
type Decision struct {
	// Endpoint is the chosen endpoint, or nil if the request is refused.
	Endpoint *roster.Endpoint
	// Reason is the reason for the choice or the refusal.
	Reason string
	// RetryAfter is the delay after which the caller of a refused request should retry.
	RetryAfter time.Duration
	// TimeToFirstEvent is the expected time to the first event (of a plain service: to the complete response).
	TimeToFirstEvent time.Duration
	// QueueTime is the part of TimeToFirstEvent that the endpoint spends on the prompts of other requests.
	QueueTime time.Duration
	// UncachedTokens is the expected number of prompt tokens to prefill: those neither cached by the endpoint nor copied.
	UncachedTokens int64
	// Source is the endpoint from which the chosen one should copy the cached shared prefix, or nil.
	Source *roster.Endpoint
	// CopyTokens is the expected number of prompt tokens to copy from Source.
	CopyTokens int64
	// Candidates is the number of endpoints in the list given to Pick.
	Candidates int
	// Examined is the number of endpoints that the decision compared, which is smaller than Candidates if the list is long (see maxScanned).
	Examined int
	// PrefillRate is the learned prefill rate of the service, in tokens a millisecond; zero for plain services.
	PrefillRate float64
	// Withheld is the number of endpoints that could not be chosen because this instance had no permit for their rate limits.
	Withheld int
	// PermitFrom is the instance that issued the permit with which the request is sent, or empty if the endpoint has no rate limit.
	PermitFrom string
	// Domain is the failure domain of the endpoint, and LeftFor the reason for which the request leaves that of the instance, or empty.
	Domain, LeftFor string
	// Spill is a change of the share of requests that leave the failure domain, if this decision has made one.
	Spill spill.Change
}

// CopyAddress returns the address of Source, or an empty string.
func (de Decision) CopyAddress() string {
	if de.Source == nil {
		return ""
	}
	return de.Source.Address
}

// Load is the load of an endpoint over all instances, which it reports with its responses.
type Load struct {
	// Running is the number of requests that the endpoint runs.
	Running int
	// Waiting is the number of requests in the endpoint's queue.
	Waiting int
	// Slots is the number of requests that the endpoint can run at once.
	Slots int
	// WorkPercent is how long work takes at the endpoint at the time of the report, in percent of the usual time; zero if the endpoint does not say,
	// which counts as 100.
	WorkPercent int
}

// Outcome classifies the end of an attempt by its effect on the recorded health of the endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means a complete response.
	Answered Outcome = iota + 1
	// Failed means that the endpoint responded, but the response states a failure or cannot be used.
	Failed
	// Declined means that the endpoint refused the request without running it.
	Declined
	// Incomplete means that the response was missing or truncated.
	Incomplete
	// Unreachable means that no connection could be opened.
	Unreachable
	// Canceled means that the attempt ended for a reason unrelated to the endpoint.
	Canceled
)
