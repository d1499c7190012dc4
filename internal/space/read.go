package space

import (
	"io"

	"github.com/rotisserie/eris"
)

// firstBytes is the size of a new buffer.
const firstBytes = 4 << 10

var (
	// ErrFull is returned if the space has no room for the data.
	ErrFull = eris.New("too much data is buffered")
	// ErrTooLarge is returned if the data exceeds its own bound.
	ErrTooLarge = eris.New("the data is too large")
)

// ReadAll reads all data into a buffer of the account. expected is the number of bytes that the sender has announced, or negative. It fails with
// ErrTooLarge if there are more than maxBytes, and with ErrFull if the space has no room for them. The memory is taken as data arrives, so that
// announcing data costs nothing.
func (ac *Account) ReadAll(rd io.Reader, expected, maxBytes int64) ([]byte, error) {
	size := int64(0)
	var data []byte
	for {
		if int64(len(data)) == size {
			next := nextSize(size, expected, maxBytes)
			if !ac.Take(next) {
				return nil, ErrFull
			}
			grown := make([]byte, len(data), next)
			copy(grown, data)
			data = grown
			ac.Give(size)
			size = next
		}
		count, err := rd.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case int64(len(data)) > maxBytes:
			return nil, ErrTooLarge
		case err == io.EOF: // A wrapped EOF is that of a truncated body.
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer that replaces one of the given size. One byte beyond the expected end lets the reader see the end.
func nextSize(size, expected, maxBytes int64) int64 {
	next := max(firstBytes, 2*size)
	if expected >= size && next > expected {
		next = expected + 1
	}
	return min(next, maxBytes+1)
}
