package caller

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

// sink writes a response to the caller; the chunks of a stream are flushed one by one.
type sink struct {
	context     echo.Context
	stream      bool
	headWritten bool
}

func newSink(ct echo.Context, stream bool) *sink {
	return &sink{context: ct, stream: stream}
}

// Head writes the status and the headers of the response.
func (si *sink) Head(status int, contentType string) error {
	si.headWritten = true
	hd := si.context.Response().Header()
	hd.Set(echo.HeaderContentType, contentType)
	hd.Set(HeaderVerdict, fault.Ran.String())
	if si.stream {
		hd.Set(echo.HeaderCacheControl, "no-cache")
	}
	si.context.Response().WriteHeader(status)
	return nil
}

// Chunk writes a part of the body.
func (si *sink) Chunk(data []byte) error {
	if _, err := si.context.Response().Write(data); err != nil {
		return err
	}
	if si.stream {
		return http.NewResponseController(si.context.Response().Writer).Flush()
	}
	return nil
}

// fail sends an error to the caller. If the response has begun, it aborts the connection, so that the caller cannot take the
// truncated response for a complete one. If the response is a stream, it sends an error event first.
func (si *sink) fail(fa *fault.Error) error {
	if !si.headWritten {
		return fa
	}
	if !si.stream {
		panic(http.ErrAbortHandler)
	}
	event := append([]byte("data: "), errorBody(fa)...)
	_ = si.Chunk(append(event, "\n\n"...))
	panic(http.ErrAbortHandler)
}
