package gate

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/shed"
	"github.com/clementineweir/clementineweir/pkg/turn"
)

// logEntry holds the values of a request's log line.
type logEntry struct {
	status       int
	firstEventAt time.Duration
	endpoints    []string
	// versions are the software versions of the endpoints.
	versions   []string
	candidates int
	// examined is the number of candidates that the last decision compared, and prefillRate the learned prefill rate that it used.
	examined    int
	prefillRate float64
	// timeToFirstEvent and queueTime are the estimates that were made when the last endpoint was chosen.
	timeToFirstEvent time.Duration
	queueTime        time.Duration
	// uncachedTokens is the number of prompt tokens that the last endpoint had to prefill, as estimated when it was chosen.
	uncachedTokens int64
	// copyTokens is the number of prompt tokens that the endpoint was asked to copy from the endpoint copySource.
	copyTokens int64
	copySource string
	// withheld is the number of endpoints without a permit for their rate limits when the last one was chosen, and permitFrom the issuer of the
	// permit that was used, or empty.
	withheld   int
	permitFrom string
	// domain is the failure domain of the last endpoint, and leftFor why the request left that of this instance for it, or empty.
	domain, leftFor string
	// relayPeer is the name of the instance that relayed the connection of the last attempt, or empty.
	relayPeer string
	// buildSource says from where the build of a resumed stream is known.
	buildSource string
	// stopsIn is the time until the instance stops when the request arrived, if stopping is set.
	stopsIn  time.Duration
	stopping bool
	// tokenWait is the time until the tokens were reserved, or the request was refused for lack of them, if tokenWaits is set: this instance held
	// too few when the request arrived.
	tokenWait  time.Duration
	tokenWaits bool
	// quarantined reports whether the request was refused because it is expected to crash endpoints.
	quarantined bool
	// urgency is the urgency that was stated to the endpoint, or zero.
	urgency int
	// slot tells the refused caller when to come back, if it is set.
	slot turn.Slot
	// queued is the time for which the request waited for room at an endpoint.
	queued time.Duration
	// shed is the decision of the shedder if it refused the request.
	shed shed.Verdict
}

func (le *logEntry) recordDecision(de place.Decision) {
	le.candidates, le.examined, le.prefillRate = de.Candidates, de.Examined, de.PrefillRate
	le.timeToFirstEvent, le.queueTime = de.TimeToFirstEvent, de.QueueTime
	le.uncachedTokens = de.UncachedTokens
	le.withheld, le.permitFrom = de.Withheld, de.PermitFrom
	le.domain, le.leftFor = de.Domain, de.LeftFor
	le.copyTokens, le.copySource = de.CopyTokens, ""
	if de.Source != nil {
		le.copySource = de.Source.ID
	}
}

func (le *logEntry) recordAttempt(de place.Decision) {
	le.endpoints = append(le.endpoints, de.Endpoint.ID)
	le.versions = append(le.versions, de.Endpoint.Version)
}

// statusCode returns the HTTP status for a failure: 502 or 504 if the request may have run, and any other status if it did not run.
func statusCode(fa *fault.Error) int {
	if fa.Verdict() != fault.NotRun {
		if fa.Kind() == fault.Timeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch fa.Kind() {
	case fault.Invalid, fault.Malformed:
		return http.StatusBadRequest
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.BudgetExhausted:
		return http.StatusPaymentRequired
	case fault.NotFound:
		return http.StatusNotFound
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.Timeout:
		return http.StatusRequestTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// finish sends the error response after a failure, and writes the log line.
func (pr *proxyRequest) finish(err error) {
	if err == nil {
		pr.writeLog("")
		return
	}
	fa := pr.schedule(fault.From(err, fault.MayHaveRun))
	pr.countReturn(fa)
	responseStarted := pr.entry.firstEventAt > 0
	if !responseStarted && fa.Kind() != fault.Canceled {
		pr.writeError(fa)
	}
	pr.writeLog(fa.Error(), "verdict", fa.Verdict().String())
	if responseStarted {
		// Delivers the events that were billed; it fails if the caller left.
		_ = http.NewResponseController(pr.writer).Flush()
	}
	if responseStarted || fa.Kind() == fault.Canceled {
		// Closes the connection, so that the caller does not take a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// errorBody is the JSON body of an error response that this instance itself produces.
type errorBody struct {
	// Error is the error message.
	Error string `json:"error"`
	// Verdict says whether the request ran (see fault.Verdict).
	Verdict string `json:"verdict"`
	// Request is the ID of the request.
	Request string `json:"request"`
}

func (pr *proxyRequest) writeError(fa *fault.Error) {
	pr.entry.status = statusCode(fa)
	he := pr.writer.Header()
	if fa.Verdict() == fault.NotRun && fa.RetryAfter() > 0 {
		pr.gate.config.Protocol.SetRetryAfter(he, fa.RetryAfter())
	}
	data, err := json.Marshal(errorBody{Error: fa.Message(), Verdict: fa.Verdict().String(), Request: pr.info.ID})
	if err != nil {
		pr.gate.config.Logger.Error(err, "cannot encode the error response", "request", pr.info.ID)
	}
	he.Set("Content-Type", "application/json")
	he.Set("Content-Length", strconv.Itoa(len(data)))
	pr.writer.WriteHeader(pr.entry.status)
	_, _ = pr.writer.Write(data)
}

// writeLog counts the request in the metrics and writes its log line.
func (pr *proxyRequest) writeLog(reason string, more ...any) {
	now := pr.now()
	le := pr.entry
	pr.gate.config.Metrics.recordRequest(pr, now)
	args := append(make([]any, 0, 32), "request", pr.info.ID, "team", pr.team, "status", le.status, "took", seconds(now-pr.start))
	if pr.plan != nil {
		args = append(args, "plan", pr.plan.Version())
	}
	if pr.route != nil {
		args = append(args, "route", pr.route.Name, "service", pr.service.Name)
	}
	if le.candidates > 0 {
		args = append(args, "endpoints", strings.Join(le.endpoints, ","), "versions", strings.Join(le.versions, ","), "candidates", le.candidates,
			"expected", seconds(le.timeToFirstEvent), "wait", seconds(le.queueTime), "unread", le.uncachedTokens,
			"examined", le.examined, "prefillRate", math.Round(10*le.prefillRate)/10, "registrationsAge", seconds(pr.gate.config.Roster.Age(now)))
	}
	if pr.info.LastEvent > 0 || pr.info.Resumes != "" {
		args = append(args, "resumes", pr.info.Resumes, "lastEvent", pr.info.LastEvent, "versionFrom", le.buildSource)
	}
	if le.withheld > 0 || le.permitFrom != "" {
		args = append(args, "withheld", le.withheld, "permitFrom", le.permitFrom)
	}
	args = append(args, le.loadFields(pr.returned)...)
	if le.relayPeer != "" {
		args = append(args, "relayedBy", le.relayPeer)
	}
	if le.copyTokens > 0 {
		args = append(args, "copied", le.copyTokens, "copiedFrom", le.copySource)
	}
	if le.firstEventAt > 0 {
		args = append(args, "first", seconds(le.firstEventAt-pr.start))
	}
	args = append(args, le.timeFields()...)
	if pr.cost > 0 {
		args = append(args, "tokens", pr.cost)
	}
	if reason != "" {
		args = append(args, "reason", reason)
		if pr.entry.quarantined {
			args = append(args, "content", fmt.Sprintf("%016x", pr.traits.Content), "parts", partNames(pr.info.Parts))
		}
		args = append(args, pr.shedFields()...)
		args = append(args, pr.balanceFields()...)
	}
	pr.gate.config.Logger.Info("request", append(args, more...)...)
}

// timeFields returns the times until the instance stops and until the tokens were reserved as fields of the log message, if they matter.
func (le *logEntry) timeFields() []any {
	var args []any
	if le.stopping {
		args = append(args, "stopsIn", seconds(le.stopsIn))
	}
	if le.tokenWaits {
		args = append(args, "tokenWait", seconds(le.tokenWait))
	}
	return args
}

// balanceFields returns the team's balance as fields of the log message if a limited request failed before it was sent to an endpoint.
func (pr *proxyRequest) balanceFields() []any {
	if !pr.limited || !pr.info.Sized || pr.entry.shed.Reason != "" || pr.entry.status < http.StatusBadRequest || len(pr.entry.endpoints) > 0 {
		return nil
	}
	ba := pr.gate.config.Purses.Shard(pr.team).Balance(pr.now(), pr.team)
	return []any{
		"asked", pr.info.Prompt + pr.info.Output, "granted", ba.Granted, "grantAge", seconds(ba.Age), "spent", ba.Spent, "reserved", ba.Reserved,
		"limit", ba.Limit, "left", ba.Remaining, "lost", ba.WrittenOff, "lent", ba.Lent,
	}
}

// logRetry counts a retry and writes its log line; err is the error of the attempt that failed before.
func (pr *proxyRequest) logRetry(de place.Decision, err error) {
	pr.gate.config.Metrics.countRetry(pr.service.Name)
	pr.gate.config.Logger.Info("sent again", "request", pr.info.ID, "endpoint", de.Endpoint.ID, "expected", seconds(de.TimeToFirstEvent),
		"left", seconds(pr.timeLeft()), "reason", err.Error())
}

// seconds returns a duration rounded to tenths of a millisecond.
func seconds(du time.Duration) float64 {
	return float64(du.Round(100*time.Microsecond)) / float64(time.Second)
}
