package mesh

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"syscall"

	"github.com/clementineweir/clementineweir/internal/conns"
)

const (
	// frameHeaderBytes is the size of the header of a frame: the number of bytes that follow.
	frameHeaderBytes = 4
	// frameEnd and frameReset are headers of frames without data: the endpoint has ended the connection, or it was reset.
	frameEnd   = 0
	frameReset = 1<<32 - 1
)

// frame writes the header for count bytes to the start of the buffer, and returns the frame.
func frame(buffer []byte, count int) []byte {
	binary.BigEndian.PutUint32(buffer, uint32(count))
	return buffer[:frameHeaderBytes+count]
}

// endFrame returns a frame without data.
func endFrame(header uint32) []byte {
	return binary.BigEndian.AppendUint32(nil, header)
}

// relayConn is a connection that a peer relays. What the endpoint sends arrives in frames, since the end of the peer's process could otherwise be taken
// for that of the endpoint's response.
type relayConn struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of bytes left of the current frame.
	left uint32
}

func newRelayConn(nc net.Conn, reader *bufio.Reader) *relayConn {
	return &relayConn{Conn: nc, reader: reader}
}

// Read reads data of the endpoint. It returns io.EOF if the endpoint has ended its connection, ECONNRESET if that was reset, and conns.ErrRelayLost if
// the relay broke off.
func (rc *relayConn) Read(data []byte) (int, error) {
	if rc.left == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(rc.reader, header[:]); err != nil {
			return 0, relayError(err)
		}
		switch size := binary.BigEndian.Uint32(header[:]); size {
		case frameEnd:
			return 0, io.EOF
		case frameReset:
			return 0, syscall.ECONNRESET
		default:
			rc.left = size
		}
	}
	count, err := rc.reader.Read(data[:min(len(data), int(rc.left))])
	rc.left -= uint32(count)
	if err != nil {
		err = relayError(err)
	}
	return count, err
}

// relayError returns the error for a relayed connection that broke off. It must not match io.EOF, as errors of eris with the same text would.
func relayError(err error) error {
	return fmt.Errorf("%w: %s", conns.ErrRelayLost, err.Error())
}
