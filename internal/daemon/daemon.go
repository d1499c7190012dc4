package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/admin"
	"github.com/clementineweir/clementineweir/internal/caller"
	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/metric"
	"github.com/clementineweir/clementineweir/internal/peer"
	"github.com/clementineweir/clementineweir/internal/plat"
	"github.com/clementineweir/clementineweir/internal/runner"
	"github.com/clementineweir/clementineweir/internal/space"
	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/route"
)

// ErrIncarnationClosed is returned after another instance has closed this incarnation; the process must then end.
var ErrIncarnationClosed = eris.New("another instance closed this incarnation because it considered the process dead")

// Config holds the settings and the dependencies of an instance.
type Config struct {
	Settings config.Settings
	// Network opens and accepts the connections of the instance.
	Network Network
	// Clock returns the monotonic time since the process started.
	Clock  oplog.Clock
	Logger logr.Logger
}

// Daemon is one instance of the router; Run starts it and returns once it has stopped.
type Daemon struct {
	config      Config
	tlsProvider *tlsProvider
	links       *peer.Links
	log         oplog.Log
	list        plat.List
	replica     *oplog.Replica
	reader      *oplog.Reader
	table       *route.Table
	runner      *runner.Client
	recorder    *metric.Recorder
	servers     servers
	// number is the number of this instance's incarnation, or noIncarnation until the instance has joined the log.
	number atomic.Int64
	// ready is set while the instance has joined and is not draining.
	ready atomic.Bool
	// incarnation is nil until the instance has joined the log.
	incarnation atomic.Pointer[incarnation]
}

// incarnation holds the components that exist only after the join, since they need an incarnation number.
type incarnation struct {
	engine  *engine.Engine
	book    escrow.Book
	writer  *oplog.Writer
	callers http.Handler
}

// New returns an instance that is not running yet; it fails if a TLS file cannot be loaded.
func New(cf Config) (*Daemon, error) {
	tp, err := newTLSProvider(cf.Settings.TLS)
	if err != nil {
		return nil, err
	}
	da := &Daemon{config: cf, tlsProvider: tp, replica: oplog.NewReplica(), table: route.NewTable()}
	da.number.Store(noIncarnation)
	da.recorder = metric.NewRecorder(cf.Logger)
	da.runner = runner.New(runner.Config{
		Dial: cf.Network.Dial, SilentAfter: cf.Settings.Endpoints.SilentAfter,
		ServiceTimeout: cf.Settings.Endpoints.ServiceTimeout, Space: newSpace(cf.Settings.Endpoints.ResponseMemoryBytes),
	})
	da.log = plat.NewLog(plat.Config{Address: cf.Settings.Platform.LogAddress, Client: da.platformHTTPClient()})
	if cf.Settings.Platform.ListAddress != "" {
		da.list = plat.NewList(plat.Config{Address: cf.Settings.Platform.ListAddress, Client: da.platformHTTPClient()})
	}
	da.links = peer.NewLinks(peer.LinkConfig{
		Node: da, Self: cf.Settings.Instance.PeerAddress, Client: da.peerHTTPClient(), Scheme: tp.peerScheme(), Clock: cf.Clock,
	})
	da.links.SetAddresses(cf.Settings.Platform.Seeds)
	da.reader = oplog.NewReader(oplog.ReaderConfig{Log: da.log, Relay: da.links, Replica: da.replica, Clock: cf.Clock, Logger: cf.Logger})
	da.registerGauges()
	return da, nil
}

// noIncarnation is the value of the incarnation number before the join.
const noIncarnation = int64(-1)

const (
	maxIdleConns = 8
	// maxResponseHeaderBytes is the maximum size of the status and the headers of a response of the platform or of a peer.
	maxResponseHeaderBytes = 64 << 10
	// smallResponseShare is the part of the memory for responses, one in so many, that only small ones may take.
	smallResponseShare = 4
	// smallResponseBytes is the size up to which a response is small.
	smallResponseBytes = 128 << 10
)

// newSpace returns the memory for complete responses, of which small ones have a part for themselves.
func newSpace(bytes int64) *space.Space {
	return space.New(space.Config{Bytes: bytes, ReservedBytes: bytes / smallResponseShare, SmallBytes: smallResponseBytes})
}

func (da *Daemon) platformHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: da.config.Network.Dial, MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxResponseHeaderBytes}}
}

func (da *Daemon) peerHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: da.config.Network.Dial, MaxIdleConnsPerHost: maxIdleConns, TLSClientConfig: da.tlsProvider.peerClientConfig(), MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Run serves until the context ends and then drains; it fails if an address cannot be bound or the incarnation was closed.
func (da *Daemon) Run(ctx context.Context) error {
	if err := da.servers.listen(da); err != nil {
		return err
	}
	defer da.servers.closeAll()
	// The background loops must keep running during the drain, after ctx has ended.
	lctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := da.join(ctx); err != nil {
		return err
	}
	var gr run.Group
	da.addLoops(lctx, &gr, stop)
	da.addShutdown(ctx, &gr, stop)
	err := gr.Run()
	da.ready.Store(false)
	return err
}

// join opens an incarnation in the log and starts the components that depend on it.
func (da *Daemon) join(ctx context.Context) error {
	in := da.config.Settings.Instance
	jo := record.Join{Nonce: uuid.NewString(), Instance: in.Name, Domain: in.Domain, Address: in.PeerAddress}
	number, own, err := oplog.Join(ctx, da.reader, jo, da.config.Clock)
	if err != nil {
		return err
	}
	da.number.Store(number)
	da.config.Logger.Info("joined", "event", "joined", "incarnation", number)
	da.startIncarnation(number, own)
	return nil
}

// startIncarnation creates the components of the incarnation and marks the instance as ready.
func (da *Daemon) startIncarnation(number int64, own oplog.OwnAppend) {
	cf := da.config
	bs := cf.Settings.Budgets
	inc := &incarnation{book: escrow.NewBook(escrow.Config{
		PartitionSpan: bs.Survive, Delay: bs.Delay, SlackSpan: bs.SlackSpan, MinSlack: bs.MinSlackTokens,
		IdleSpan: bs.IdleSpan, HeadroomPercent: bs.HeadRoomPercent,
	})}
	inc.engine = engine.New(engine.Config{
		Incarnation: number, Replica: da.replica, Book: inc.book, Table: da.table, Runner: da.runner,
		Observer: da.recorder, Clock: cf.Clock, Logger: cf.Logger,
		PrefetchTokens: bs.PrefetchTokens, MaxPrefetchBudgets: int(bs.PrefetchBudgets),
	})
	inc.writer = oplog.NewWriter(oplog.WriterConfig{
		Log: da.log, Relay: da.links, Replica: da.replica, Incarnation: number, Source: inc.engine,
		Clock: cf.Clock, Logger: cf.Logger, FlushInterval: cf.Settings.Log.FlushInterval,
		MinInterval: cf.Settings.Log.MinInterval, Heartbeat: cf.Settings.Log.Heartbeat,
	})
	inc.writer.RecordJoin(own)
	inc.callers = caller.NewHandler(caller.Config{
		Engine: inc.engine, Models: da.table.Models, Logger: cf.Logger,
		MaxBodyBytes: cf.Settings.Callers.MaxBodyBytes, BodyTimeout: cf.Settings.Callers.BodyTimeout,
	})
	inc.engine.Bind(inc.writer)
	da.replica.AddListener(&membershipListener{daemon: da})
	da.incarnation.Store(inc)
	da.ready.Store(true)
}

// addLoops adds the background loops, which run until the instance has drained.
func (da *Daemon) addLoops(ctx context.Context, gr *run.Group, stop context.CancelFunc) {
	loops := []func(context.Context) error{
		da.reader.Run, da.incarnation.Load().writer.Run, da.links.Run, da.runner.Loop, da.tlsProvider.Loop,
		(&loadPoller{daemon: da}).Loop, (&checkpointer{daemon: da}).Loop,
	}
	if da.list != nil {
		loops = append(loops, (&listPoller{daemon: da}).Loop)
	}
	for _, loop := range loops {
		gr.Add(func() error { return loop(ctx) }, func(error) { stop() })
	}
	da.servers.addActor(gr)
}

// addShutdown adds the actor that ends the group. When the context ends, the actor drains the instance and returns. If the incarnation is
// closed before that, it returns ErrIncarnationClosed.
func (da *Daemon) addShutdown(ctx context.Context, gr *run.Group, stop context.CancelFunc) {
	ended := make(chan struct{})
	gr.Add(func() error {
		select {
		case <-ctx.Done():
			return da.drain()
		case <-da.incarnation.Load().engine.Closed():
			return ErrIncarnationClosed
		case <-ended:
			return nil
		}
	}, func(error) {
		close(ended)
		stop()
	})
}

var (
	_ peer.Node    = (*Daemon)(nil)
	_ admin.Source = (*Daemon)(nil)
	_ net.Listener = (*limitedListener)(nil)
)
