package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/admin"
	"github.com/clementineweir/clementineweir/internal/peer"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	maxHeaderBytes        = 32 << 10
)

// servers are the three HTTP servers of an instance.
type servers struct {
	callers   boundServer
	operators boundServer
	peers     boundServer
}

// boundServer is an HTTP server with its listener.
type boundServer struct {
	server   *http.Server
	listener net.Listener
}

// listen binds the three addresses and starts to serve them. It is called before the instance joins the log, since the join record announces
// the peer address.
func (se *servers) listen(da *Daemon) error {
	cf := da.config.Settings
	peers := peer.NewServer(peer.ServerConfig{Node: da, Log: da.log, Replica: da.replica})
	se.peers.server = &http.Server{Handler: peers, ReadHeaderTimeout: operatorHeaderTimeout, TLSConfig: da.tlsProvider.peerServerConfig()}
	se.operators.server = &http.Server{Handler: admin.NewHandler(da), ReadHeaderTimeout: operatorHeaderTimeout}
	se.callers.server = &http.Server{
		Handler: http.HandlerFunc(da.serveCaller), ReadHeaderTimeout: cf.Callers.HeaderTimeout,
		IdleTimeout: cf.Callers.IdleTimeout, MaxHeaderBytes: maxHeaderBytes, TLSConfig: da.tlsProvider.callerServerConfig(),
	}
	for _, bi := range []struct {
		to      *boundServer
		address string
	}{{&se.peers, cf.Instance.PeerAddress}, {&se.operators, cf.Instance.OperatorAddress}, {&se.callers, cf.Instance.CallerAddress}} {
		li, err := da.config.Network.Listen(bi.address)
		if err != nil {
			se.closeAll()
			return eris.Wrapf(err, "listen on %s", bi.address)
		}
		bi.to.listener = li
	}
	se.callers.listener = newLimitedListener(se.callers.listener, cf.Callers.MaxConnections)
	se.peers.start()
	se.operators.start()
	se.callers.start()
	return nil
}

// start serves in the background. So health checks and peers get responses while the instance is still joining the log.
func (bs *boundServer) start() {
	go bs.run()
}

func (bs *boundServer) run() {
	if bs.server.TLSConfig != nil {
		_ = bs.server.ServeTLS(bs.listener, "", "")
		return
	}
	_ = bs.server.Serve(bs.listener)
}

// addActor adds an actor that does nothing but wait for the end of the group. Daemon.Run closes the servers after the group has ended.
func (se *servers) addActor(gr *run.Group) {
	done := make(chan struct{})
	gr.Add(func() error { <-done; return nil }, func(error) { close(done) })
}

// shutdownCallers stops accepting callers and waits for their requests in flight. If the context ends first, it closes their connections.
func (se *servers) shutdownCallers(ctx context.Context) {
	if err := se.callers.server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = se.callers.server.Close()
	}
}

// closeAll closes the servers and their listeners, as far as they were started.
func (se *servers) closeAll() {
	for _, bs := range []*boundServer{&se.callers, &se.operators, &se.peers} {
		if bs.server != nil {
			_ = bs.server.Close()
		}
		if bs.listener != nil {
			_ = bs.listener.Close()
		}
	}
}

// serveCaller serves callers. Until this instance has joined the log, it refuses every request with the verdict notRun.
func (da *Daemon) serveCaller(wr http.ResponseWriter, rq *http.Request) {
	if inc := da.incarnation.Load(); inc != nil {
		inc.callers.ServeHTTP(wr, rq)
		return
	}
	wr.Header().Set("Retry-After", "1")
	wr.Header().Set("X-Verdict", fault.NotRun.String())
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(http.StatusServiceUnavailable)
	_, _ = wr.Write([]byte(`{"error":{"message":"this instance is starting","type":"server_error","param":null,"code":"unavailable","verdict":"notRun"}}`))
}

// limitedListener limits the number of open connections.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

// newLimitedListener returns a listener with at most limit open connections at any time.
func newLimitedListener(li net.Listener, limit int64) net.Listener {
	return &limitedListener{Listener: li, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept waits for a free slot and a connection.
func (ll *limitedListener) Accept() (net.Conn, error) {
	select {
	case ll.slots <- struct{}{}:
	case <-ll.done:
		return nil, net.ErrClosed
	}
	co, err := ll.Listener.Accept()
	if err != nil {
		<-ll.slots
		return nil, err
	}
	return &limitedConn{Conn: co, listener: ll}, nil
}

// Close closes the listener and ends a waiting Accept.
func (ll *limitedListener) Close() error {
	ll.once.Do(func() { close(ll.done) })
	return ll.Listener.Close()
}

// limitedConn is a connection that frees its slot of the listener when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

func (lc *limitedConn) Close() error {
	lc.once.Do(func() { <-lc.listener.slots })
	return lc.Conn.Close()
}
