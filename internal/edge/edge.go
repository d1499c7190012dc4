package edge

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/internal/space"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/quota"
	"github.com/clementineweir/clementineweir/pkg/retry"
	"github.com/clementineweir/clementineweir/pkg/roster"
	"github.com/clementineweir/clementineweir/pkg/spill"
	"github.com/clementineweir/clementineweir/pkg/turn"
)

// grantShards is the number of partitions of the grant topic. Teams are spread over them, since a partition takes only one append every few
// milliseconds and concurrent appends to the same partition conflict.
const grantShards = 8

// discoverySpan is the time after the start in which an instance might not know the other instances of a fleet that starts with it. The
// announcements of 75 instances take the store about a second.
const discoverySpan = 2 * time.Second

// minNoticeTokens is the minimum number of uncached prompt tokens for which peers are notified. An endpoint prefills them in some 25 ms.
const minNoticeTokens = 1500

// maxLearnTime is the time after the start from which an instance is ready although streams may begin nowhere.
const maxLearnTime = 3 * time.Second

const (
	// bodyMemoryPercent is the part of the allowed memory that the bodies of requests and responses may take together.
	bodyMemoryPercent = 25
	// smallBodyShare is the part, one in so many, that only requests with small bodies may take.
	smallBodyShare = 4
	// smallBodyBytes is the number of bytes up to which the bodies of a request are small.
	smallBodyBytes = 128 << 10
)

// shardName returns the name by which peers call one partition of a topic.
func shardName(topic string, part int) string { return fmt.Sprintf("%s/%d", topic, part) }

// Platform connects an instance to its platform: the topics of the store and the decoders of their records.
type Platform struct {
	// Topic returns one partition of a topic in the store.
	Topic func(name string, part int) keyed.Topic
	// Configuration is the name of the topic that holds the configuration.
	Configuration string
	// ConfigurationKey is the key of the configuration's record in the topic Configuration.
	ConfigurationKey string
	// Endpoints is the name of the topic that holds the registrations of endpoints, with the endpoint's ID as the key.
	Endpoints string
	// Grants is the name of the topic that the instances share: grant rows, announcements, crashes and the builds of services.
	Grants string
	// Log returns one partition of a topic without keys in the store.
	Log func(name string, part int) keyed.Log
	// Origins is the name of the topic without keys to which the instances write the origins of streams.
	Origins string
	// Protocol decodes and encodes the headers of callers and endpoints.
	Protocol gate.Protocol
	// DecodePlan decodes a configuration and returns the names of the routes that had to be left out as unusable.
	DecodePlan func(data []byte) (*plan.Plan, []string, error)
	// DecodeEndpoint decodes the registration of the endpoint with this ID.
	DecodeEndpoint func(id string, data []byte) (*roster.Endpoint, error)
}

// Config holds the settings and the dependencies of an instance.
type Config struct {
	Settings config.Edge
	Platform Platform
	// Clock returns the monotonic time since the process started.
	Clock func() time.Duration
	// Stamp reads the wall clock and the boot clock, which continue when the process restarts. Each grant row stores the reading; from it the
	// next incarnation computes the age of the row.
	Stamp func() quota.Stamp
	// Logger writes the instance's log.
	Logger logr.Logger
	// Reload reads the settings again; it is nil if they never change.
	Reload func() (config.Edge, error)
	// Dropped returns the number of log lines dropped so far.
	Dropped func() int64
}

// Edge is one instance of the proxy.
type Edge struct {
	config   Config
	plan     atomic.Pointer[plan.Plan]
	draining atomic.Bool
	// stopsAt is the time when the instance stops serving, on its own clock. It is zero while no stop is scheduled, that is as long as the
	// platform may still send callers to this instance.
	stopsAt atomic.Int64
	// stopped ends when the instance stops serving; stopServing ends it.
	// grace is the grace period, which a reload may change until the drain begins.
	grace       atomic.Int64
	stopped     context.Context //nolint:containedctx // lives as long as the instance
	stopServing context.CancelFunc
	// storeEra is the number of the store's era at the last read of any topic.
	storeEra        atomic.Int64
	roster          *roster.Roster
	balancer        *place.Balancer
	quotas          *quota.Set
	retryBudget     *retry.Budget
	turns           *turn.Schedule
	returns         *returns
	pool            *conns.Pool
	paths           *paths
	metrics         *gate.Metrics
	quarantine      *quarantine
	mesh            *mesh.Mesh
	topics          map[string]mesh.RelayedTopic
	transfers       *transfers
	permits         *permits
	origins         *origins
	configWatcher   *configWatcher
	endpointWatcher *endpointWatcher
	grantSyncs      []*grantSync
	servers         *servers
	notifier        *mesh.Notifier
	// space bounds the memory of buffered bodies.
	space    *space.Space
	overload *overload
	// reads counts what is read from the link, if its rate is known.
	reads readCounter
}

// New returns an instance; Run starts it.
func New(cf Config) *Edge {
	now := cf.Clock()
	incarnation := cf.Stamp().Wall.UnixNano()
	ed := &Edge{
		config: cf, roster: roster.New(), balancer: place.NewBalancer(), metrics: gate.NewMetrics(),
		quotas:      quota.NewSet(grantShards, quota.Config{Instance: cf.Settings.Name, Incarnation: incarnation, FirstStart: cf.Settings.FirstStart, CopyAge: cf.Settings.CopyAge, DiscoverySpan: discoverySpan}, now, cf.Stamp),
		retryBudget: retry.New(retryConfig(cf.Settings), now),
		turns:       turn.New(),
	}
	ed.balancer.SetSpill(spillConfig(cf.Settings))
	ed.grace.Store(int64(cf.Settings.Grace))
	ed.stopped, ed.stopServing = context.WithCancel(context.Background())
	opened := ed.metrics.Counter("weir_endpoint_connections_opened_total")
	ed.paths = newPaths(ed)
	ed.pool = conns.NewPool(ed.paths, opened.Inc)
	ed.mesh = mesh.New(mesh.Config{
		Self: mesh.Member{
			Name: cf.Settings.Name, Address: cf.Settings.PeerAddress, Domain: cf.Settings.Domain,
			IssuesPermits: true, HoldsOrigins: true, RelaysConnections: true, Incarnation: incarnation,
		},
		Clock: cf.Clock,
	})
	ed.space = newSpace(cf.Settings)
	ed.topics = map[string]mesh.RelayedTopic{}
	for _, name := range []string{cf.Platform.Configuration, cf.Platform.Endpoints} {
		ed.topics[name] = ed.mesh.Topic(name, cf.Platform.Topic(name, 0))
	}
	for part := range grantShards {
		name := shardName(cf.Platform.Grants, part)
		ed.topics[name] = ed.mesh.Topic(name, cf.Platform.Topic(cf.Platform.Grants, part))
	}
	ed.quarantine = newQuarantine(quarantineConfig{
		Clock: cf.Clock, Wall: func() time.Time { return cf.Stamp().Wall }, Notify: ed.notifyCrash, Logger: cf.Logger,
	})
	ed.transfers = &transfers{edge: ed, shortfallAt: map[string]time.Duration{}}
	ed.permits = newPermits(ed)
	ed.origins = newOrigins(ed)
	ed.returns = newReturns(ed)
	ed.configWatcher = newConfigWatcher(ed)
	ed.endpointWatcher = newEndpointWatcher(ed)
	for ix, sh := range ed.quotas.Shards() {
		ed.grantSyncs = append(ed.grantSyncs, newGrantSync(ed, sh, ix))
	}
	ed.overload = newOverload(ed)
	if cf.Settings.LinkMegabits > 0 {
		ed.reads = readCounter{shedder: ed.overload.shedder}
	}
	ed.servers = newServers(ed)
	return ed
}

// newSpace returns the memory for bodies. The rest is for the program itself, its connections and garbage.
func newSpace(se config.Edge) *space.Space {
	bytes := se.MemoryMegabytes << 20 * bodyMemoryPercent / 100
	return space.New(space.Config{Bytes: bytes, ReservedBytes: bytes / smallBodyShare, SmallBytes: smallBodyBytes})
}

func retryConfig(se config.Edge) retry.Config {
	return retry.Config{Ratio: se.RetryRatio, Headroom: float64(se.RetryHeadroom), Window: se.RetryWindow}
}

// spillConfig returns what leaving the failure domain costs.
func spillConfig(se config.Edge) spill.Config {
	cf := spill.DefaultConfig()
	cf.BytePrice = time.Duration(se.BytePrice * float64(time.Millisecond))
	cf.Seed = xxhash.Sum64String(se.Name)
	return cf
}

// Plan returns the configuration in force. It returns nil before the first one, and until the instance has learned the rate limits of endpoints.
func (ed *Edge) Plan() *plan.Plan {
	if !ed.permits.learned.Load() {
		return nil
	}
	return ed.plan.Load()
}

// Draining reports whether the instance is shutting down.
func (ed *Edge) Draining() bool { return ed.draining.Load() }

// TimeToStop returns the time until the instance stops serving, and false while no stop is scheduled. No stop is scheduled as
// long as the platform may still send callers to this instance.
func (ed *Edge) TimeToStop() (time.Duration, bool) {
	at := ed.stopsAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(at) - ed.config.Clock(), true
}

// Stopped returns a context that ends when the instance stops serving.
func (ed *Edge) Stopped() context.Context { return ed.stopped }

// StoreReachable reports whether the last direct call to the store, for any topic, reached it.
func (ed *Edge) StoreReachable() bool { return ed.mesh.StoreReachable() }

// onNotice records a prompt that another instance has sent to an endpoint, or a crash that it observed.
func (ed *Edge) onNotice(nt mesh.Notice) {
	if nt.Crash != nil {
		ed.quarantine.applyNotice(*nt.Crash)
		return
	}
	if len(nt.Origins) > 0 {
		ed.origins.applyNotice(nt.Origins)
		return
	}
	if len(nt.Returns) > 0 {
		ed.returns.applyNotice(nt.Returns)
		return
	}
	if len(nt.Spending) > 0 {
		ed.transfers.applySpending(nt.Spending)
		return
	}
	if nt.Rejected != "" {
		ed.balancer.RecordPeerRejection(ed.config.Clock(), nt.Rejected)
		return
	}
	if nt.Leaving != "" {
		if ed.roster.RecordLeaving(nt.Leaving) {
			ed.config.Logger.Info("endpoint leaves", "process", nt.Leaving, "source", "peer")
		}
		return
	}
	if nt.Configuration != nil {
		ed.configWatcher.applyNotice(*nt.Configuration)
		return
	}
	if nt.RateLimit != nil {
		ed.applyRateLimitNotice(*nt.RateLimit)
		return
	}
	ed.balancer.RecordPeerDispatch(ed.config.Clock(), nt.Endpoint, nt.PrefixID, nt.UncachedTokens)
}

// notifyCrash notifies the peers of a crash. A peer that misses the notice reads the record in the store.
func (ed *Edge) notifyCrash(nt mesh.CrashNotice) {
	if !ed.notifier.Send(mesh.Notice{Crash: &nt}) {
		ed.metrics.Counter("weir_notices_dropped_total").Inc()
	}
}

// NotifyRejection notifies the peers that a brittle endpoint has rejected a request.
func (ed *Edge) NotifyRejection(process string) {
	if !ed.notifier.Send(mesh.Notice{Rejected: process}) {
		ed.metrics.Counter("weir_notices_dropped_total").Inc()
	}
}

// NotifyLeaving notifies the peers that a process of an endpoint has said that it leaves.
func (ed *Edge) NotifyLeaving(process string) {
	if !ed.notifier.Send(mesh.Notice{Leaving: process}) {
		ed.metrics.Counter("weir_notices_dropped_total").Inc()
	}
}

// NotifyDispatch notifies the peers of a prompt sent to an endpoint if its uncached tokens are at least minNoticeTokens.
func (ed *Edge) NotifyDispatch(endpoint string, prefixID uint64, tokens int64) {
	if tokens >= minNoticeTokens && !ed.notifier.Send(mesh.Notice{Endpoint: endpoint, PrefixID: prefixID, UncachedTokens: tokens}) {
		ed.metrics.Counter("weir_notices_dropped_total").Inc()
	}
}

// fleetSize returns the number of instances that share the retry budget of the fleet.
//
// It is max(instances with recent grant rows, announced instances) + 1; the one added stands for an instance that is not known yet.
// Announcements are counted because instances that only borrow write no rows. Instances that crashed still count for a while.
func (ed *Edge) fleetSize(now time.Duration) int {
	return max(ed.quotas.ActiveInstances(now), len(ed.mesh.Members())) + 1
}

// Ready reports whether the platform should send callers here; an instance stays ready while the store is unreachable.
func (ed *Edge) Ready() bool {
	return !ed.Draining() && ed.Plan() != nil && ed.endpointWatcher.loaded.Load() && (ed.origins.builds.ready() || ed.config.Clock() >= maxLearnTime)
}

// Run serves callers until the context ends, and then drains.
func (ed *Edge) Run(ctx context.Context) error {
	ed.gauges()
	ed.config.Logger.Info("start", "instance", ed.config.Settings.Name, "domain", ed.config.Settings.Domain,
		"callers", ed.config.Settings.CallerAddress, "store", ed.config.Settings.StoreAddress)
	if err := ed.servers.listen(); err != nil {
		return err
	}
	ed.notifier = ed.mesh.NewNotifier(ed.servers.datagrams, ed.onNotice)
	// After ctx ends, the loops keep running until the drain is over, since the drain still settles grants.
	lctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	loops := []func(context.Context) error{
		ed.configWatcher.run, ed.endpointWatcher.run, ed.servers.run, ed.servers.runReadiness, ed.servers.runPeers, ed.runSweep, ed.runReload,
		ed.notifier.RunSend, ed.notifier.RunReceive, ed.permits.run, ed.paths.run, ed.origins.log.run, ed.returns.run,
		ed.overload.run,
	}
	for _, gs := range ed.grantSyncs {
		loops = append(loops, gs.run, (&aheadLoans{transfers: ed.transfers, quota: gs.quota}).run)
	}
	for _, loop := range loops {
		group.Add(func() error { return loop(lctx) }, func(error) { stop() })
	}
	group.Add(func() error { return ed.runDrain(ctx, lctx) }, func(error) { stop() })
	err := group.Run()
	ed.config.Logger.Info("stop", "instance", ed.config.Settings.Name)
	if eris.Is(err, errDrained) {
		return nil
	}
	return err
}

// recordEra records the era in which a topic was last read, and counts the reads that find the store restored.
func (ed *Edge) recordEra(ol *outageLog, vi *keyed.View) {
	ed.storeEra.Store(vi.Era().Number())
	if ol.recordEra(vi.Era(), vi.Next()) {
		ed.metrics.Counter("weir_topics_restored_total").Inc()
	}
}

func (ed *Edge) gauges() {
	ed.metrics.Gauge("weir_usable_endpoints", func() float64 { return float64(ed.roster.UsableCount()) })
	ed.metrics.Gauge("weir_rate_limited_endpoints", func() float64 { return float64(len(ed.balancer.RateLimits())) })
	ed.metrics.Gauge("weir_log_lines_dropped", func() float64 { return float64(ed.config.Dropped()) })
	ed.metrics.Gauge("weir_body_memory_bytes", func() float64 { return float64(ed.space.Used()) })
	ed.metrics.Gauge("weir_requests_in_flight", func() float64 { return float64(ed.servers.active.Load()) })
	ed.metrics.Gauge("weir_instance_lag_seconds", func() float64 { return ed.overload.shedder.Lag(ed.config.Clock()).Seconds() })
	ed.metrics.Gauge("weir_link_incoming_used", func() float64 { return ed.overload.shedder.State(ed.config.Clock()).Incoming })
	ed.metrics.Gauge("weir_shed_level", func() float64 { return ed.overload.shedder.State(ed.config.Clock()).Level })
	ed.metrics.Gauge("weir_link_to_endpoints_cut", func() float64 {
		if ed.paths.LinkCut() {
			return 1
		}
		return 0
	})
	ed.metrics.Gauge("weir_connections_relayed", func() float64 { return float64(ed.servers.relays.Active()) })
	ed.metrics.Gauge("weir_store_era", func() float64 { return float64(ed.storeEra.Load()) })
	ed.metrics.Gauge("weir_plan_version", func() float64 {
		pl := ed.Plan()
		if pl == nil {
			return 0
		}
		return float64(pl.Version())
	})
}

// Members returns the names of the instances that this one knows, including itself.
func (ed *Edge) Members() []string { return ed.mesh.Members() }

// TeamBalance returns this instance's share of a team's prepaid total.
func (ed *Edge) TeamBalance(team string) quota.Balance {
	return ed.quotas.Shard(team).Balance(ed.config.Clock(), team)
}

// UsableEndpoints returns the number of endpoints of a service that may get requests.
func (ed *Edge) UsableEndpoints(service string) int { return len(ed.roster.Usable(service)) }
