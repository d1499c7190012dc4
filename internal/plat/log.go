package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/oplog"
)

const maxResponseBytes = 64 << 20

// Config holds the address of a platform service and the HTTP client that calls it.
type Config struct {
	// Address is the base URL of the service.
	Address string
	Client  *http.Client
}

type logClient struct {
	config Config
}

// NewLog returns a client of the log service at an HTTP address.
func NewLog(config Config) oplog.Log { return &logClient{config: config} }

// Append appends an entry to a stream and returns its offset.
func (lc *logClient) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, lc.entriesURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrap(err, "create the append request")
	}
	rq.Header.Set("Content-Type", "application/octet-stream")
	var rs AppendResponse
	if err := lc.config.do(rq, &rs); err != nil {
		return 0, err
	}
	return rs.Offset, nil
}

// Read returns entries of a stream. If there are none yet, the service waits for one, at most rr.Wait.
func (lc *logClient) Read(ctx context.Context, rr oplog.ReadRequest) (oplog.Page, error) {
	qu := url.Values{}
	qu.Set("from", strconv.FormatInt(rr.From, 10))
	qu.Set("maxBytes", strconv.Itoa(rr.MaxBytes))
	qu.Set("waitMillis", strconv.FormatInt(int64(rr.Wait/time.Millisecond), 10))
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, lc.entriesURL(rr.Stream)+"?"+qu.Encode(), http.NoBody)
	if err != nil {
		return oplog.Page{}, eris.Wrap(err, "create the read request")
	}
	var rs PageResponse
	if err := lc.config.do(rq, &rs); err != nil {
		return oplog.Page{}, err
	}
	return oplog.Page(rs), nil
}

// entriesURL returns the URL of the entries of a stream of the log.
func (lc *logClient) entriesURL(stream string) string {
	return fmt.Sprintf("%s/v1/streams/%s/entries", lc.config.Address, url.PathEscape(stream))
}

// do sends a request and decodes the JSON body of its response.
func (cf Config) do(rq *http.Request, val any) error {
	rs, err := cf.Client.Do(rq)
	if err != nil {
		return eris.Wrap(err, "call the platform")
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "read the platform's response")
	}
	if rs.StatusCode != http.StatusOK {
		return eris.Errorf("the platform responded with status %s", rs.Status)
	}
	return eris.Wrap(json.Unmarshal(data, val), "decode the platform's response")
}
