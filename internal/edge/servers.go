package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/shed"
)

const (
	// These limits apply before the first configuration.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleSlack is added to the configured idle timeout, which callers know. So callers close an idle connection before the server does.
	idleSlack = time.Second
	// acceptTime is how long a stopping instance accepts the connections that the kernel has queued.
	acceptTime = 50 * time.Millisecond
	// readinessTimeout is the maximum time for reading the request headers of a readiness check or a peer.
	readinessTimeout = 2 * time.Second
)

// servers holds the listeners and the HTTP servers of an instance.
//
// The limits of an http.Server are fixed, so a configuration with other limits starts a new server. The new server gets all new connections;
// connections that are already open keep their limits.
type servers struct {
	edge      *Edge
	handler   http.Handler
	callers   net.Listener
	readiness net.Listener
	peers     net.Listener
	datagrams net.PacketConn
	relays    *mesh.RelayServer
	// accepting is held for reading while a connection is accepted and passed to a server.
	accepting sync.RWMutex
	// active is the number of callers' requests in flight.
	active       atomic.Int64
	mu           sync.Mutex
	limits       plan.Limits
	current      *limitServer
	limitServers []*limitServer
}

// limitServer is an HTTP server with one set of limits. It is also the net.Listener of that server; add passes connections to it.
type limitServer struct {
	server *http.Server
	conns  chan net.Conn
	addr   net.Addr
	closed chan struct{}
	once   sync.Once
}

func newServers(ed *Edge) *servers {
	relays := mesh.NewRelayServer(ed.paths, mesh.NewServer(mesh.ServerConfig{
		Topics: ed.topics, Giver: ed.transfers, Permits: ed.permits, Origins: ed.origins, Configuration: ed.configWatcher.newerThan,
	}), ed.metrics.Counter("weir_connections_relayed_total").Inc, ed.metrics.Counter("weir_relays_refused_total").Inc)
	return &servers{edge: ed, relays: relays, handler: gate.New(gate.Config{
		Protocol: ed.config.Platform.Protocol, Beliefs: ed, Roster: ed.roster, Board: ed.balancer, Purses: ed.quotas,
		Allowance: ed.retryBudget, Turns: ed.turns, Pool: ed.pool, Quarantine: ed.quarantine, Origins: ed.origins, Builds: ed.origins.builds, Lender: ed.transfers, Notifier: ed, Link: ed.paths, Space: ed.space,
		Shedder: ed.overload.shedder, Metrics: ed.metrics,
		Clock: ed.config.Clock, Domain: ed.config.Settings.Domain, Logger: ed.config.Logger,
	})}
}

func (sv *servers) listen() error {
	callers, err := net.Listen("tcp", sv.edge.config.Settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	readiness, err := net.Listen("tcp", sv.edge.config.Settings.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	peers, err := net.Listen("tcp", sv.edge.config.Settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	datagrams, err := net.ListenPacket("udp", sv.edge.config.Settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for notices from peers")
	}
	sv.callers, sv.readiness, sv.peers, sv.datagrams = callers, readiness, peers, datagrams
	return nil
}

// run accepts connections and passes each to the server with the limits in force.
func (sv *servers) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = sv.callers.Close() })()
	for {
		err := sv.accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			<-ctx.Done()
			return nil
		}
		if err != nil {
			sv.edge.config.Logger.Info("cannot accept a connection", "reason", err.Error())
			pause(ctx, minGrantPause)
		}
	}
}

// accept accepts one connection and passes it to the server with the limits in force.
func (sv *servers) accept() error {
	sv.accepting.RLock()
	defer sv.accepting.RUnlock()
	nc, err := sv.callers.Accept()
	if err == nil {
		sv.serverInForce().add(sv.edge.reads.count(nc, shed.Callers))
	}
	return err
}

// stopAccepting accepts the connections that the kernel has queued, and then closes the listener. Connections that are still queued when the
// listener is closed would be reset, although their requests may have been sent.
func (sv *servers) stopAccepting() {
	if li, ok := sv.callers.(*net.TCPListener); ok && li.SetDeadline(time.Now().Add(acceptTime)) == nil {
		for sv.accept() == nil {
		}
	}
	_ = sv.callers.Close()
	// Waits until the last accepted connection is passed to a server.
	sv.accepting.Lock()
	defer sv.accepting.Unlock()
}

// serverInForce returns the server with the limits of the current configuration, and starts it if the limits have changed.
func (sv *servers) serverInForce() *limitServer {
	limits := plan.Limits{MaxHeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if pl := sv.edge.plan.Load(); pl != nil {
		limits = pl.Limits()
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.current != nil && sv.limits == limits {
		return sv.current
	}
	sv.limits = limits
	sv.current = &limitServer{conns: make(chan net.Conn), addr: sv.callers.Addr(), closed: make(chan struct{})}
	sv.current.server = &http.Server{
		Handler: http.HandlerFunc(sv.serve), ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout + idleSlack, MaxHeaderBytes: limits.MaxHeaderBytes,
	}
	sv.limitServers = append(sv.limitServers, sv.current)
	go sv.runLimitServer(sv.current)
	return sv.current
}

func (sv *servers) runLimitServer(ls *limitServer) {
	if err := ls.server.Serve(ls); !errors.Is(err, http.ErrServerClosed) {
		sv.edge.config.Logger.Info("server failed", "reason", err.Error())
	}
}

func (sv *servers) serve(wr http.ResponseWriter, rq *http.Request) {
	sv.active.Add(1)
	defer sv.active.Add(-1)
	sv.handler.ServeHTTP(wr, rq)
}

// shutdown closes idle connections, and waits for requests in flight until the context ends.
func (sv *servers) shutdown(ctx context.Context) {
	sv.stopAccepting()
	sv.mu.Lock()
	list := sv.limitServers
	sv.mu.Unlock()
	var group sync.WaitGroup
	for _, ls := range list {
		group.Go(func() {
			if err := ls.server.Shutdown(ctx); err != nil {
				sv.edge.config.Logger.Info("requests cut off", "reason", err.Error(), "running", sv.active.Load())
			}
		})
	}
	group.Wait()
}

// runReadiness serves the platform's readiness checks and the metrics page.
func (sv *servers) runReadiness(ctx context.Context) error {
	ec := echo.New()
	ec.GET("/readyz", func(ct echo.Context) error {
		if !sv.edge.Ready() {
			return ct.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return ct.String(http.StatusOK, "ready\n")
	})
	ec.GET("/metrics", func(ct echo.Context) error {
		ct.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		sv.edge.metrics.Write(ct.Response())
		return nil
	})
	return serve(ctx, sv.readiness, ec)
}

// runPeers serves the calls of the other instances.
func (sv *servers) runPeers(ctx context.Context) error {
	return serve(ctx, countedListener{Listener: sv.peers, reads: sv.edge.reads, from: shed.Peers}, sv.relays)
}

// serve runs an HTTP server on a listener until the context ends.
func serve(ctx context.Context, li net.Listener, handler http.Handler) error {
	se := &http.Server{Handler: handler, ReadHeaderTimeout: readinessTimeout, IdleTimeout: defaultIdleTimeout}
	defer context.AfterFunc(ctx, func() { _ = se.Close() })()
	if err := se.Serve(li); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve on %s", li.Addr())
	}
	return nil
}

// add passes a connection to the server, or closes it if the server is closed.
func (ls *limitServer) add(nc net.Conn) {
	select {
	case ls.conns <- nc:
	case <-ls.closed:
		_ = nc.Close()
	}
}

// Accept returns the next connection for this server.
func (ls *limitServer) Accept() (net.Conn, error) {
	select {
	case nc := <-ls.conns:
		return nc, nil
	case <-ls.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return an error; connections that are already accepted stay open.
func (ls *limitServer) Close() error {
	ls.once.Do(func() { close(ls.closed) })
	return nil
}

// Addr returns the address of the callers' listener.
func (ls *limitServer) Addr() net.Addr { return ls.addr }
