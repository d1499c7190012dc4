package conns

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestHeadIsCut guards against a response whose head is cut off being taken for a whole one, at each byte of the head.
func TestHeadIsCut(tt *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\nX-Last: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nX-Last: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Last: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: 2\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Last: 2\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: 2\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\nX-Last: 2\n\n",
	}
	for ix, head := range heads {
		tt.Run(fmt.Sprint(ix), func(tt *testing.T) {
			for at := range len(head) {
				near, far := net.Pipe()
				go func() {
					_, _ = far.Write([]byte(head[:at]))
					_ = far.Close()
				}()
				rs, err := readFinalHead(bufio.NewReader(near), http.MethodPost)
				_ = near.Close()
				if err == nil {
					_ = rs.Body.Close()
					tt.Errorf("cut after %q: got the status %d, want an error", head[:at], rs.StatusCode)
				}
			}
			if rs, err := readFinalHead(bufio.NewReader(strings.NewReader(head)), http.MethodPost); err != nil {
				tt.Errorf("whole head: %s", err)
			} else {
				_ = rs.Body.Close()
			}
		})
	}
}
