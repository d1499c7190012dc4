package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	bufferBytes   = 4 << 10
	maxEventBytes = 1 << 20
	// firstBytes is the size of a new buffer, and maxKeptBytes the size up to which one is kept for further events.
	firstBytes   = 512
	maxKeptBytes = 64 << 10
)

var (
	// ErrTooLarge is returned for an event that exceeds the size limit.
	ErrTooLarge = eris.New("an event of the response is too large")
	// ErrNoMemory is returned for an event that the memory of the reader has no room for.
	ErrNoMemory = eris.New("there is no memory for an event of the response")
)

var (
	newline     = []byte("\n")
	newlineCR   = []byte("\r\n")
	emptyLine   = []byte("\n\n")
	emptyLineCR = []byte("\n\r\n")
	idField     = []byte("id:")
	dataField   = []byte("data")
	// controlFields begin the lines of events without data: comments, and the fields that the format defines.
	controlFields = [][]byte{[]byte(":"), []byte("event"), []byte("id"), []byte("retry")}
)

// Memory counts the bytes that readers buffer.
type Memory interface {
	// Take takes a number of bytes and reports whether they were free.
	Take(bytes int64) bool
	// Give gives bytes back.
	Give(bytes int64)
}

// unbounded is a Memory without a bound.
type unbounded struct{}

func (unbounded) Take(int64) bool { return true }

func (unbounded) Give(int64) {}

// Reader reads single events from a stream of server-sent events.
type Reader struct {
	reader *bufio.Reader
	buffer []byte
	memory Memory
}

// NewReader returns a reader of the events in rd.
func NewReader(rd io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(rd, bufferBytes), memory: unbounded{}}
}

// WithMemory returns a reader of the same events that takes its buffer from the memory. Nothing must have been read, and Close must be called at the end.
func (re *Reader) WithMemory(me Memory) *Reader { return &Reader{reader: re.reader, memory: me} }

// Close gives the memory of the buffer back.
func (re *Reader) Close() {
	re.memory.Give(int64(cap(re.buffer)))
	re.buffer = nil
}

// add appends a line to the buffer and reports whether the memory had room for it.
func (re *Reader) add(line []byte) bool {
	size, needed := cap(re.buffer), len(re.buffer)+len(line)
	if needed > size {
		next := max(needed, 2*size, firstBytes)
		if !re.memory.Take(int64(next)) {
			return false
		}
		grown := make([]byte, len(re.buffer), next)
		copy(grown, re.buffer)
		re.buffer = grown
		re.memory.Give(int64(size))
	}
	re.buffer = append(re.buffer, line...)
	return true
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
	if cap(re.buffer) > maxKeptBytes {
		re.Close()
	}
	re.buffer = re.buffer[:0]
	for {
		line, err := re.reader.ReadSlice('\n')
		if len(re.buffer)+len(line) > maxEventBytes {
			return nil, ErrTooLarge
		}
		if !re.add(line) {
			return nil, ErrNoMemory
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

// IsControl reports whether an event without data consists of comments and known fields only. Other text, such as that of an error, is no part of a stream.
func IsControl(event []byte) bool {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, newline)
		event = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		known := slices.ContainsFunc(controlFields, func(field []byte) bool {
			after, ok := bytes.CutPrefix(line, field)
			return ok && (field[0] == ':' || len(after) == 0 || after[0] == ':')
		})
		if len(line) > 0 && !known {
			return false
		}
	}
	return true
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
