package conns

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const readBufferBytes = 4 << 10

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net     net.Conn
	address string
	head    *headReader
	// reader reads through head.
	reader *bufio.Reader
	// expires is the time at which the idle connection is closed.
	expires time.Time
	// keepAlive is the idle timeout of the connection.
	keepAlive time.Duration
	// peer is the name of the instance that relays the connection, or empty.
	peer string
	// refused holds the IDs of the last requests that the endpoint refused on this connection.
	refused []string
	// reused reports whether the connection has carried a request before.
	reused bool
}

func newConn(nc net.Conn, address, peer string) *conn {
	he := &headReader{source: nc}
	return &conn{net: nc, address: address, peer: peer, head: he, reader: bufio.NewReaderSize(he, readBufferBytes), keepAlive: defaultKeepAlive}
}

// maxRefused bounds the IDs of refused requests that a connection remembers.
const maxRefused = 64

// recordRefusal remembers that the endpoint refused a request on this connection.
func (co *conn) recordRefusal(id string) {
	if len(co.refused) == maxRefused {
		co.refused = append(co.refused[:0], co.refused[1:]...)
	}
	co.refused = append(co.refused, id)
}

func (co *conn) close() { _ = co.net.Close() }

// idleAlive reports whether the idle connection is open and has no unexpected data waiting to be read.
func (co *conn) idleAlive() bool {
	tc, ok := co.net.(syscall.Conn)
	if !ok || co.reader.Buffered() > 0 {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// A closed connection reads as EOF, and one with data reads a byte.
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// updateKeepAlive sets the idle time from the endpoint's header Keep-Alive, if it has a timeout.
func (co *conn) updateKeepAlive(he http.Header) {
	for _, part := range strings.Split(he.Get("Keep-Alive"), ",") {
		val, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(val); err == nil {
			co.keepAlive = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}
