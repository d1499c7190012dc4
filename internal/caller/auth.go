package caller

import (
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const bearerPrefix = "Bearer "

// team returns the team whose key the request carries as its bearer token.
func (se *server) team(ct echo.Context) (ticket.Team, error) {
	header := ct.Request().Header.Get(echo.HeaderAuthorization)
	if !strings.HasPrefix(header, bearerPrefix) {
		return ticket.Team{}, fault.New(fault.Unauthorized, fault.NotRun, "the header Authorization: Bearer KEY is missing")
	}
	te, ok := se.config.Engine.Directory().TeamOf(strings.TrimPrefix(header, bearerPrefix))
	if !ok {
		return ticket.Team{}, fault.New(fault.Unauthorized, fault.NotRun, "the team key is not known")
	}
	return te, nil
}
