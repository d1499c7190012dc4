package runner

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// uploadState receives the outcome of writing one request.
type uploadState struct {
	ended chan error
}

func newUploadState() *uploadState { return &uploadState{ended: make(chan error, 1)} }

// end records the outcome; only the first one counts.
func (us *uploadState) end(err error) {
	select {
	case us.ended <- err:
	default:
	}
}

// guard makes reading a response without length and chunks fail if the request was not written completely. A reset that fails the writing of the request
// is reported there only; the reader then sees a regular end of the connection.
func (us *uploadState) guard(ctx context.Context, rs *http.Response) {
	if rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 {
		rs.Body = &guardedBody{ReadCloser: rs.Body, ctx: ctx, upload: us}
	}
}

// guardedBody is the body of a response that ends with its connection.
type guardedBody struct {
	io.ReadCloser
	ctx    context.Context //nolint:containedctx // lives as long as one call
	upload *uploadState
}

func (gb *guardedBody) Read(data []byte) (int, error) {
	count, err := gb.ReadCloser.Read(data)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	select {
	case failure := <-gb.upload.ended:
		gb.upload.end(failure)
		if failure != nil {
			return count, io.ErrUnexpectedEOF
		}
		return count, err
	case <-gb.ctx.Done():
		return count, gb.ctx.Err()
	}
}
