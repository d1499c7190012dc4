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

// Load is the load that an endpoint states in its response to a load request.
type Load struct {
	// Running is the number of requests that the endpoint runs.
	Running int `json:"running"`
	// Queued is the number of requests that wait in the endpoint's queue.
	Queued int `json:"queued"`
	// Leaving is set while the endpoint drains; it then gets no new requests.
	Leaving bool `json:"leaving"`
}

// Load requests the load of an endpoint on a new connection.
func (cl *Client) Load(ctx context.Context, ep ticket.Endpoint) (Load, error) {
	lctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(lctx, http.MethodGet, ep.Address+"/v1/load", http.NoBody)
	if err != nil {
		return Load{}, eris.Wrap(err, "create the load request")
	}
	rs, err := cl.unpooled.Do(rq)
	if err != nil {
		return Load{}, eris.Wrap(err, "request the load")
	}
	defer closeBody(rs)
	if rs.StatusCode != http.StatusOK {
		return Load{}, eris.Errorf("the load request got the status %s", rs.Status)
	}
	var lo Load
	err = json.NewDecoder(io.LimitReader(rs.Body, maxSmallBodyBytes)).Decode(&lo)
	return lo, eris.Wrap(err, "decode the load")
}

// crashed reports whether the endpoint's process has ended, which shows when its machine refuses or resets a connection or closes it early.
//
// A timeout is no proof of a crash, since the network may be partitioned.
func (cl *Client) crashed(ctx context.Context, ep ticket.Endpoint) bool {
	_, err := cl.Load(ctx, ep)
	for _, sign := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}
