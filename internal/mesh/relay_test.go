package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/conns"
)

// stubDialer connects to an endpoint that sends a response and then ends the connection.
type stubDialer struct {
	address string
	err     error
}

func (sd stubDialer) DialFor(context.Context, string) (net.Conn, error) {
	if sd.err != nil {
		return nil, sd.err
	}
	return net.Dial("tcp", sd.address)
}

// startEndpoint starts an endpoint that reads one byte, sends a response and ends the connection, with a reset or not; unless ends is set, it keeps the
// connection open.
func startEndpoint(tt *testing.T, response string, ends, reset bool) string {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tt.Fatal(err)
	}
	tt.Cleanup(func() { _ = li.Close() })
	go func() {
		nc, err := li.Accept()
		if err != nil {
			return
		}
		var first [1]byte
		_, _ = io.ReadFull(nc, first[:])
		_, _ = io.WriteString(nc, response)
		if !ends {
			return
		}
		if tc, ok := nc.(*net.TCPConn); ok && reset {
			// Lets the data arrive, which a reset would discard.
			time.Sleep(50 * time.Millisecond)
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}()
	return li.Addr().String()
}

// TestRelayedResponseEnds reads a response over a relayed connection to its end. The end of the peer that relays it must not look like that of the
// endpoint's response, which may have neither a length nor chunks.
func TestRelayedResponseEnds(tt *testing.T) {
	long := strings.Repeat("0123456789", 5000)
	cases := []struct {
		name        string
		response    string
		ends, reset bool
		// peerDies is set if the peer closes its connections after the response.
		peerDies bool
		want     error
	}{
		{"the endpoint ends the connection", long, true, false, false, nil},
		{"the endpoint sends nothing", "", true, false, false, nil},
		{"the endpoint resets the connection", long, true, true, false, syscall.ECONNRESET},
		{"the peer dies", long, false, false, true, conns.ErrRelayLost},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			count := func() {}
			rs := NewRelayServer(stubDialer{address: startEndpoint(tt, tc.response, tc.ends, tc.reset)}, nil, count, count)
			se := httptest.NewServer(rs)
			defer se.Close()
			raw, err := net.Dial("tcp", se.Listener.Addr().String())
			if err != nil {
				tt.Fatal(err)
			}
			nc, err := upgrade(raw, "endpoint")
			if err != nil {
				tt.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if _, err := io.WriteString(nc, "x"); err != nil {
				tt.Fatal(err)
			}
			got := make([]byte, len(tc.response))
			if _, err := io.ReadFull(nc, got); err != nil || string(got) != tc.response {
				tt.Fatalf("got %d bytes and the error %v, want the response of %d bytes", len(got), err, len(tc.response))
			}
			if tc.peerDies {
				// The kernel closes the connections of a killed process without a reset.
				if tp, ok := raw.(*net.TCPConn); ok {
					_ = tp.CloseRead()
				}
			}
			_, err = io.ReadAll(nc)
			if !errors.Is(err, tc.want) || errors.Is(err, io.EOF) {
				tt.Errorf("got the error %v, want %v and no end of the response", err, tc.want)
			}
			_ = nc.Close()
			for ends := time.Now().Add(2 * time.Second); rs.Active() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(ends) {
					tt.Fatalf("%d connections are still relayed after their end", rs.Active())
				}
			}
		})
	}
}

// TestRelayRefused asks peers that can't relay a connection, and one that is of an older build.
func TestRelayRefused(tt *testing.T) {
	refusing := httptest.NewServer(NewRelayServer(stubDialer{err: eris.New("cut off, too")}, nil, func() {}, func() {}))
	defer refusing.Close()
	asked := 0
	older := httptest.NewServer(NewServer(ServerConfig{}))
	defer older.Close()
	me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return time.Second }})
	for name, mb := range map[string]Member{
		"refusing": {Address: refusing.Listener.Addr().String(), RelaysConnections: true},
		"older":    {Address: older.Listener.Addr().String()},
	} {
		mb.Name = name
		me.peers[name] = &peer{member: mb}
	}
	for range 2 {
		begun := time.Now()
		if _, _, err := me.Relay(context.Background(), "endpoint", ""); err == nil {
			tt.Error("a connection was relayed by a peer that refuses")
		}
		if time.Since(begun) < relayTimeout {
			asked++
		}
	}
	if asked != 2 || me.peers["refusing"].relayBackoffUntil == 0 || me.peers["older"].relayBackoffUntil != 0 {
		tt.Errorf("refusals at once: %d, want 2; only the refusing peer must be asked, and then left alone", asked)
	}
}

// TestRelayOfUnknownEndpoint guards against a peer that cannot reach one endpoint not being asked for connections to others for a while.
func TestRelayOfUnknownEndpoint(tt *testing.T) {
	cases := []struct {
		name string
		err  error
		// asked is the number of calls that reach the peer.
		asked int
	}{
		{"the peer does not know the endpoint", eris.Wrap(ErrEndpoint, "unknown"), 2},
		{"the peer relays nothing", eris.New("the instance is shutting down"), 1},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			asked := 0
			rs := NewRelayServer(stubDialer{err: tc.err}, nil, func() {}, func() { asked++ })
			se := httptest.NewServer(rs)
			defer se.Close()
			me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return time.Second }})
			me.peers["peer"] = &peer{member: Member{Name: "peer", Address: se.Listener.Addr().String(), RelaysConnections: true}}
			for range 2 {
				if _, _, err := me.Relay(context.Background(), "endpoint", ""); err == nil {
					tt.Fatal("the connection was relayed")
				}
			}
			if diff := cmp.Diff(tc.asked, asked); diff != "" {
				tt.Errorf("calls that reached the peer (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRelayedResetDuringUpload guards against a reset that the peer's writing of the request takes off the socket, so that a response without length and
// chunks seems to have ended regularly.
func TestRelayedResetDuringUpload(tt *testing.T) {
	const rounds = 30
	upload := make([]byte, 16<<20)
	for range rounds {
		count := func() {}
		se := httptest.NewServer(NewRelayServer(stubDialer{address: startEndpoint(tt, "part", true, true)}, nil, count, count))
		raw, err := net.Dial("tcp", se.Listener.Addr().String())
		if err != nil {
			tt.Fatal(err)
		}
		nc, err := upgrade(raw, "endpoint")
		if err != nil {
			tt.Fatal(err)
		}
		go func() { _, _ = nc.Write(upload) }()
		if _, err := io.ReadAll(nc); err == nil {
			tt.Error("the response ended regularly, want an error, since the endpoint has reset the connection")
		}
		_ = nc.Close()
		se.Close()
	}
}
