package caller

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

// Headers that callers send and receive.
const (
	HeaderClass          = "X-Request-Class"
	HeaderBudget         = "X-Budget"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderVerdict says in an error response whether an endpoint ran the request.
	HeaderVerdict     = "X-Verdict"
	HeaderRequestID   = "X-Request-ID"
	headerShouldRetry = "X-Should-Retry"
	headerRetryAfter  = "Retry-After"
)

const maxKeyBytes = 255

// Config holds the dependencies and the limits of the callers' API.
type Config struct {
	Engine *engine.Engine
	// Models returns the names of the models that callers may request.
	Models func() []string
	Logger logr.Logger
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// BodyTimeout is the maximum time for reading a request body.
	BodyTimeout time.Duration
}

type server struct {
	config Config
}

// NewHandler returns the handler of the callers' API.
func NewHandler(config Config) http.Handler {
	se := &server{config: config}
	ec := echo.New()
	ec.HTTPErrorHandler = se.handleError
	ec.POST("/v1/chat/completions", se.completion)
	ec.POST("/v1/completions", se.completion)
	ec.GET("/v1/models", se.models)
	ec.Any("/v1/services/:service", se.service)
	ec.Any("/v1/services/:service/*", se.service)
	return ec
}

// admittedRequest is an authenticated request with its body. Where the caller sent no budget or class, it has the team's default.
type admittedRequest struct {
	request engine.Request
	body    []byte
}

// admit authenticates the caller, reads the headers and the body, and assigns the request ID.
func (se *server) admit(ct echo.Context) (admittedRequest, error) {
	id := uuid.NewString()
	ct.Response().Header().Set(HeaderRequestID, id)
	te, err := se.team(ct)
	if err != nil {
		return admittedRequest{}, err
	}
	rq := engine.Request{ID: id, Team: te.Name, Budget: te.DefaultBudget, Class: te.DefaultClass}
	if name := ct.Request().Header.Get(HeaderBudget); name != "" {
		rq.Budget = name
	}
	if name := ct.Request().Header.Get(HeaderClass); name != "" {
		rq.Class = name
	}
	rq.Key = ct.Request().Header.Get(HeaderIdempotencyKey)
	if err := checkKey(rq.Key); err != nil {
		return admittedRequest{}, err
	}
	body, err := se.readBody(ct)
	return admittedRequest{request: rq, body: body}, err
}

func checkKey(key string) error {
	if len(key) > maxKeyBytes {
		return fault.New(fault.Invalid, fault.NotRun, "the idempotency key is longer than 255 bytes")
	}
	for _, ch := range []byte(key) {
		if ch < ' ' || ch > '~' {
			return fault.New(fault.Invalid, fault.NotRun, "the idempotency key may hold printable ASCII characters only")
		}
	}
	return nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (se *server) models(ct echo.Context) error {
	if _, err := se.team(ct); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range se.config.Models() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "clementineweir"})
	}
	return ct.JSON(http.StatusOK, list)
}
