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
	// errSilent reports a connection without data for too long.
	errSilent = errors.New("the connection went silent")
	// errUnknown reports a request that the endpoint does not know.
	errUnknown = errors.New("unknown request")
)

// modelRun is one call of a model runner, over one or more connections.
type modelRun struct {
	client *Client
	call   engine.Call
	sink   engine.Sink
	usage  engine.Usage
	// passed counts the events that were received whole.
	passed int
	headed bool
	// begun states that the endpoint has answered the request with headers.
	begun bool
}

func (mo *modelRun) run(ctx context.Context) (engine.Usage, error) {
	err := mo.first(ctx, mo.client.clientFor(mo.call))
	if errors.Is(err, errSilent) {
		mo.client.pooled.CloseIdleConnections()
	}
	for tries := 0; err != nil && mo.resumable(ctx, err) && tries < maxReconnects; tries++ {
		before := mo.passed
		err = mo.resume(ctx)
		if mo.passed > before || errors.Is(err, errSilent) {
			tries = 0
		}
	}
	if errors.Is(err, errUnknown) && mo.call.Idempotent && ctx.Err() == nil {
		err = mo.first(ctx, mo.client.fresh)
	}
	if err == nil {
		return mo.usage, nil
	}
	if ctx.Err() != nil || fault.From(err, fault.MayHaveRun).Verdict() != fault.NotRun {
		mo.cancel(ctx)
	}
	return mo.usage, mo.errorOf(ctx, err)
}

// resumable reports whether the answer may still be had from the endpoint.
func (mo *modelRun) resumable(ctx context.Context, err error) bool {
	var fa *fault.Error
	if errors.As(err, &fa) && (fa.Verdict() == fault.NotRun || fa.Kind() == fault.Crashed || fa.Verdict() == fault.Ran) {
		return false
	}
	return ctx.Err() == nil && !errors.Is(err, errUnknown)
}

func (mo *modelRun) errorOf(ctx context.Context, err error) error {
	if ctx.Err() != nil && fault.From(err, fault.MayHaveRun).Verdict() != fault.NotRun {
		return fault.Wrap(err, fault.Timeout, fault.MayHaveRun, "the answer was not complete in time")
	}
	return fault.From(err, fault.MayHaveRun)
}

// first sends the request and receives what comes on that connection.
func (mo *modelRun) first(ctx context.Context, hc *http.Client) error {
	wa := newWatch(ctx, mo.client.config.SilentAfter)
	defer wa.stop()
	rs, err := mo.client.send(wa.ctx, hc, mo.call, mo.body())
	if err != nil {
		return wa.cause(err)
	}
	defer closeBody(rs)
	if err := refusal(rs); err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return rejected(rs)
	}
	mo.begun = true
	return mo.receive(wa, rs)
}

// rejected returns the error for a request that the runner does not accept.
func rejected(rs *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(rs.Body, errorBodyBytes))
	if rs.StatusCode >= http.StatusInternalServerError {
		return fault.New(fault.Upstream, fault.MayHaveRun, "the endpoint failed with "+rs.Status)
	}
	return fault.New(fault.Invalid, fault.NotRun, fmt.Sprintf("the endpoint refused the request: %s %s", rs.Status, data))
}

// resume asks for the rest of the answer on a new connection.
func (mo *modelRun) resume(ctx context.Context) error {
	wa := newWatch(ctx, mo.client.config.SilentAfter)
	defer wa.stop()
	url := fmt.Sprintf("%s/v1/streams/%s?from=%d", mo.call.Endpoint.Address, mo.call.ID, mo.passed)
	rq, err := http.NewRequestWithContext(wa.ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	rs, err := mo.client.fresh.Do(rq)
	if err != nil {
		return mo.unanswered(ctx, wa.cause(err))
	}
	defer closeBody(rs)
	switch rs.StatusCode {
	case http.StatusOK:
		return mo.receive(wa, rs)
	case http.StatusAccepted:
		return errSilent
	case http.StatusNotFound:
		return mo.unknown()
	default:
		return fault.New(fault.Upstream, fault.MayHaveRun, "the endpoint cannot resume the answer")
	}
}

// unknown returns the error for a request that the endpoint does not know.
//
// An endpoint that had begun to answer has lost the request in a crash; else the request may never have arrived.
func (mo *modelRun) unknown() error {
	if mo.begun {
		return fault.New(fault.Crashed, fault.MayHaveRun, "the endpoint has lost the request")
	}
	return fault.Wrap(errUnknown, fault.Upstream, fault.MayHaveRun, "the endpoint does not know the request")
}

// unanswered decides between a crash and a passing fault after a resumption failed.
func (mo *modelRun) unanswered(ctx context.Context, err error) error {
	if errors.Is(err, errSilent) || ctx.Err() != nil {
		return err
	}
	if mo.client.crashed(ctx, mo.call.Endpoint) {
		return fault.Wrap(err, fault.Crashed, fault.MayHaveRun, "the endpoint crashed")
	}
	pause(ctx, reconnectPause)
	return err
}

// receive passes the answer of one connection on.
func (mo *modelRun) receive(wa *watch, rs *http.Response) error {
	if mo.call.Stream {
		return mo.receiveEvents(wa, rs)
	}
	return mo.receiveWhole(wa, rs)
}

func (mo *modelRun) receiveWhole(wa *watch, rs *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(wa.reader(rs.Body), maxResponseBytes))
	if err != nil {
		return wa.cause(err)
	}
	mo.usage = usageOf(data)
	if err := mo.head(rs); err != nil {
		return err
	}
	return mo.pass(data)
}

func (mo *modelRun) receiveEvents(wa *watch, rs *http.Response) error {
	ev := events.NewReader(wa.reader(rs.Body))
	for {
		data, err := ev.Next()
		if errors.Is(err, io.EOF) {
			// The last event says that it is the last, so a stream that ends without it was cut.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return wa.cause(err)
		}
		mo.passed++
		if err := mo.head(rs); err != nil {
			return err
		}
		if us, ok := usageIn(data); ok {
			mo.usage = us
			if mo.call.StripUsage && usageOnly(data) {
				continue
			}
		}
		if err := mo.pass(data); err != nil {
			return err
		}
		if isDone(data) {
			return nil
		}
	}
}

func (mo *modelRun) head(rs *http.Response) error {
	if mo.headed {
		return nil
	}
	mo.headed = true
	if err := mo.sink.Head(rs.StatusCode, rs.Header.Get("Content-Type")); err != nil {
		return callerLeft(err)
	}
	return nil
}

func (mo *modelRun) pass(data []byte) error {
	if err := mo.sink.Chunk(data); err != nil {
		return callerLeft(err)
	}
	return nil
}

func callerLeft(err error) error {
	return fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
}

// cancel ends a run that nobody waits for and learns what it cost.
func (mo *modelRun) cancel(ctx context.Context) {
	cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	url := fmt.Sprintf("%s/v1/streams/%s/cancel", mo.call.Endpoint.Address, mo.call.ID)
	rq, err := http.NewRequestWithContext(cctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return
	}
	rs, err := mo.client.fresh.Do(rq)
	if err != nil {
		return
	}
	defer closeBody(rs)
	data, err := io.ReadAll(io.LimitReader(rs.Body, errorBodyBytes))
	if err != nil || rs.StatusCode != http.StatusOK {
		return
	}
	mo.usage = bareUsage(data)
}

func pause(ctx context.Context, delay time.Duration) {
	ti := time.NewTimer(delay)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}
