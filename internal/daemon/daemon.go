package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/route"
)

// ErrIncarnationClosed reports that another instance has closed this incarnation, so the process must end.
var ErrIncarnationClosed = eris.New("this incarnation was closed: its process was taken for dead")

// Config holds the settings and the surroundings of an instance.
type Config struct {
	Settings config.Settings
	Network  Network
	Clock    oplog.Clock
	Logger   logr.Logger
}

// Daemon is one running instance.
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
	number      atomic.Int64
	ready       atomic.Bool
	incarnation atomic.Pointer[incarnation]
}

// incarnation are the parts that exist once the incarnation is open.
type incarnation struct {
	engine  *engine.Engine
	book    escrow.Book
	writer  *oplog.Writer
	callers http.Handler
}

// New returns an instance that has not started; it fails where a TLS file cannot be used.
func New(cf Config) (*Daemon, error) {
	sc, err := newTLSProvider(cf.Settings.TLS)
	if err != nil {
		return nil, err
	}
	da := &Daemon{config: cf, tlsProvider: sc, replica: oplog.NewReplica(), table: route.NewTable()}
	da.number.Store(noIncarnation)
	da.recorder = metric.NewRecorder(cf.Logger)
	da.runner = runner.New(runner.Config{
		Dial: cf.Network.Dial, SilentAfter: cf.Settings.Endpoints.SilentAfter,
		ServiceTimeout: cf.Settings.Endpoints.ServiceTimeout,
	})
	da.log = plat.NewLog(plat.Config{Address: cf.Settings.Platform.LogAddress, Client: da.platformHTTPClient()})
	if cf.Settings.Platform.ListAddress != "" {
		da.list = plat.NewList(plat.Config{Address: cf.Settings.Platform.ListAddress, Client: da.platformHTTPClient()})
	}
	da.links = peer.NewLinks(peer.LinkConfig{
		Node: da, Self: cf.Settings.Instance.PeerAddress, Client: da.peerHTTPClient(), Scheme: sc.peerScheme(), Clock: cf.Clock,
	})
	da.links.SetAddresses(cf.Settings.Platform.Seeds)
	da.reader = oplog.NewReader(oplog.ReaderConfig{Log: da.log, Relay: da.links, Replica: da.replica, Clock: cf.Clock, Logger: cf.Logger})
	da.registerGauges()
	return da, nil
}

// noIncarnation is the incarnation number before the join.
const noIncarnation = int64(-1)

const maxIdleConns = 8

func (da *Daemon) platformHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: da.config.Network.Dial, MaxIdleConnsPerHost: maxIdleConns}}
}

func (da *Daemon) peerHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: da.config.Network.Dial, MaxIdleConnsPerHost: maxIdleConns, TLSClientConfig: da.tlsProvider.peerClientConfig(),
	}}
}

// Run serves until the context ends and then drains; it fails where an address is taken or the incarnation was closed.
func (da *Daemon) Run(ctx context.Context) error {
	if err := da.servers.listen(da); err != nil {
		return err
	}
	defer da.servers.closeAll()
	// The parts go on while the instance drains, so they have a context of their own.
	pctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := da.join(ctx); err != nil {
		return err
	}
	var gr run.Group
	da.addLoops(pctx, &gr, stop)
	da.addShutdown(ctx, &gr, stop)
	err := gr.Run()
	da.ready.Store(false)
	return err
}

// join opens the incarnation and binds the engine to the log.
func (da *Daemon) join(ctx context.Context) error {
	in := da.config.Settings.Instance
	jo := record.Join{Nonce: uuid.NewString(), Instance: in.Name, Domain: in.Domain, Address: in.PeerAddress}
	number, sent, err := oplog.Join(ctx, da.reader, jo, da.config.Clock)
	if err != nil {
		return err
	}
	da.number.Store(number)
	da.config.Logger.Info("joined", "event", "joined", "incarnation", number)
	da.startIncarnation(number, sent)
	return nil
}

func (da *Daemon) startIncarnation(number int64, sent oplog.OwnAppend) {
	cf := da.config
	bs := cf.Settings.Budgets
	jo := &incarnation{book: escrow.NewBook(escrow.Config{
		PartitionSpan: bs.Survive, Delay: bs.Delay, SlackSpan: bs.SlackSpan, MinSlack: bs.MinSlackTokens,
		IdleSpan: bs.IdleSpan, HeadroomPercent: bs.HeadRoomPercent,
	})}
	jo.engine = engine.New(engine.Config{
		Incarnation: number, Replica: da.replica, Book: jo.book, Table: da.table, Runner: da.runner,
		Observer: da.recorder, Clock: cf.Clock, Logger: cf.Logger,
		PrefetchTokens: bs.PrefetchTokens, MaxPrefetchBudgets: int(bs.PrefetchBudgets),
	})
	jo.writer = oplog.NewWriter(oplog.WriterConfig{
		Log: da.log, Relay: da.links, Replica: da.replica, Incarnation: number, Source: jo.engine,
		Clock: cf.Clock, Logger: cf.Logger, FlushInterval: cf.Settings.Log.FlushInterval,
		MinInterval: cf.Settings.Log.MinInterval, Heartbeat: cf.Settings.Log.Heartbeat,
	})
	jo.writer.RecordJoin(sent)
	jo.callers = caller.NewHandler(caller.Config{
		Engine: jo.engine, Models: da.table.Models, Logger: cf.Logger,
		MaxBodyBytes: cf.Settings.Callers.MaxBodyBytes, BodyTimeout: cf.Settings.Callers.BodyTimeout,
	})
	jo.engine.Bind(jo.writer)
	da.replica.AddListener(&membershipListener{daemon: da})
	da.incarnation.Store(jo)
	da.ready.Store(true)
}

// addLoops adds the duties that go on until the instance has drained.
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

// addShutdown adds the duty that ends the instance: after its context ended and it drained, or when it was closed.
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

// listTimeout is the pause of loops whose work failed.
const listTimeout = time.Second
