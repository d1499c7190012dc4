package fakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// resetDelay is the pause before a reset, so that the bytes sent before it arrive.
	resetDelay = 20 * time.Millisecond
	// maxEndlessBytes bounds the bytes of a response without end.
	maxEndlessBytes = 256 << 20
	// placeholderID and placeholderPrevious stand in an answer for the ID of the request and that of the one before it on the connection.
	placeholderID       = "{ID}"
	placeholderPrevious = "{PREVIOUS}"
)

// RawServer answers requests with the given bytes, whether or not they are valid responses. It serves one connection at a time.
type RawServer struct {
	// Answers are the texts to send on each connection, one for each request. "{ID}" stands for the value of the request's header X-Request-ID,
	// and "{PREVIOUS}" for that of the request before it on the connection.
	Answers []string
	// Endless is sent again and again after the last answer until the client closes the connection, if it is not empty.
	Endless string
	// Reset ends each connection with a reset after the last answer.
	Reset bool
	// Early sends each answer as soon as the head of its request has arrived. The body is read after the answer, or not at all before a reset.
	Early    bool
	listener net.Listener
	sent     chan int
}

// Start listens on a free loopback port and returns the address.
func (rs *RawServer) Start() (string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	rs.listener, rs.sent = li, make(chan int, 1)
	go rs.run()
	return li.Addr().String(), nil
}

// Close stops listening.
func (rs *RawServer) Close() { _ = rs.listener.Close() }

// Sent waits for the end of a connection and returns the number of endless bytes that were sent on it.
func (rs *RawServer) Sent() int { return <-rs.sent }

func (rs *RawServer) run() {
	for {
		nc, err := rs.listener.Accept()
		if err != nil {
			return
		}
		sent := rs.serve(nc)
		_ = nc.Close()
		select {
		case rs.sent <- sent:
		default:
		}
	}
}

// serve answers the requests of one connection and returns the number of endless bytes that were sent.
func (rs *RawServer) serve(nc net.Conn) int {
	reader := bufio.NewReader(nc)
	previous := ""
	for _, text := range rs.Answers {
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return 0
		}
		if !rs.readBody(rq, !rs.Early) {
			return 0
		}
		id := rq.Header.Get(headerRequestID)
		text = strings.NewReplacer(placeholderID, id, placeholderPrevious, previous).Replace(text)
		if _, err := io.WriteString(nc, text); err != nil {
			return 0
		}
		if !rs.readBody(rq, rs.Early && !rs.Reset) {
			return 0
		}
		previous = id
	}
	if tc, ok := nc.(*net.TCPConn); ok && rs.Reset {
		time.Sleep(resetDelay)
		_ = tc.SetLinger(0)
	}
	sent := 0
	for rs.Endless != "" && sent < maxEndlessBytes {
		count, err := io.WriteString(nc, rs.Endless)
		sent += count
		if err != nil {
			break
		}
	}
	return sent
}

// readBody reads the body of a request if due is set, and reports whether that succeeded.
func (rs *RawServer) readBody(rq *http.Request, due bool) bool {
	if !due {
		return true
	}
	_, err := io.Copy(io.Discard, rq.Body)
	return err == nil
}
