package fakes

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// NewPlatform returns the HTTP handler of a log service and an instance list.
func NewPlatform(lo *Log, li *List) http.Handler {
	ec := echo.New()
	lo.Register(ec)
	li.Register(ec)
	return ec
}
