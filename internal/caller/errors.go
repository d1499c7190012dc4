package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

// errorResponse is the error body of the OpenAI-compatible API, extended by the verdict.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
}

// errorMapping holds the status, type and code that callers receive for one kind of failure.
type errorMapping struct {
	kind      fault.Kind
	status    int
	errorType string
	code      string
}

var errorMappings = []errorMapping{
	{fault.Malformed, http.StatusBadRequest, "invalid_request_error", "malformed_body"},
	{fault.Invalid, http.StatusUnprocessableEntity, "invalid_request_error", "invalid_request"},
	{fault.Unauthorized, http.StatusUnauthorized, "authentication_error", "invalid_api_key"},
	{fault.BudgetExhausted, http.StatusPaymentRequired, "insufficient_quota", "budget_exhausted"},
	{fault.NotFound, http.StatusNotFound, "invalid_request_error", "not_found"},
	{fault.Conflict, http.StatusConflict, "conflict_error", "key_unresolved"},
	{fault.KeyMismatch, http.StatusUnprocessableEntity, "invalid_request_error", "key_mismatch"},
	{fault.TooLarge, http.StatusRequestEntityTooLarge, "invalid_request_error", "body_too_large"},
	{fault.Overloaded, http.StatusTooManyRequests, "rate_limit_error", "overloaded"},
	{fault.Refused, http.StatusServiceUnavailable, "server_error", "endpoints_refused"},
	{fault.Unavailable, http.StatusServiceUnavailable, "server_error", "unavailable"},
	{fault.Timeout, http.StatusGatewayTimeout, "server_error", "timeout"},
	{fault.Quarantined, http.StatusUnprocessableEntity, "invalid_request_error", "content_quarantined"},
	{fault.Upstream, http.StatusBadGateway, "server_error", "endpoint_failed"},
	{fault.Crashed, http.StatusBadGateway, "server_error", "endpoint_crashed"},
	{fault.Canceled, http.StatusBadGateway, "server_error", "caller_left"},
}

func mappingOf(kind fault.Kind) errorMapping {
	for _, em := range errorMappings {
		if em.kind == kind {
			return em
		}
	}
	return errorMapping{kind: kind, status: http.StatusInternalServerError, errorType: "server_error", code: "internal"}
}

func errorBody(fa *fault.Error) []byte {
	em := mappingOf(fa.Kind())
	data, err := json.Marshal(errorResponse{Error: errorDetail{
		Message: fa.Message(), Type: em.errorType, Code: em.code, Verdict: fa.Verdict().String(),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","verdict":"mayHaveRun"}}`)
	}
	return data
}

// handleError writes the error response, unless the response to the request has already begun.
func (se *server) handleError(err error, ct echo.Context) {
	if ct.Response().Committed {
		return
	}
	fa := faultOf(err)
	hd := ct.Response().Header()
	hd.Set(HeaderVerdict, fa.Verdict().String())
	if fa.Verdict() != fault.NotRun {
		hd.Set(headerShouldRetry, "false")
	}
	if fa.RetryAfter() > 0 {
		seconds := int64((fa.RetryAfter() + time.Second - 1) / time.Second)
		hd.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	_ = ct.Blob(mappingOf(fa.Kind()).status, echo.MIMEApplicationJSON, errorBody(fa))
}

func faultOf(err error) *fault.Error {
	var he *echo.HTTPError
	if errors.As(err, &he) {
		if he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed {
			return fault.New(fault.NotFound, fault.NotRun, "no such path or method")
		}
		return fault.Wrap(err, fault.Malformed, fault.NotRun, "the request cannot be read")
	}
	return fault.From(err, fault.MayHaveRun)
}
