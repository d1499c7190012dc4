package runner

import (
	"context"
	"errors"
	"io"
	"time"
)

// idleTimer ends a connection that receives nothing for a while.
type idleTimer struct {
	ctx     context.Context //nolint:containedctx // a watch is a context with a timer
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
}

func newIdleTimer(ctx context.Context, after time.Duration) *idleTimer {
	wctx, cancel := context.WithCancelCause(ctx)
	wa := &idleTimer{ctx: wctx, cancel: cancel, timeout: after}
	wa.timer = time.AfterFunc(after, func() { cancel(errIdleTimeout) })
	return wa
}

func (wa *idleTimer) stop() {
	wa.timer.Stop()
	wa.cancel(nil)
}

// errorOf returns errSilent where the silence ended the connection, or else the error.
func (wa *idleTimer) errorOf(err error) error {
	if errors.Is(context.Cause(wa.ctx), errIdleTimeout) {
		return errIdleTimeout
	}
	return err
}

func (wa *idleTimer) reader(rd io.Reader) io.Reader { return &idleReader{idleTimer: wa, reader: rd} }

type idleReader struct {
	idleTimer *idleTimer
	reader    io.Reader
}

func (wr *idleReader) Read(buf []byte) (int, error) {
	count, err := wr.reader.Read(buf)
	if count > 0 {
		wr.idleTimer.timer.Reset(wr.idleTimer.timeout)
	}
	return count, err
}
