package runner

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/internal/space"
	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

// Headers that are sent to endpoints.
const (
	HeaderRequestID      = "X-Request-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"
	// HeaderFencing holds the number of the incarnation that sends the request.
	HeaderFencing = "X-Fencing"
)

const (
	maxIdleConns      = 256
	idleTimeout       = 30 * time.Second
	closeIdleInterval = 2 * time.Minute
	maxResponseBytes  = 64 << 20
	// maxHeaderBytes is the maximum size of the status and the headers of a response, with the interim responses before it.
	maxHeaderBytes    = 256 << 10
	maxSmallBodyBytes = 4 << 10
	loadTimeout       = 2 * time.Second
	cancelTimeout     = time.Second
	reconnectDelay    = 200 * time.Millisecond
	// maxReconnects is the maximum number of consecutive failed attempts to resume a response. An attempt that received an event, or ended by an
	// idle timeout, restarts the count.
	maxReconnects         = 3
	statusUnavailable     = http.StatusServiceUnavailable
	statusTooManyRequests = http.StatusTooManyRequests
)

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds the dialer and the timeouts for calling endpoints.
type Config struct {
	// Dial opens the connections to endpoints.
	Dial Dialer
	// SilentAfter is the idle timeout of a connection that carries a response. After the timeout the response is resumed on a new connection.
	SilentAfter time.Duration
	// Space bounds the memory of complete responses; nil means no bound.
	Space *space.Space
	// ServiceTimeout is the maximum duration of one call of an idempotent service.
	ServiceTimeout time.Duration
}

// Client is an engine.Runner over HTTP; it is safe for concurrent use.
type Client struct {
	config Config
	// pooled reuses idle connections; unpooled opens a new connection for each call.
	pooled   *http.Client
	unpooled *http.Client
	// echoing holds the addresses of the endpoints that repeat the request ID in their responses. Only their connections are used for more
	// than one call, since a late response to an earlier call cannot be recognized otherwise.
	echoing sync.Map
}

// New returns a client.
func New(config Config) *Client {
	pooled := &http.Transport{
		DialContext: config.Dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	unpooled := &http.Transport{DialContext: config.Dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{config: config, pooled: newHTTPClient(pooled), unpooled: newHTTPClient(unpooled)}
}

func newHTTPClient(tr http.RoundTripper) *http.Client {
	return &http.Client{Transport: tr, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Loop closes all idle connections once per closeIdleInterval until the context ends.
func (cl *Client) Loop(ctx context.Context) error {
	ti := time.NewTicker(closeIdleInterval)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			cl.pooled.CloseIdleConnections()
			return nil
		case <-ti.C:
			cl.pooled.CloseIdleConnections()
		}
	}
}

// Run runs one call; every error is a *fault.Error.
func (cl *Client) Run(ctx context.Context, ca engine.Call, si engine.Sink) (engine.Usage, error) {
	if ca.Endpoint.Service != "" {
		return engine.Usage{}, cl.runService(ctx, ca, si)
	}
	mo := &modelRun{client: cl, call: ca, sink: si}
	return mo.run(ctx)
}

// send sends the request. An error has the verdict NotRun only if not even the headers of the request were written.
func (cl *Client) send(ctx context.Context, hc *http.Client, ca engine.Call, body []byte) (*http.Response, error) {
	var wrote, reused atomic.Bool
	upload := newUploadState()
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { upload.end(info.Err) },
		GotConn:      func(info httptrace.GotConnInfo) { reused.Store(info.Reused) },
	}
	rq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), ca.Method, ca.Endpoint.Address+ca.Path, singleUseBody(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, fault.NotRun, "the request cannot be sent to an endpoint")
	}
	rq.ContentLength = int64(len(body))
	setHeaders(rq, ca)
	_, echoes := cl.echoing.Load(ca.Endpoint.Address)
	rq.Close = !echoes
	rs, err := hc.Do(rq)
	if err == nil {
		upload.guard(ctx, rs)
		return rs, cl.checkResponse(rs, ca, reused.Load())
	}
	if !wrote.Load() {
		return nil, fault.Wrap(err, fault.Upstream, fault.NotRun, "the endpoint could not be reached")
	}
	return nil, fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the endpoint did not answer")
}

// checkResponse returns an error, and closes the response, if its status is none or if it may belong to another call; reused reports whether the connection
// had carried one.
func (cl *Client) checkResponse(rs *http.Response, ca engine.Call, reused bool) error {
	if !conns.ValidStatus(rs.StatusCode) {
		closeBody(rs)
		return fault.New(fault.Upstream, fault.MayHaveRun, "the endpoint sent a response without a valid status")
	}
	echo := rs.Header.Get(HeaderRequestID)
	if echo == ca.ID {
		cl.echoing.Store(ca.Endpoint.Address, true)
		return nil
	}
	cl.echoing.Delete(ca.Endpoint.Address)
	if echo == "" && !reused {
		return nil
	}
	closeBody(rs)
	return fault.New(fault.Upstream, fault.MayHaveRun, "the connection carried a response to another request")
}

// clientFor returns the unpooled client for calls that are not idempotent: the transport resends a request only after
// a reused connection fails, so a new connection rules that out.
func (cl *Client) clientFor(ca engine.Call) *http.Client {
	if ca.Idempotent {
		return cl.pooled
	}
	return cl.unpooled
}

// singleUseBody returns a reader that net/http cannot rewind, since its type is none of those from which net/http derives
// GetBody. So the transport cannot send the request again.
func singleUseBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

func setHeaders(rq *http.Request, ca engine.Call) {
	hd := rq.Header
	hd.Set(HeaderRequestID, ca.ID)
	hd.Set(HeaderPriority, strconv.Itoa(ca.Priority))
	hd.Set(HeaderFencing, strconv.FormatInt(ca.Fencing, 10))
	if ca.Key != "" {
		hd.Set(HeaderIdempotencyKey, ca.Key)
	}
	if ca.ContentType != "" {
		hd.Set("Content-Type", ca.ContentType)
	}
}

// refusal returns an error with the verdict NotRun if the status means that the endpoint declined the request, and otherwise nil.
func refusal(rs *http.Response) error {
	switch rs.StatusCode {
	case statusTooManyRequests, statusUnavailable:
		return fault.New(fault.Refused, fault.NotRun, "the endpoint takes no requests now").WithRetryAfter(time.Second)
	default:
		return nil
	}
}

func closeBody(rs *http.Response) { _ = rs.Body.Close() }
