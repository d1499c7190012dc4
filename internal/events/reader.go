package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	bufferBytes   = 4 << 10
	maxEventBytes = 1 << 20
)

// ErrTooLarge is returned for an event that exceeds the size limit.
var ErrTooLarge = eris.New("an event of the response is too large")

var (
	newline     = []byte("\n")
	newlineCR   = []byte("\r\n")
	emptyLine   = []byte("\n\n")
	emptyLineCR = []byte("\n\r\n")
	idField     = []byte("id:")
	dataField   = []byte("data")
)

// Reader reads single events from a stream of server-sent events.
type Reader struct {
	reader *bufio.Reader
	buffer []byte
}

// NewReader returns a reader of the events in rd.
func NewReader(rd io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(rd, bufferBytes)}
}

// Buffered reports whether the next event is buffered completely, so that Next returns it without waiting for data.
func (re *Reader) Buffered() bool {
	data, err := re.reader.Peek(re.reader.Buffered())
	return err == nil && (bytes.Contains(data, emptyLine) || bytes.Contains(data, emptyLineCR))
}

// Next returns the bytes of the next complete event, which are valid until the next call.
//
// It fails with io.EOF if the stream ends after a complete event, and with io.ErrUnexpectedEOF if it ends within one.
func (re *Reader) Next() ([]byte, error) {
	re.buffer = re.buffer[:0]
	for {
		line, err := re.reader.ReadSlice('\n')
		re.buffer = append(re.buffer, line...)
		if len(re.buffer) > maxEventBytes {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(re.buffer) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		blank := bytes.Equal(line, newline) || bytes.Equal(line, newlineCR)
		if blank && len(re.buffer) > len(line) {
			return re.buffer, nil
		}
		if blank {
			re.buffer = re.buffer[:0]
		}
	}
}

// HasData reports whether an event carries data. One without data, such as a comment that keeps the connection open, shows no progress.
func HasData(event []byte) bool {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, newline)
		event = rest
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

// ID returns the numeric id of an event, and false if it has none.
func ID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, newline)
		event = rest
		if val, ok := bytes.CutPrefix(line, idField); ok {
			num, err := strconv.ParseInt(string(bytes.TrimSpace(val)), 10, 64)
			return num, err == nil
		}
	}
	return 0, false
}
