package runner

import (
	"context"
	"errors"
	"io"
	"time"
)

// watch ends a connection that receives nothing for a while.
type watch struct {
	ctx    context.Context //nolint:containedctx // a watch is a context with a timer
	cancel context.CancelCauseFunc
	timer  *time.Timer
	after  time.Duration
}

func newWatch(ctx context.Context, after time.Duration) *watch {
	wctx, cancel := context.WithCancelCause(ctx)
	wa := &watch{ctx: wctx, cancel: cancel, after: after}
	wa.timer = time.AfterFunc(after, func() { cancel(errSilent) })
	return wa
}

func (wa *watch) stop() {
	wa.timer.Stop()
	wa.cancel(nil)
}

// cause returns errSilent where the silence ended the connection, or else the error.
func (wa *watch) cause(err error) error {
	if errors.Is(context.Cause(wa.ctx), errSilent) {
		return errSilent
	}
	return err
}

func (wa *watch) reader(rd io.Reader) io.Reader { return &watchedReader{watch: wa, reader: rd} }

type watchedReader struct {
	watch  *watch
	reader io.Reader
}

func (wr *watchedReader) Read(buf []byte) (int, error) {
	count, err := wr.reader.Read(buf)
	if count > 0 {
		wr.watch.timer.Reset(wr.watch.after)
	}
	return count, err
}
