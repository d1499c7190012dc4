package runner

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// Load is the load that an endpoint reports.
type Load struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving"`
}

// Load asks an endpoint for its load, on a new connection.
func (cl *Client) Load(ctx context.Context, ep ticket.Endpoint) (Load, error) {
	lctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(lctx, http.MethodGet, ep.Address+"/v1/load", http.NoBody)
	if err != nil {
		return Load{}, eris.Wrap(err, "make a load call")
	}
	rs, err := cl.unpooled.Do(rq)
	if err != nil {
		return Load{}, eris.Wrap(err, "ask for the load")
	}
	defer closeBody(rs)
	if rs.StatusCode != http.StatusOK {
		return Load{}, eris.Errorf("the endpoint answered %s", rs.Status)
	}
	var lo Load
	err = json.NewDecoder(io.LimitReader(rs.Body, maxSmallBodyBytes)).Decode(&lo)
	return lo, eris.Wrap(err, "decode the load")
}

// crashed reports whether the endpoint's process has ended: its machine answers, but nothing listens or the connection breaks off.
//
// Silence proves nothing, since the network between may be cut.
func (cl *Client) crashed(ctx context.Context, ep ticket.Endpoint) bool {
	_, err := cl.Load(ctx, ep)
	for _, sign := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}
