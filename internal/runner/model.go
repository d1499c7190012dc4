package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/clementineweir/clementineweir/internal/events"
	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

var (
	// errIdleTimeout means that a connection received no data within the idle timeout.
	errIdleTimeout = errors.New("no data received within the idle timeout")
	// errUnknownRequest means that the endpoint has no request with this ID.
	errUnknownRequest = errors.New("the endpoint does not know the request ID")
)

// modelRun is one call of a model runner; it continues on a new connection when one fails.
type modelRun struct {
	client *Client
	call   engine.Call
	sink   engine.Sink
	usage  engine.Usage
	// eventsReceived counts the complete events received so far; a resumed stream starts with the next one.
	eventsReceived int
	headWritten    bool
	// responded is set once the endpoint has accepted the request with status 200.
	responded bool
}

// run starts the call and resumes it on new connections until the response is complete or cannot be resumed. An idempotent
// request that the endpoint does not know is sent once more. If the call fails and may still run at the endpoint, it is
// canceled there.
func (mo *modelRun) run(ctx context.Context) (engine.Usage, error) {
	err := mo.start(ctx, mo.client.clientFor(mo.call))
	if errors.Is(err, errIdleTimeout) {
		mo.client.pooled.CloseIdleConnections()
	}
	for tries := 0; err != nil && mo.resumable(ctx, err) && tries < maxReconnects; tries++ {
		before := mo.eventsReceived
		err = mo.resume(ctx)
		if mo.eventsReceived > before || errors.Is(err, errIdleTimeout) {
			tries = 0
		}
	}
	if errors.Is(err, errUnknownRequest) && mo.call.Idempotent && ctx.Err() == nil {
		err = mo.start(ctx, mo.client.unpooled)
	}
	if err == nil {
		return mo.usage, nil
	}
	if ctx.Err() != nil || fault.From(err, fault.MayHaveRun).Verdict() != fault.NotRun {
		mo.cancel(ctx)
	}
	return mo.usage, mo.finalError(ctx, err)
}

// resumable reports whether the endpoint may still hold the response, so that it can be resumed.
func (mo *modelRun) resumable(ctx context.Context, err error) bool {
	var fa *fault.Error
	if errors.As(err, &fa) && (fa.Verdict() == fault.NotRun || fa.Kind() == fault.Crashed || fa.Verdict() == fault.Ran) {
		return false
	}
	return ctx.Err() == nil && !errors.Is(err, errUnknownRequest)
}

// finalError returns the error of the call. If the context has ended, it returns a timeout, unless err says that the request
// did not run.
func (mo *modelRun) finalError(ctx context.Context, err error) error {
	if ctx.Err() != nil && fault.From(err, fault.MayHaveRun).Verdict() != fault.NotRun {
		return fault.Wrap(err, fault.Timeout, fault.MayHaveRun, "the response was not complete in time")
	}
	return fault.From(err, fault.MayHaveRun)
}

// start sends the request and receives the response on that connection.
func (mo *modelRun) start(ctx context.Context, hc *http.Client) error {
	idl := newIdleTimer(ctx, mo.client.config.SilentAfter)
	defer idl.stop()
	rs, err := mo.client.send(idl.ctx, hc, mo.call, mo.requestBody())
	if err != nil {
		return idl.errorOf(err)
	}
	defer closeBody(rs)
	if err := refusal(rs); err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return rejection(rs)
	}
	mo.responded = true
	return mo.receive(idl, rs)
}

// rejection returns the error for a response whose status is neither 200 nor a refusal.
func rejection(rs *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(rs.Body, maxSmallBodyBytes))
	if rs.StatusCode >= http.StatusInternalServerError {
		return fault.New(fault.Upstream, fault.MayHaveRun, "the endpoint failed with "+rs.Status)
	}
	return fault.New(fault.Invalid, fault.NotRun, fmt.Sprintf("the endpoint refused the request: %s %s", rs.Status, data))
}

// resume requests the remaining events of the response on a new connection.
func (mo *modelRun) resume(ctx context.Context) error {
	idl := newIdleTimer(ctx, mo.client.config.SilentAfter)
	defer idl.stop()
	url := fmt.Sprintf("%s/v1/streams/%s?from=%d", mo.call.Endpoint.Address, mo.call.ID, mo.eventsReceived)
	rq, err := http.NewRequestWithContext(idl.ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	rs, err := mo.client.unpooled.Do(rq)
	if err != nil {
		return mo.classifyResumeError(ctx, idl.errorOf(err))
	}
	defer closeBody(rs)
	switch rs.StatusCode {
	case http.StatusOK:
		return mo.receive(idl, rs)
	case http.StatusAccepted:
		// The response is not ready yet, so it is requested again, as after an idle timeout.
		return errIdleTimeout
	case http.StatusNotFound:
		return mo.unknownRequestError()
	default:
		return fault.New(fault.Upstream, fault.MayHaveRun, "the endpoint cannot resume the response")
	}
}

// unknownRequestError returns the error for a resumption that the endpoint rejects with 404.
//
// If the endpoint had responded to the request before, it lost the request in a crash. Otherwise the request may never have arrived.
func (mo *modelRun) unknownRequestError() error {
	if mo.responded {
		return fault.New(fault.Crashed, fault.MayHaveRun, "the endpoint has lost the request")
	}
	return fault.Wrap(errUnknownRequest, fault.Upstream, fault.MayHaveRun, "the endpoint does not know the request")
}

// classifyResumeError returns the error for a resumption without a response: a crash, or a transient failure. After a transient
// failure the call is resumed again.
func (mo *modelRun) classifyResumeError(ctx context.Context, err error) error {
	if errors.Is(err, errIdleTimeout) || ctx.Err() != nil {
		return err
	}
	if mo.client.crashed(ctx, mo.call.Endpoint) {
		return fault.Wrap(err, fault.Crashed, fault.MayHaveRun, "the endpoint crashed")
	}
	sleepContext(ctx, reconnectDelay)
	return err
}

// receive relays the response that arrives on one connection.
func (mo *modelRun) receive(idl *idleTimer, rs *http.Response) error {
	if mo.call.Stream {
		return mo.receiveEvents(idl, rs)
	}
	return mo.receiveComplete(idl, rs)
}

func (mo *modelRun) receiveComplete(idl *idleTimer, rs *http.Response) error {
	ac := mo.client.config.Space.Open()
	defer ac.Close()
	data, err := readComplete(rs, idl.reader(rs.Body), ac)
	if err != nil {
		return idl.errorOf(err)
	}
	mo.usage = usageOfResponse(data)
	if err := mo.writeHead(rs); err != nil {
		return err
	}
	return mo.writeChunk(data)
}

func (mo *modelRun) receiveEvents(idl *idleTimer, rs *http.Response) error {
	ev := events.NewReader(idl.reader(rs.Body))
	for {
		data, err := ev.Next()
		if errors.Is(err, io.EOF) {
			// A complete stream ends with the event [DONE], so one that ends without it was cut off.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return idl.errorOf(err)
		}
		mo.eventsReceived++
		if err := mo.writeHead(rs); err != nil {
			return err
		}
		if us, ok := usageOfEvent(data); ok {
			mo.usage = us
			if mo.call.StripUsage && usageOnly(data) {
				continue
			}
		}
		if err := mo.writeChunk(data); err != nil {
			return err
		}
		if isDone(data) {
			return nil
		}
	}
}

// writeHead writes the status and the content type to the caller, unless an earlier connection of this call has done so.
func (mo *modelRun) writeHead(rs *http.Response) error {
	if mo.headWritten {
		return nil
	}
	mo.headWritten = true
	if err := mo.sink.Head(rs.StatusCode, rs.Header.Get("Content-Type")); err != nil {
		return callerDisconnected(err)
	}
	return nil
}

func (mo *modelRun) writeChunk(data []byte) error {
	if err := mo.sink.Chunk(data); err != nil {
		return callerDisconnected(err)
	}
	return nil
}

// callerDisconnected returns the error after the response could not be written to the caller.
func callerDisconnected(err error) error {
	return fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
}

// cancel ends a run whose response is no longer wanted and records the usage that the endpoint reports for it.
func (mo *modelRun) cancel(ctx context.Context) {
	cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	url := fmt.Sprintf("%s/v1/streams/%s/cancel", mo.call.Endpoint.Address, mo.call.ID)
	rq, err := http.NewRequestWithContext(cctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return
	}
	rs, err := mo.client.unpooled.Do(rq)
	if err != nil {
		return
	}
	defer closeBody(rs)
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxSmallBodyBytes))
	if err != nil || rs.StatusCode != http.StatusOK {
		return
	}
	mo.usage = decodeUsage(data)
}

func sleepContext(ctx context.Context, delay time.Duration) {
	ti := time.NewTimer(delay)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}
