package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// uploadBytes exceeds what the socket buffers of both sides hold, so that the request is still being written when the response arrives.
	uploadBytes = 16 << 20
	// uploadRounds is the number of requests; which side of the connection sees a reset first differs from one to the next.
	uploadRounds = 40
)

// earlyServer answers each request as soon as it has read its head, and then resets or closes the connection without reading the body.
type earlyServer struct {
	listener net.Listener
	answer   string
	// reset is set if the server resets the connection; otherwise it reads the body first.
	reset bool
}

func newEarlyServer(tt *testing.T, answer string, reset bool) *earlyServer {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tt.Fatal(err)
	}
	es := &earlyServer{listener: li, answer: answer, reset: reset}
	tt.Cleanup(func() { _ = li.Close() })
	go es.runAccept()
	return es
}

func (es *earlyServer) runAccept() {
	for {
		nc, err := es.listener.Accept()
		if err != nil {
			return
		}
		go es.runConn(nc)
	}
}

func (es *earlyServer) runConn(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	rq, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	if _, err := io.WriteString(nc, es.answer); err != nil {
		return
	}
	if !es.reset {
		_, _ = io.Copy(io.Discard, rq.Body)
		return
	}
	// The client reads the head and a part of the body before the reset.
	time.Sleep(5 * time.Millisecond)
	_ = nc.(*net.TCPConn).SetLinger(0)
}

// TestUnframedResponseResetDuringUpload guards against a reset that the goroutine which writes the request takes off the socket: the reader then sees a
// regular end, and a response without length and chunks would count as complete.
func TestUnframedResponseResetDuringUpload(tt *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf of the "
	cases := []struct {
		name     string
		reset    bool
		complete bool
	}{
		{"reset while the request is written", true, false},
		{"closed after the request was read", false, true},
	}
	body := make([]byte, uploadBytes)
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			es := newEarlyServer(tt, answer, tc.reset)
			po := conns.NewPool(conns.DirectDialer{}, func() {})
			complete := 0
			for range uploadRounds {
				if upload(tt, po, es.listener.Addr().String(), body) {
					complete++
				}
			}
			if want := map[bool]int{false: 0, true: uploadRounds}[tc.complete]; complete != want {
				tt.Errorf("%d of %d responses were complete, want %d", complete, uploadRounds, want)
			}
		})
	}
}

// upload sends one request and reports whether its response counts as complete.
func upload(tt *testing.T, po *conns.Pool, address string, body []byte) bool {
	tt.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	ex, err := po.Do(ctx, address, conns.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: body,
		Matches: func(http.Header, bool) bool { return true },
	})
	if err != nil {
		if ve := fault.From(err, fault.Ran).Verdict(); ve != fault.MayHaveRun {
			tt.Errorf("verdict %s, want that the request may have run", ve)
		}
		return false
	}
	defer ex.Close()
	_, err = io.ReadAll(ex.Response.Body)
	return err == nil
}
