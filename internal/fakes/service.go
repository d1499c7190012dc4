package fakes

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// ServiceFaults are the faults injected into a plain service.
type ServiceFaults struct {
	// CrashOn crashes the service after it has executed a call whose body contains this text; empty means never.
	CrashOn string `json:"crashOn"`
	// LoseResponses is the number of calls, counted from now, that take effect but whose connection closes without a response. In JSON it is
	// called loseAnswers.
	LoseResponses int `json:"loseAnswers"`
	// Hang lets calls take effect but never responds to them.
	Hang bool `json:"hang"`
	// Refuse rejects every call.
	Refuse bool `json:"refuse"`
}

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	// Name identifies the endpoint; RunProbe.RunEvent gets it as its argument endpoint.
	Name string
	// Delay is the time that a call takes.
	Delay time.Duration
	// RestartAfter is the time from a crash until the service serves again.
	RestartAfter time.Duration
}

// ServiceCall is one call that took effect.
type ServiceCall struct {
	// ID is the request ID.
	ID string `json:"id"`
	// Key is the caller's idempotency key, or empty.
	Key string `json:"key"`
	// Path is the path of the call's URL.
	Path string `json:"path"`
	// Body is the body of the call.
	Body string `json:"body"`
}

// Service is a stand-in for a plain service, such as payments or the archive.
type Service struct {
	config ServiceConfig
	mu     sync.Mutex
	faults ServiceFaults
	calls  []ServiceCall
	// downUntil is the end of the restart after the last crash.
	downUntil time.Time
	probe     RunProbe
}

// NewService returns a service that has received no calls.
func NewService(config ServiceConfig) *Service { return &Service{config: config} }

// SetFaults replaces all faults.
func (se *Service) SetFaults(fa ServiceFaults) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults = fa
}

// SetProbe sets the probe that observes calls.
func (se *Service) SetProbe(pr RunProbe) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.probe = pr
}

func (se *Service) notifyProbe(fencing int64, event int) {
	se.mu.Lock()
	pr := se.probe
	se.mu.Unlock()
	if pr != nil {
		pr.RunEvent(se.config.Name, fencing, event)
	}
}

// Crash aborts the connections of all calls until the service has restarted.
func (se *Service) Crash() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.downUntil = time.Now().Add(se.config.RestartAfter)
}

// Calls returns the calls that took effect, in order.
func (se *Service) Calls() []ServiceCall {
	se.mu.Lock()
	defer se.mu.Unlock()
	return append([]ServiceCall(nil), se.calls...)
}

// Handler returns the HTTP handler.
func (se *Service) Handler() http.Handler {
	ec := echo.New()
	ec.HideBanner = true
	ec.Use(repeatRequestID)
	ec.GET("/v1/load", func(ct echo.Context) error { return ct.JSON(http.StatusOK, LoadReport{}) })
	ec.GET("/v1/runs", func(ct echo.Context) error { return ct.JSON(http.StatusOK, se.Calls()) })
	ec.POST("/control", se.handleControl)
	ec.Any("/*", se.handleCall)
	return ec
}

func (se *Service) handleControl(ct echo.Context) error {
	var fa ServiceFaults
	if err := ct.Bind(&fa); err != nil {
		return err
	}
	se.SetFaults(fa)
	return ct.NoContent(http.StatusNoContent)
}

func (se *Service) handleCall(ct echo.Context) error {
	data, err := io.ReadAll(ct.Request().Body)
	if err != nil {
		return err
	}
	se.abortWhenDown()
	if se.isRefusing() {
		return echo.NewHTTPError(http.StatusTooManyRequests, "the service does not accept calls: the fault refuse is set")
	}
	fencing := fencingToken(ct.Request())
	se.notifyProbe(fencing, 0)
	time.Sleep(se.config.Delay)
	se.abortWhenDown()
	ca := ServiceCall{
		ID: ct.Request().Header.Get(headerRequestID), Key: ct.Request().Header.Get(headerIdempotencyKey),
		Path: ct.Request().URL.Path, Body: string(data),
	}
	fa := se.record(ca)
	se.notifyProbe(fencing, EventEnd)
	if fa.Hang {
		<-ct.Request().Context().Done()
	}
	return ct.JSON(http.StatusOK, map[string]string{"service": se.config.Name, "path": ca.Path, "body": ca.Body})
}

func (se *Service) abortWhenDown() {
	se.mu.Lock()
	defer se.mu.Unlock()
	if time.Now().Before(se.downUntil) {
		panic(http.ErrAbortHandler)
	}
}

func (se *Service) isRefusing() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.faults.Refuse
}

// record stores the call as one that took effect. If the fault CrashOn or LoseResponses applies, it aborts the connection; otherwise it returns
// the faults.
func (se *Service) record(ca ServiceCall) ServiceFaults {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.calls = append(se.calls, ca)
	if se.faults.CrashOn != "" && strings.Contains(ca.Body, se.faults.CrashOn) {
		se.downUntil = time.Now().Add(se.config.RestartAfter)
		panic(http.ErrAbortHandler)
	}
	if se.faults.LoseResponses > 0 {
		se.faults.LoseResponses--
		panic(http.ErrAbortHandler)
	}
	return se.faults
}
