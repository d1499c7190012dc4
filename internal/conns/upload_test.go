package conns_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// uploadBytes exceeds what the socket buffers of both sides hold, so that the request is still being written when the response arrives.
	uploadBytes = 16 << 20
	// uploadRounds is the number of requests; which side of the connection sees a reset first differs from one to the next.
	uploadRounds = 40
)

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
			rs := fakes.RawServer{Answers: []string{answer}, Early: true, Reset: tc.reset}
			address, err := rs.Start()
			if err != nil {
				tt.Fatal(err)
			}
			defer rs.Close()
			po := conns.NewPool(conns.DirectDialer{}, func() {})
			complete := 0
			for range uploadRounds {
				if upload(tt, po, address, body) {
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
