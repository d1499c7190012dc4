package mesh

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// relayPath is the path of the request that opens a relayed connection; the ID of the endpoint follows.
	relayPath = "/relay/"
	// relayProtocol is the protocol to which such a connection is upgraded.
	relayProtocol = "clementineweir-relay"
	// relayTimeout bounds the time until a peer has connected to the endpoint.
	relayTimeout = 600 * time.Millisecond
	// maxRelayPeers bounds the peers that are tried for one connection.
	maxRelayPeers = 2
	// relayBackoff is the time for which no connection is relayed through a peer that could not.
	relayBackoff = 500 * time.Millisecond
	// maxRelayed bounds the connections that this instance relays for others at a time. Each takes two descriptors and two buffers.
	maxRelayed = 256
	// relayBufferBytes is the size of a buffer.
	relayBufferBytes = 8 << 10
)

// ErrEndpoint means that this one endpoint cannot be reached, so that the failure says nothing of connections to others.
var ErrEndpoint = eris.New("the endpoint cannot be reached")

// errNoRelay is returned if no peer can relay a connection.
var errNoRelay = eris.New("no peer can relay the connection")

// EndpointDialer opens direct connections to endpoints for peers.
type EndpointDialer interface {
	// DialFor opens a direct connection to an endpoint by its ID. It fails at once if this instance reaches no endpoint itself, is stopping, or does not
	// send requests to the endpoint. It fails with ErrEndpoint if other endpoints may be reached.
	DialFor(ctx context.Context, endpoint string) (net.Conn, error)
}

// Relay opens a connection to an endpoint through a peer, and returns the name of the peer.
func (me *Mesh) Relay(ctx context.Context, endpoint, domain string) (net.Conn, string, error) {
	err := errNoRelay
	for _, pe := range me.relayPeers(domain) {
		var nc net.Conn
		nc, err = relayThrough(ctx, pe, endpoint)
		if err == nil {
			return nc, pe.member.Name, nil
		}
		if ctx.Err() != nil {
			return nil, "", err
		}
		if errors.Is(err, ErrEndpoint) {
			continue
		}
		me.mu.Lock()
		pe.relayBackoffUntil = me.config.Clock() + relayBackoff
		me.mu.Unlock()
	}
	return nil, "", err
}

// relayPeers returns the peers to try in turn: at random, but those in the failure domains of this instance and of the endpoint first, since the detour
// then crosses no further boundary.
func (me *Mesh) relayPeers(domain string) []*peer {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.config.Clock()
	var near, far []*peer
	for _, pe := range me.peers {
		switch {
		case !pe.member.RelaysConnections || now < pe.relayBackoffUntil || now < pe.backoffUntil:
		case pe.member.Domain == me.config.Self.Domain || pe.member.Domain == domain:
			near = append(near, pe)
		default:
			far = append(far, pe)
		}
	}
	for _, list := range [][]*peer{near, far} {
		rand.Shuffle(len(list), func(aa, bb int) { list[aa], list[bb] = list[bb], list[aa] })
	}
	list := slices.Concat(near, far)
	return list[:min(len(list), maxRelayPeers)]
}

// relayThrough opens a connection to an endpoint through the given peer.
func relayThrough(ctx context.Context, pe *peer, endpoint string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", pe.member.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to the peer %s", pe.member.Name)
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	rc, err := upgrade(nc, endpoint)
	if err != nil {
		_ = nc.Close()
		return nil, eris.Wrapf(err, "relay the connection through the peer %s", pe.member.Name)
	}
	if !stop() {
		return nil, ctx.Err()
	}
	return rc, nil
}

// upgrade asks the peer at the other end of a connection to relay it to an endpoint.
func upgrade(nc net.Conn, endpoint string) (net.Conn, error) {
	rq := "GET " + relayPath + url.PathEscape(endpoint) + " HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: " + relayProtocol + "\r\n\r\n"
	if _, err := io.WriteString(nc, rq); err != nil {
		return nil, err
	}
	re := bufio.NewReader(nc)
	rs, err := http.ReadResponse(re, &http.Request{Method: http.MethodGet}) //nolint:bodyclose // the connection is closed or goes on to the endpoint
	if err != nil {
		return nil, err
	}
	if rs.StatusCode == http.StatusBadGateway {
		return nil, ErrEndpoint
	}
	if rs.StatusCode != http.StatusSwitchingProtocols {
		return nil, eris.Errorf("the peer responded with status %d", rs.StatusCode)
	}
	return newRelayConn(nc, re), nil
}

// RelayServer relays connections to endpoints for peers, and passes all other requests on.
type RelayServer struct {
	dialer EndpointDialer
	next   http.Handler
	active atomic.Int64
	// opened and refused are called for each connection that is relayed or not.
	opened, refused func()
}

// NewRelayServer returns a handler that relays connections, and passes all other requests to next.
func NewRelayServer(dialer EndpointDialer, next http.Handler, opened, refused func()) *RelayServer {
	return &RelayServer{dialer: dialer, next: next, opened: opened, refused: refused}
}

// Active returns the number of connections that are relayed now.
func (rs *RelayServer) Active() int64 { return rs.active.Load() }

// ServeHTTP serves one request of a peer.
func (rs *RelayServer) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	endpoint, ok := strings.CutPrefix(rq.URL.Path, relayPath)
	if !ok {
		rs.next.ServeHTTP(wr, rq)
		return
	}
	defer rs.active.Add(-1)
	if rs.active.Add(1) > maxRelayed || rq.Header.Get("Upgrade") != relayProtocol {
		rs.refused()
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	far, err := rs.dialer.DialFor(rq.Context(), endpoint)
	if err != nil {
		rs.refused()
		status := http.StatusServiceUnavailable
		if errors.Is(err, ErrEndpoint) {
			status = http.StatusBadGateway
		}
		http.Error(wr, err.Error(), status)
		return
	}
	near, buffered, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		_ = far.Close()
		rs.refused()
		return
	}
	rs.opened()
	relay(near, buffered.Reader, far)
}

// relay forwards data between a peer and an endpoint until one of them ends.
func relay(near net.Conn, requests io.Reader, far net.Conn) {
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	_ = near.SetDeadline(time.Time{})
	if _, err := io.WriteString(near, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+relayProtocol+"\r\n\r\n"); err != nil {
		return
	}
	done := make(chan struct{})
	requestWriter := &endpointWriter{conn: far}
	go func() {
		defer close(done)
		// The peer ends its side only to end the exchange, so that the endpoint must notice.
		_, _ = io.CopyBuffer(requestWriter, readerOnly{requests}, make([]byte, relayBufferBytes))
		_ = far.Close()
	}()
	forwardFrames(near, far, requestWriter.end)
	_ = near.Close()
	<-done
}

// forwardFrames forwards the data of an endpoint to the peer in frames, and says at the end how the endpoint's connection ended. endRequest ends the writing
// of the request and reports whether no write has failed.
func forwardFrames(near io.Writer, far io.Reader, endRequest func() bool) {
	buffer := make([]byte, frameHeaderBytes+relayBufferBytes)
	for {
		count, err := far.Read(buffer[frameHeaderBytes:])
		if count > 0 {
			if _, werr := near.Write(frame(buffer, count)); werr != nil {
				return
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return
		case errors.Is(err, io.EOF) && endRequest():
			_, _ = near.Write(frame(buffer, 0))
		default:
			_, _ = near.Write(endFrame(frameReset))
		}
		return
	}
}

// readerOnly hides the methods by which io.Copy would hand the copying over to the kernel.
type readerOnly struct{ io.Reader }

// endpointWriter writes a request to an endpoint. A reset that fails a write is reported there only, and reading from the connection then ends as if the
// endpoint had closed it.
type endpointWriter struct {
	conn   net.Conn
	mu     sync.Mutex
	failed bool
}

func (ew *endpointWriter) Write(data []byte) (int, error) {
	ew.mu.Lock()
	defer ew.mu.Unlock()
	count, err := ew.conn.Write(data)
	ew.failed = ew.failed || err != nil
	return count, err
}

// end interrupts a write that is in progress and reports whether all writes have succeeded.
func (ew *endpointWriter) end() bool {
	_ = ew.conn.SetWriteDeadline(time.Now())
	ew.mu.Lock()
	defer ew.mu.Unlock()
	return !ew.failed
}
