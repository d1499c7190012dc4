package gate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
)

// trail is what decided about a request, for its log line.
type trail struct {
	status     int
	first      time.Duration
	endpoints  []string
	candidates int
	expected   time.Duration
	wait       time.Duration
	unread     int64
	// copied is the number of prompt tokens that the endpoint was told to copy, from the endpoint named by source.
	copied int64
	source string
}

func (tr *trail) note(de place.Decision) {
	tr.candidates = de.Candidates
	tr.expected, tr.wait = de.TimeToFirstEvent, de.QueueTime
	tr.unread = de.UncachedTokens
	tr.copied, tr.source = de.CopyTokens, ""
	if de.Source != nil {
		tr.source = de.Source.ID
	}
}

func (tr *trail) send(de place.Decision) { tr.endpoints = append(tr.endpoints, de.Endpoint.ID) }

// statusOf returns the status that tells a caller about a failure; only a request that never runs gets one that promises so.
func statusOf(fa *fault.Error) int {
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

// finish answers a failure, and writes the log line.
func (vi *visit) finish(err error) {
	if err == nil {
		vi.log("")
		return
	}
	fa := fault.From(err, fault.MayHaveRun)
	began := vi.trail.first > 0
	if !began && fa.Kind() != fault.Canceled {
		vi.refuse(fa)
	}
	vi.log(fa.Error(), "verdict", fa.Verdict().String())
	if began || fa.Kind() == fault.Canceled {
		// Ends the connection, so that what was passed on does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// refusal is the body of an answer of this instance's own.
type refusal struct {
	Error   string `json:"error"`
	Verdict string `json:"verdict"`
	Request string `json:"request"`
}

func (vi *visit) refuse(fa *fault.Error) {
	vi.trail.status = statusOf(fa)
	he := vi.writer.Header()
	if fa.Verdict() == fault.NotRun && fa.RetryAfter() > 0 {
		vi.gate.config.Protocol.SetRetryAfter(he, fa.RetryAfter())
	}
	data, err := json.Marshal(refusal{Error: fa.Message(), Verdict: fa.Verdict().String(), Request: vi.call.ID})
	if err != nil {
		vi.gate.config.Logger.Error(err, "refusal not encoded", "request", vi.call.ID)
	}
	he.Set("Content-Type", "application/json")
	he.Set("Content-Length", strconv.Itoa(len(data)))
	vi.writer.WriteHeader(vi.trail.status)
	_, _ = vi.writer.Write(data)
}

// log writes the line that says what was decided about the request, and why.
func (vi *visit) log(reason string, more ...any) {
	now := vi.now()
	tr := vi.trail
	vi.gate.config.Metrics.finished(vi, now)
	args := append(make([]any, 0, 32), "request", vi.call.ID, "team", vi.team, "status", tr.status, "took", seconds(now-vi.begun))
	if vi.plan != nil {
		args = append(args, "plan", vi.plan.Version())
	}
	if vi.route != nil {
		args = append(args, "route", vi.route.Name, "service", vi.service.Name)
	}
	if tr.candidates > 0 {
		args = append(args, "endpoints", strings.Join(tr.endpoints, ","), "candidates", tr.candidates,
			"expected", seconds(tr.expected), "wait", seconds(tr.wait), "unread", tr.unread,
			"registrationsAge", seconds(vi.gate.config.Roster.Age(now)))
	}
	if tr.copied > 0 {
		args = append(args, "copied", tr.copied, "copiedFrom", tr.source)
	}
	if tr.first > 0 {
		args = append(args, "first", seconds(tr.first-vi.begun))
	}
	if vi.cost > 0 {
		args = append(args, "tokens", vi.cost)
	}
	if reason != "" {
		args = append(args, "reason", reason)
		args = append(args, vi.shortage()...)
	}
	vi.gate.config.Logger.Info("request", append(args, more...)...)
}

// shortage returns the team's figures where a request was refused for lack of tokens.
func (vi *visit) shortage() []any {
	if !vi.limited || !vi.call.Sized || vi.trail.status < http.StatusBadRequest || len(vi.trail.endpoints) > 0 {
		return nil
	}
	fi := vi.gate.config.Purses.Shard(vi.team).Balance(vi.now(), vi.team)
	return []any{
		"asked", vi.call.Prompt + vi.call.Output, "granted", fi.Granted, "grantAge", seconds(fi.Age), "spent", fi.Spent, "reserved", fi.Reserved,
		"limit", fi.Limit, "left", fi.Remaining, "lost", fi.WrittenOff,
	}
}

func (vi *visit) logAgain(de place.Decision, err error) {
	vi.gate.config.Metrics.again(vi.service.Name)
	vi.gate.config.Logger.Info("sent again", "request", vi.call.ID, "endpoint", de.Endpoint.ID, "expected", seconds(de.TimeToFirstEvent),
		"left", seconds(vi.left()), "reason", err.Error())
}

// seconds returns a duration rounded to tenths of a millisecond.
func seconds(du time.Duration) float64 {
	return float64(du.Round(100*time.Microsecond)) / float64(time.Second)
}
