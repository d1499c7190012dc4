package conns_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// requestTimeout bounds one request of a test.
	requestTimeout = 5 * time.Second
	// maxBytesRead bounds what the client may accept of a response that never ends. The kernel's buffers are part of it.
	maxBytesRead = 16 << 20
)

// result is what the client got for one request.
type result struct {
	Status int
	Body   string
	// Complete reports whether the body was read to its end.
	Complete bool
	Verdict  fault.Verdict
}

func ask(po *conns.Pool, address, id string) result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	ex, err := po.Do(ctx, address, conns.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(he http.Header, first bool) bool { return he.Get("Id") == id || (first && he.Get("Id") == "") },
	})
	if err != nil {
		return result{Verdict: fault.From(err, fault.Ran).Verdict()}
	}
	defer ex.Close()
	data, err := io.ReadAll(io.LimitReader(ex.Response.Body, 1000))
	return result{Status: ex.Response.StatusCode, Body: string(data), Complete: err == nil && len(data) < 1000}
}

// TestBrokenResponses sends one or two requests to a server that does not keep to the protocol.
func TestBrokenResponses(tt *testing.T) {
	const one, two = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo"
	const unframed = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\none"
	maybe := result{Verdict: fault.MayHaveRun}
	cases := []struct {
		name   string
		server fakes.RawServer
		want   []result
	}{
		{"neither length nor chunks, ends with the connection", fakes.RawServer{Answers: []string{unframed}}, []result{{Status: 200, Body: "one", Complete: true}}},
		{"neither length nor chunks, reset", fakes.RawServer{Answers: []string{unframed}, Reset: true}, []result{{Status: 200, Body: "one"}}},
		{"a late second copy before the answer", fakes.RawServer{Answers: []string{one, one + two}}, []result{
			{Status: 200, Body: "one", Complete: true}, {Status: 200, Body: "two", Complete: true},
		}},
		{"a late copy that ends with the connection, and the answer behind it", fakes.RawServer{Answers: []string{one, unframed + two}}, []result{
			{Status: 200, Body: "one", Complete: true}, maybe,
		}},
		{"a late answer without an ID", fakes.RawServer{Answers: []string{one, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" + two}}, []result{
			{Status: 200, Body: "one", Complete: true}, {Status: 200, Body: "two", Complete: true},
		}},
		{"a header line without end", fakes.RawServer{Answers: []string{"HTTP/1.1 200 OK\r\nX: "}, Endless: strings.Repeat("a", 1000)}, []result{maybe}},
		{"header lines without end", fakes.RawServer{Answers: []string{"HTTP/1.1 200 OK\r\n"}, Endless: strings.Repeat("X: a\r\n", 200)}, []result{maybe}},
		{"interim responses without end", fakes.RawServer{Answers: []string{""}, Endless: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)}, []result{maybe}},
		{"bytes without end", fakes.RawServer{Answers: []string{""}, Endless: strings.Repeat("a", 1000)}, []result{maybe}},
		{"a late copy without end", fakes.RawServer{Answers: []string{one, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999\r\n\r\n"}, Endless: strings.Repeat("a", 1000)}, []result{
			{Status: 200, Body: "one", Complete: true}, maybe,
		}},
		{"the status 000", fakes.RawServer{Answers: []string{"HTTP/1.1 000 \r\nId: 1\r\nContent-Length: 3\r\n\r\none"}}, []result{maybe}},
		{"the status 000 before the answer", fakes.RawServer{Answers: []string{"HTTP/1.1 000 \r\nId: 1\r\n\r\n" + one}}, []result{maybe}},
		{"the status 099", fakes.RawServer{Answers: []string{"HTTP/1.1 099 Odd\r\nId: 1\r\nContent-Length: 3\r\n\r\none"}}, []result{maybe}},
		{"the status 600", fakes.RawServer{Answers: []string{"HTTP/1.1 600 Odd\r\nId: 1\r\nContent-Length: 3\r\n\r\none"}}, []result{maybe}},
		{"a body without end", fakes.RawServer{Answers: []string{"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"}, Endless: strings.Repeat("a", 1000)}, []result{
			{Status: 200, Body: strings.Repeat("a", 1000)},
		}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			rs := tc.server
			address, err := rs.Start()
			if err != nil {
				tt.Fatal(err)
			}
			defer rs.Close()
			po := conns.NewPool(conns.DirectDialer{}, func() {})
			var got []result
			for ix := range tc.want {
				got = append(got, ask(po, address, []string{"1", "2"}[ix]))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Errorf("results (-want +got):\n%s", diff)
			}
			if tc.server.Endless == "" {
				return
			}
			if sent := rs.Sent(); sent > maxBytesRead {
				tt.Errorf("the client read on for %d bytes, want at most %d", sent, maxBytesRead)
			}
		})
	}
}
