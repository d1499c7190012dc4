package conns

import (
	"io"

	"github.com/rotisserie/eris"
)

// maxHeadBytes bounds the status and the headers of a response, with the interim responses before it. An endpoint in trouble may send bytes
// without end.
const maxHeadBytes = 256 << 10

// errHeadTooLarge is returned for a response whose status and headers exceed maxHeadBytes.
var errHeadTooLarge = eris.New("the status and the headers of the response are too large")

// headReader bounds the bytes that are read from its source between start and stop.
type headReader struct {
	source  io.Reader
	bounded bool
	// received is called after each read that returned data, or nil.
	received func()
	// left is the number of bytes that may still be read while the reader is bounded.
	left int
}

func (hr *headReader) start() { hr.bounded, hr.left = true, maxHeadBytes }

func (hr *headReader) stop() { hr.bounded = false }

// Read reads from the source; it fails with errHeadTooLarge beyond the bound.
func (hr *headReader) Read(data []byte) (int, error) {
	if !hr.bounded {
		return hr.read(data)
	}
	if hr.left <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := hr.read(data[:min(len(data), hr.left)])
	hr.left -= count
	return count, err
}

func (hr *headReader) read(data []byte) (int, error) {
	count, err := hr.source.Read(data)
	if count > 0 && hr.received != nil {
		hr.received()
	}
	return count, err
}
