package cmds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// output is a buffer that may be written and read concurrently.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (ou *output) Write(data []byte) (int, error) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.data.Write(data)
}

func (ou *output) text() string {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.data.String()
}

// TestRoutedDev runs dev --routed as a new user does, calls routes of the example configuration and stops it.
func TestRoutedDev(tt *testing.T) {
	base := freeBase(tt)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ou := &output{}
	done := make(chan error, 1)
	go func() {
		co := &cli.Command{Name: "clementineweir", Writer: ou, Commands: []*cli.Command{devCommand()}}
		done <- co.Run(ctx, []string{"clementineweir", "dev", "--routed", "--instances", "2", "--base-port", fmt.Sprint(base)})
	}()
	for !strings.Contains(ou.text(), "Stop with Ctrl-C") {
		select {
		case err := <-done:
			tt.Fatalf("the command ended before the instances were ready: %v", err)
		case <-time.After(readyPoll):
		}
	}
	cases := []struct {
		path string
		call stand.Call
		want string
	}{
		{"/review/1", stand.Call{ID: "one", Key: routedKey, PatienceMs: 12_000, Prompt: 1200, Output: 80}, stand.Stream("one", routedEvents)},
		{"/payment/77", stand.Call{ID: "two", Key: routedKey, PatienceMs: 1000}, stand.ResponseBody("two")},
	}
	for _, tc := range cases {
		url := fmt.Sprintf("http://%s:%d%s", loopback, base, tc.path)
		if line := tc.call.Curl(url, routedHost, "5"); !strings.HasPrefix(line, "curl ") || !strings.Contains(line, "'Host: "+routedHost+"'") {
			tt.Errorf("the example call is %q, want a curl command with the Host header of the service", line)
		}
		rq, err := http.NewRequest(http.MethodPost, url, strings.NewReader("5"))
		if err != nil {
			tt.Fatal(err)
		}
		rq.Host = routedHost
		tc.call.Set(rq.Header)
		rs, err := http.DefaultTransport.RoundTrip(rq)
		if err != nil {
			tt.Fatal(err)
		}
		data, err := io.ReadAll(rs.Body)
		if err != nil {
			tt.Error(err)
		}
		_ = rs.Body.Close()
		if diff := cmp.Diff(tc.want, string(data)); diff != "" {
			tt.Errorf("the response for %s differs (-want +got):\n%s", tc.path, diff)
		}
	}
	stop()
	if err := <-done; err != nil {
		tt.Errorf("the command failed after the stop: %s", err)
	}
}
