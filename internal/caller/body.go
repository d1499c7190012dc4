package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

// maxPreallocBytes is the maximum size of the buffer that is allocated for a declared Content-Length before any data has arrived.
const maxPreallocBytes = 1 << 20

// readBody reads the complete body within the limits of size and time.
func (se *server) readBody(ct echo.Context) ([]byte, error) {
	rq := ct.Request()
	if rq.ContentLength > se.config.MaxBodyBytes {
		return nil, tooLarge()
	}
	rc := http.NewResponseController(ct.Response())
	_ = rc.SetReadDeadline(time.Now().Add(se.config.BodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	data, err := readAll(http.MaxBytesReader(ct.Response(), rq.Body, se.config.MaxBodyBytes), rq.ContentLength)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &large):
		return nil, tooLarge()
	default:
		return nil, fault.Wrap(err, fault.Invalid, fault.NotRun, "the body was cut off or not received in time")
	}
}

func readAll(rd io.Reader, length int64) ([]byte, error) {
	if length <= 0 || length > maxPreallocBytes {
		return io.ReadAll(rd)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(rd, data)
	return data, err
}

func tooLarge() error {
	return fault.New(fault.TooLarge, fault.NotRun, "the body is larger than allowed")
}
