package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// inlineBodyBytes is the maximum size of a request that is written before its response is read. A larger request is written while the
	// response is read, since an endpoint may respond without reading the whole request.
	inlineBodyBytes = 16 << 10
	// headBytes is the initial size of the buffer for the request line and the headers.
	headBytes = 1 << 10
	// maxStaleResponses bounds the responses to earlier requests that are skipped on one connection.
	maxStaleResponses = 2
	// maxStaleBytes bounds the body of a skipped response.
	maxStaleBytes = 1 << 20
)

// Request is a request to an endpoint.
type Request struct {
	// ID identifies the request. It is not sent on a connection on which the endpoint has refused it: a copy of that refusal may still arrive there.
	ID string
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Method is the HTTP method.
	Method string
	// Target is the path and the query, exactly as the caller sent them.
	Target string
	// Host is the value of the header Host.
	Host string
	// Header holds the other headers to send.
	Header http.Header
	// Body is the complete request body.
	Body []byte
	// NewConn requires a new connection instead of an idle one.
	NewConn bool
	// Matches reports whether a response with these headers belongs to this request. first is set if the connection has carried no other
	// request, so that the response cannot be a late one to an earlier request.
	Matches func(he http.Header, first bool) bool
}

// Exchange is a request that was sent, with its response. Close must be called once.
type Exchange struct {
	// Response has the status and the headers; reading its body fails if the endpoint closes the connection before the end.
	Response *http.Response
	// Reused reports whether the connection had carried a request before.
	Reused bool
	// Peer is the name of the instance that relays the connection, or empty.
	Peer string
	pool *Pool
	conn *conn
	id   string
	stop func() bool
	// arrived ends the wait for the first data of the response.
	arrived func()
	// written is closed when the writing of the request has ended, with the error in writeErr.
	written  chan struct{}
	writeErr error
	complete bool
	// bodiless reports whether a response of this kind has no body, as to HEAD.
	bodiless bool
	once     sync.Once
}

// Do sends a request and returns when the status and the headers of its response have arrived.
//
// An error is a *fault.Error. Its verdict is NotRun if no connection could be opened, and otherwise MayHaveRun. When the context ends, the
// connection is closed.
func (po *Pool) Do(ctx context.Context, address string, rq Request) (*Exchange, error) {
	co, err := po.get(ctx, address, rq)
	if err != nil {
		return nil, err
	}
	ex := &Exchange{pool: po, conn: co, id: rq.ID, written: make(chan struct{}), Reused: co.reused, Peer: co.peer, arrived: func() {}}
	if co.peer == "" {
		ex.arrived = po.dialer.Sent(rq.Endpoint)
		co.head.received = func() {
			ex.arrived()
			po.dialer.Received(rq.Endpoint)
		}
	}
	co.reused = true
	ex.stop = context.AfterFunc(ctx, co.close)
	if err := ex.send(rq); err != nil {
		ex.abort()
		return nil, fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the request could not be sent completely")
	}
	if err := ex.readHead(rq); err != nil {
		ex.abort()
		return nil, fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the endpoint did not answer")
	}
	return ex, nil
}

// Framed reports whether the response has a length or chunks, or may have no body, so that its end does not depend on the end of the
// connection.
func (ex *Exchange) Framed() bool {
	return ex.bodiless || ex.Response.ContentLength >= 0 || len(ex.Response.TransferEncoding) > 0
}

// RecordRefusal records that the endpoint refused the request.
func (ex *Exchange) RecordRefusal() { ex.conn.recordRefusal(ex.id) }

// SetReadDeadline sets the deadline for reading the response.
func (ex *Exchange) SetReadDeadline(at time.Time) { _ = ex.conn.net.SetReadDeadline(at) }

// Close returns the connection to the pool if request and response are complete and no further data has arrived; otherwise, and if a peer relays it,
// Close closes it. A relayed connection carries one request, so that the end of the request is the end of the peer's work.
func (ex *Exchange) Close() {
	ex.once.Do(func() {
		ex.arrived()
		if !ex.stop() || ex.Peer != "" || !ex.complete || ex.Response.Close || ex.conn.reader.Buffered() > 0 || !ex.fullyWritten() {
			ex.conn.close()
			return
		}
		_ = ex.conn.net.SetReadDeadline(time.Time{})
		ex.conn.updateKeepAlive(ex.Response.Header)
		ex.conn.expires = time.Now().Add(ex.conn.keepAlive)
		ex.pool.put(ex.conn)
	})
}

// abort closes the connection, so that it does not return to the pool.
func (ex *Exchange) abort() {
	ex.arrived()
	ex.stop()
	ex.conn.close()
}

// fullyWritten reports whether the request was written completely.
func (ex *Exchange) fullyWritten() bool {
	select {
	case <-ex.written:
		return ex.writeErr == nil
	default:
		return false
	}
}

// endWrite ends the writing of the request and reports whether the request was written completely.
func (ex *Exchange) endWrite() bool {
	_ = ex.conn.net.SetWriteDeadline(time.Now())
	<-ex.written
	_ = ex.conn.net.SetWriteDeadline(time.Time{})
	return ex.writeErr == nil
}

// send writes a small request, or starts to write a large one concurrently.
func (ex *Exchange) send(rq Request) error {
	head := encodeHead(rq)
	if len(head)+len(rq.Body) > inlineBodyBytes {
		go ex.runWrite(net.Buffers{head, rq.Body})
		return nil
	}
	defer close(ex.written)
	_, ex.writeErr = ex.conn.net.Write(append(head, rq.Body...))
	return ex.writeErr
}

// runWrite writes a large request while the response is read.
func (ex *Exchange) runWrite(data net.Buffers) {
	defer close(ex.written)
	_, ex.writeErr = data.WriteTo(ex.conn.net)
}

// encodeHead returns the request line and the headers. The body is not copied, since it may be large.
func encodeHead(rq Request) []byte {
	var bu bytes.Buffer
	bu.Grow(headBytes)
	bu.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	_ = rq.Header.Write(&bu)
	if len(rq.Body) > 0 || (rq.Method != http.MethodGet && rq.Method != http.MethodHead) {
		bu.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	bu.WriteString("\r\n")
	return bu.Bytes()
}

// readHead reads the status and the headers of the response, and skips responses to earlier requests on this connection.
func (ex *Exchange) readHead(rq Request) error {
	for range maxStaleResponses + 1 {
		ex.conn.head.start()
		rs, err := readFinalHead(ex.conn.reader, rq.Method) //nolint:bodyclose // the exchange closes the connection or returns it to the pool
		ex.conn.head.stop()
		if err != nil {
			return err
		}
		if rq.Matches(rs.Header, !ex.Reused) {
			ex.Response = rs
			ex.bodiless = rs.Body == http.NoBody
			ex.complete = ex.bodiless
			rs.Body = &body{exchange: ex, source: rs.Body}
			return nil
		}
		if rs.Close {
			return eris.New("the connection ends with a response to another request")
		}
		if skipped, err := io.Copy(io.Discard, io.LimitReader(rs.Body, maxStaleBytes)); err != nil || skipped == maxStaleBytes {
			return eris.New("the connection carried a response to another request that could not be skipped")
		}
	}
	return eris.New("the connection carried only responses to other requests")
}

// readFinalHead reads the status and the headers of the next response, and skips interim (1xx) responses.
func readFinalHead(re *bufio.Reader, method string) (*http.Response, error) {
	for {
		rs, err := http.ReadResponse(re, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case !ValidStatus(rs.StatusCode):
			return nil, eris.Errorf("the endpoint sent a response with the status %03d", rs.StatusCode)
		case rs.StatusCode >= http.StatusOK:
			return rs, nil
		case rs.StatusCode == http.StatusSwitchingProtocols:
			return nil, eris.New("the endpoint switched protocols")
		}
	}
}

// ValidStatus reports whether HTTP defines a class for the status of a response. The parser accepts any three digits.
func ValidStatus(status int) bool { return status >= http.StatusContinue && status < 600 }

// body is a response body that marks its exchange as complete at the end.
type body struct {
	exchange *Exchange
	source   io.ReadCloser
}

func (bo *body) Read(data []byte) (int, error) {
	count, err := bo.source.Read(data)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if !bo.exchange.Framed() && !bo.exchange.endWrite() {
		// A reset that fails the writing of the request is reported there only; the reader then sees a regular end.
		return count, io.ErrUnexpectedEOF
	}
	bo.exchange.complete = true
	return count, err
}

func (bo *body) Close() error { return nil }
