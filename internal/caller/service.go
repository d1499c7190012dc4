package caller

import (
	"github.com/labstack/echo/v4"
)

// service relays a call to a plain service.
func (se *server) service(ct echo.Context) error {
	ad, err := se.admit(ct)
	if err != nil {
		return err
	}
	rq := ad.request
	rq.Service = ct.Param("service")
	rq.Method = ct.Request().Method
	rq.Path = "/" + ct.Param("*")
	if raw := ct.Request().URL.RawQuery; raw != "" {
		rq.Path += "?" + raw
	}
	rq.ContentType = ct.Request().Header.Get(echo.HeaderContentType)
	rq.Body = ad.body
	rq.ContentHash = contentHash(rq.Method+" "+rq.Service+rq.Path, ad.body)
	return se.serve(ct, rq)
}
