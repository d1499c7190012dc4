package runner_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/internal/runner"
	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	// uploadBytes exceeds what the socket buffers of both sides hold, so that the request is still being written when the response arrives.
	uploadBytes = 16 << 20
	// uploadRounds is the number of calls; which side of the connection sees a reset first differs from one to the next.
	uploadRounds = 30
)

// TestUnframedResponseResetDuringUpload guards against a response without length and chunks that counts as complete although its connection was reset
// while the request was still being written.
func TestUnframedResponseResetDuringUpload(tt *testing.T) {
	cases := []struct {
		name  string
		reset bool
		want  int
	}{
		{"reset while the request is written", true, 0},
		{"closed after the request was read", false, uploadRounds},
	}
	body := make([]byte, uploadBytes)
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			rs := fakes.RawServer{Answers: []string{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of the "}, Early: true, Reset: tc.reset}
			address, err := rs.Start()
			if err != nil {
				tt.Fatal(err)
			}
			defer rs.Close()
			cl := runner.New(runner.Config{Dial: (&net.Dialer{}).DialContext, SilentAfter: time.Second, ServiceTimeout: requestTimeout})
			complete := 0
			for range uploadRounds {
				ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
				ca := engine.Call{ID: "1", Method: http.MethodPost, Path: "/x", Body: body}
				ca.Endpoint = ticket.Endpoint{Name: "endpoint", Service: "payments", Address: "http://" + address}
				if _, err := cl.Run(ctx, ca, &sink{}); err == nil {
					complete++
				}
				cancel()
			}
			if complete != tc.want {
				tt.Errorf("%d of %d responses were complete, want %d", complete, uploadRounds, tc.want)
			}
		})
	}
}
