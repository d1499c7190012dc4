package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
)

// TestStopAnswersAcceptedConnections guards against a stop that closes connections which the kernel has accepted, and whose requests have been
// sent, without an answer.
func TestStopAnswersAcceptedConnections(tt *testing.T) {
	const callers = 64
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tt.Fatal(err)
	}
	sv := &servers{edge: &Edge{config: Config{Logger: logr.Discard()}}, callers: li, handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wr, "answer")
	})}
	var open []net.Conn
	for range callers {
		nc, err := net.Dial("tcp", li.Addr().String())
		if err != nil {
			tt.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			tt.Fatal(err)
		}
		open = append(open, nc)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- sv.run(ctx) }()
	sv.shutdown(ctx)
	answered := 0
	for _, nc := range open {
		_ = nc.SetReadDeadline(time.Now().Add(time.Second))
		rs, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			continue
		}
		data, err := io.ReadAll(rs.Body)
		_ = rs.Body.Close()
		if err == nil && string(data) == "answer" {
			answered++
		}
	}
	if diff := cmp.Diff(callers, answered); diff != "" {
		tt.Errorf("answered callers (-want +got):\n%s", diff)
	}
	cancel()
	if err := <-done; err != nil {
		tt.Error(err)
	}
}
