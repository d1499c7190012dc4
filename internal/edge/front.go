package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// limits before the first configuration.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleSlack keeps a connection a little longer than callers are told.
	idleSlack = time.Second
	// readinessTimeout bounds a question of the platform.
	readinessTimeout = 2 * time.Second
)

// front accepts callers; connections that were opened under other limits keep them.
type front struct {
	edge      *Edge
	handler   http.Handler
	callers   net.Listener
	readiness net.Listener
	peers     net.Listener
	datagrams net.PacketConn
	active    atomic.Int64
	mu        sync.Mutex
	limits    plan.Limits
	current   *lane
	lanes     []*lane
}

// lane is a server with the limits of one configuration, fed by the one listener.
type lane struct {
	server *http.Server
	conns  chan net.Conn
	addr   net.Addr
	closed chan struct{}
	once   sync.Once
}

func newFront(ed *Edge) *front {
	return &front{edge: ed, handler: gate.New(gate.Config{
		Protocol: ed.config.Platform.Protocol, Beliefs: ed, Roster: ed.roster, Board: ed.board, Purses: ed.purses,
		Allowance: ed.allowance, Pool: ed.pool, Quarantine: ed.guard, Lender: ed.lender, Notifier: ed, Metrics: ed.metrics, Clock: ed.config.Clock,
		Domain: ed.config.Settings.Domain, Logger: ed.config.Logger,
	})}
}

func (fr *front) listen() error {
	callers, err := net.Listen("tcp", fr.edge.config.Settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	readiness, err := net.Listen("tcp", fr.edge.config.Settings.ReadyAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	peers, err := net.Listen("tcp", fr.edge.config.Settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	datagrams, err := net.ListenPacket("udp", fr.edge.config.Settings.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for notices of peers")
	}
	fr.callers, fr.readiness, fr.peers, fr.datagrams = callers, readiness, peers, datagrams
	return nil
}

// run accepts connections and hands each to the server of the limits in force.
func (fr *front) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = fr.callers.Close() })()
	for {
		nc, err := fr.callers.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()
			return nil
		}
		if err != nil {
			fr.edge.config.Logger.Info("connection not accepted", "reason", err.Error())
			pause(ctx, grantLeast)
			continue
		}
		fr.laneFor().add(nc)
	}
}

// laneFor returns the server of the limits in force.
func (fr *front) laneFor() *lane {
	limits := plan.Limits{MaxHeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if pl := fr.edge.Plan(); pl != nil {
		limits = pl.Limits()
	}
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if fr.current != nil && fr.limits == limits {
		return fr.current
	}
	fr.limits = limits
	fr.current = &lane{conns: make(chan net.Conn), addr: fr.callers.Addr(), closed: make(chan struct{})}
	fr.current.server = &http.Server{
		Handler: http.HandlerFunc(fr.serve), ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout + idleSlack, MaxHeaderBytes: limits.MaxHeaderBytes,
	}
	fr.lanes = append(fr.lanes, fr.current)
	go fr.runLane(fr.current)
	return fr.current
}

func (fr *front) runLane(la *lane) {
	if err := la.server.Serve(la); !errors.Is(err, http.ErrServerClosed) {
		fr.edge.config.Logger.Info("server ended", "reason", err.Error())
	}
}

func (fr *front) serve(wr http.ResponseWriter, rq *http.Request) {
	fr.active.Add(1)
	defer fr.active.Add(-1)
	fr.handler.ServeHTTP(wr, rq)
}

// shutdown ends idle connections, and waits for running requests until the context ends.
func (fr *front) shutdown(ctx context.Context) {
	_ = fr.callers.Close()
	fr.mu.Lock()
	lanes := fr.lanes
	fr.mu.Unlock()
	var group sync.WaitGroup
	for _, la := range lanes {
		group.Go(func() {
			if err := la.server.Shutdown(ctx); err != nil {
				fr.edge.config.Logger.Info("requests cut off", "reason", err.Error(), "running", fr.active.Load())
			}
		})
	}
	group.Wait()
}

// runReadiness answers the platform's readiness checks, and serves the metrics.
func (fr *front) runReadiness(ctx context.Context) error {
	ec := echo.New()
	ec.GET("/readyz", func(ct echo.Context) error {
		if !fr.edge.Ready() {
			return ct.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return ct.String(http.StatusOK, "ready\n")
	})
	ec.GET("/metrics", func(ct echo.Context) error {
		ct.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		fr.edge.metrics.Write(ct.Response())
		return nil
	})
	return serve(ctx, fr.readiness, ec)
}

// runPeers answers the other instances.
func (fr *front) runPeers(ctx context.Context) error {
	return serve(ctx, fr.peers, mesh.NewServer(mesh.ServerConfig{Topics: fr.edge.topics, Giver: fr.edge.lender}))
}

// serve answers on a listener until the context ends.
func serve(ctx context.Context, li net.Listener, handler http.Handler) error {
	se := &http.Server{Handler: handler, ReadHeaderTimeout: readinessTimeout, IdleTimeout: defaultIdleTimeout}
	defer context.AfterFunc(ctx, func() { _ = se.Close() })()
	if err := se.Serve(li); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve on %s", li.Addr())
	}
	return nil
}

func (la *lane) add(nc net.Conn) {
	select {
	case la.conns <- nc:
	case <-la.closed:
		_ = nc.Close()
	}
}

// Accept returns the next connection.
func (la *lane) Accept() (net.Conn, error) {
	select {
	case nc := <-la.conns:
		return nc, nil
	case <-la.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (la *lane) Close() error {
	la.once.Do(func() { close(la.closed) })
	return nil
}

// Addr returns the address of the listener.
func (la *lane) Addr() net.Addr { return la.addr }
