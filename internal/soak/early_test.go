package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

const (
	// earlyBytes exceeds what the sockets between an instance and an endpoint hold, so that the request is still being written when the response arrives.
	earlyBytes = 7 << 20
	// earlyRequests is the number of requests for each kind of response.
	earlyRequests = 24
	// earlyPause lets the start of a response arrive before the endpoint resets the connection.
	earlyPause = 20 * time.Millisecond
)

// TestBrokenResponsesDuringUpload guards against parts of responses and responses without a valid status that a caller gets as complete ones: an endpoint
// writes them while the instance is still sending a long request, and then resets the connection.
func TestBrokenResponsesDuringUpload(tt *testing.T) {
	wo := newWorld(tt, 1, 10_000_000)
	wo.bodyBytes = earlyBytes
	wo.configure()
	awaitReady(tt, wo)
	wo.deregisterAll(tt, "plain")
	re := &rawEndpoint{early: true, began: map[string]int{}}
	// Without a link: one that writes while it is reset forwards the reset as a regular end.
	wo.startRaw("early", "plain", re, nil)
	client := newClient()
	for ix, ek := range stand.EarlyResponses {
		reached := func(number int) int { return re.runs(fmt.Sprintf("early-%d-%d", ix, number)) }
		sum, ends := 0, time.Now().Add(hangTimeout)
		re.setHandler(func(nc net.Conn, rq *http.Request, _ int) bool {
			id := rq.Header.Get(stand.HeaderRequestID)
			re.begin(rq)
			_, _ = fmt.Fprintf(nc, ek.Text, id, stand.Sign(http.StatusOK, id, stand.ResponseBody(id)))
			time.Sleep(earlyPause)
			_ = nc.(*net.TCPConn).SetLinger(0)
			return false
		})
		// Requests that reach the regular endpoints, until the instance has read that they are gone, or none, show nothing.
		for number := 0; number < earlyRequests || sum < earlyRequests/2; number++ {
			if time.Now().After(ends) {
				tt.Fatalf("%s: %d of %d requests reached the endpoint in %s, want at least %d", ek.Name, sum, number, hangTimeout, earlyRequests/2)
			}
			id := fmt.Sprintf("early-%d-%d", ix, number)
			status, body, complete := wo.upload(client, wo.nodes[0], id)
			sum += reached(number)
			if complete && status/100 != 4 && status/100 != 5 && (status != http.StatusOK || body != stand.ResponseBody(id)) {
				tt.Errorf("%s: request %s got %q with status %d as a complete response, want a failure or a broken connection", ek.Name, id, body, status)
			}
			if status == http.StatusServiceUnavailable && re.runs(id) > 0 {
				tt.Errorf("%s: request %s was refused as not run, and ran", ek.Name, id)
			}
		}
	}
}

// upload sends a long request that must not be sent twice, and returns the status, the body and whether the response is complete.
func (wo *world) upload(client *http.Client, no *node, id string) (status int, body string, complete bool) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+no.callerAddress+"/unsafe/x", bytes.NewReader(make([]byte, earlyBytes)))
	if err != nil {
		wo.tt.Fatal(err)
	}
	rq.Host, rq.GetBody = host, nil
	stand.Call{ID: id, Key: teamKey, PatienceMs: callerTimeoutMillis}.Set(rq.Header)
	rs, err := client.Do(rq)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return rs.StatusCode, string(data), err == nil
}
