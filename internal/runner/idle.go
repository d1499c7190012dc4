package runner

import (
	"context"
	"errors"
	"io"
	"time"
)

// idleTimer cancels its context with errIdleTimeout when the connection has received no data for the timeout.
type idleTimer struct {
	ctx     context.Context //nolint:containedctx // an idleTimer is a context with a timer
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
}

func newIdleTimer(ctx context.Context, timeout time.Duration) *idleTimer {
	ictx, cancel := context.WithCancelCause(ctx)
	idl := &idleTimer{ctx: ictx, cancel: cancel, timeout: timeout}
	idl.timer = time.AfterFunc(timeout, func() { cancel(errIdleTimeout) })
	return idl
}

func (idl *idleTimer) stop() {
	idl.timer.Stop()
	idl.cancel(nil)
}

// errorOf returns errIdleTimeout if the timer canceled the context, and otherwise err.
func (idl *idleTimer) errorOf(err error) error {
	if errors.Is(context.Cause(idl.ctx), errIdleTimeout) {
		return errIdleTimeout
	}
	return err
}

// reader returns a reader that restarts the timer whenever data arrives.
func (idl *idleTimer) reader(rd io.Reader) io.Reader { return &idleReader{idleTimer: idl, reader: rd} }

type idleReader struct {
	idleTimer *idleTimer
	reader    io.Reader
}

func (ir *idleReader) Read(buf []byte) (int, error) {
	count, err := ir.reader.Read(buf)
	if count > 0 {
		ir.idleTimer.timer.Reset(ir.idleTimer.timeout)
	}
	return count, err
}
