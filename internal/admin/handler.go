package admin

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/pkg/ledger"
)

// Source is the instance whose state the handler serves.
type Source interface {
	// Ready reports whether the load balancer may send requests to the instance.
	Ready() bool
	// Status returns the current state of the instance.
	Status() Status
	// Objects returns the configured objects in force.
	Objects() Objects
	// Audit returns the audit trail of the change tickets.
	Audit() []ledger.AuditEntry
	// WriteMetrics writes the metrics in the Prometheus text format.
	WriteMetrics(wr io.Writer)
}

// NewHandler returns the handler of the operators' API.
func NewHandler(so Source) http.Handler {
	ec := echo.New()
	ec.GET("/healthz", func(ct echo.Context) error { return ct.String(http.StatusOK, "ok\n") })
	ec.GET("/readyz", func(ct echo.Context) error {
		if !so.Ready() {
			return ct.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return ct.String(http.StatusOK, "ready\n")
	})
	ec.GET("/status", func(ct echo.Context) error { return ct.JSON(http.StatusOK, so.Status()) })
	ec.GET("/objects", func(ct echo.Context) error { return ct.JSON(http.StatusOK, so.Objects()) })
	ec.GET("/audit", func(ct echo.Context) error { return ct.JSON(http.StatusOK, so.Audit()) })
	ec.GET("/metrics", func(ct echo.Context) error {
		ct.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		so.WriteMetrics(ct.Response())
		return nil
	})
	return ec
}
