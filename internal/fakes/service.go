package fakes

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// ServiceFaults says how a service runner misbehaves.
type ServiceFaults struct {
	// CrashOn crashes the runner when a body contains the text.
	CrashOn string `json:"crashOn"`
	// LoseAnswers makes that many calls close the connection after they took effect.
	LoseAnswers int `json:"loseAnswers"`
	// Hang holds calls after they took effect.
	Hang   bool `json:"hang"`
	Refuse bool `json:"refuse"`
}

// ServiceConfig describes a runner of a plain service.
type ServiceConfig struct {
	Name         string
	Delay        time.Duration
	RestartAfter time.Duration
}

// ServiceCall is one call that a service ran.
type ServiceCall struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Path string `json:"path"`
	Body string `json:"body"`
}

// Service is a plain service, such as payments or the archive.
type Service struct {
	config ServiceConfig
	mu     sync.Mutex
	faults ServiceFaults
	calls  []ServiceCall
	down   time.Time
	probe  RunProbe
}

// NewService returns a service that has run nothing.
func NewService(config ServiceConfig) *Service { return &Service{config: config} }

// SetFaults replaces the faults.
func (se *Service) SetFaults(fa ServiceFaults) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults = fa
}

// SetProbe sets who is told of calls.
func (se *Service) SetProbe(pr RunProbe) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.probe = pr
}

func (se *Service) tell(fencing int64, event int) {
	se.mu.Lock()
	pr := se.probe
	se.mu.Unlock()
	if pr != nil {
		pr.Ran(se.config.Name, fencing, event)
	}
}

// Crash refuses connections until the service has restarted.
func (se *Service) Crash() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.down = time.Now().Add(se.config.RestartAfter)
}

// Calls returns the calls that were run, in order.
func (se *Service) Calls() []ServiceCall {
	se.mu.Lock()
	defer se.mu.Unlock()
	return append([]ServiceCall(nil), se.calls...)
}

// Handler returns the HTTP interface.
func (se *Service) Handler() http.Handler {
	ec := echo.New()
	ec.HideBanner = true
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
	se.dieWhenDown()
	if se.refuses() {
		return echo.NewHTTPError(http.StatusTooManyRequests, "this runner takes no calls")
	}
	fencing := fencingOf(ct.Request())
	se.tell(fencing, 0)
	time.Sleep(se.config.Delay)
	se.dieWhenDown()
	ca := ServiceCall{
		ID: ct.Request().Header.Get(headerID), Key: ct.Request().Header.Get(headerKey),
		Path: ct.Request().URL.Path, Body: string(data),
	}
	fa := se.record(ca)
	se.tell(fencing, EventEnd)
	if fa.Hang {
		<-ct.Request().Context().Done()
	}
	return ct.JSON(http.StatusOK, map[string]string{"service": se.config.Name, "path": ca.Path, "body": ca.Body})
}

func (se *Service) dieWhenDown() {
	se.mu.Lock()
	defer se.mu.Unlock()
	if time.Now().Before(se.down) {
		panic(http.ErrAbortHandler)
	}
}

func (se *Service) refuses() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.faults.Refuse
}

// record counts the call and applies the faults that end its connection.
func (se *Service) record(ca ServiceCall) ServiceFaults {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.calls = append(se.calls, ca)
	if se.faults.CrashOn != "" && strings.Contains(ca.Body, se.faults.CrashOn) {
		se.down = time.Now().Add(se.config.RestartAfter)
		panic(http.ErrAbortHandler)
	}
	if se.faults.LoseAnswers > 0 {
		se.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	return se.faults
}
