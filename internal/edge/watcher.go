package edge

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// configWait is the maximum time that one read waits for a new configuration. A dead connection is detected after configWait, too.
	configWait = 2 * time.Second
	// noticeInterval is the interval at which peers are notified of a configuration that the store has lost.
	noticeInterval = time.Second
	// fetchTimeout bounds the time in which a configuration is read from a peer.
	fetchTimeout = time.Second
	// retryPause is the pause before a retry after a failed call to the store.
	retryPause = 350 * time.Millisecond
)

// configWatcher reads new configurations from the store and puts them in force.
type configWatcher struct {
	edge    *Edge
	view    *keyed.View
	outages outageLog
	// mu is held while a configuration is compared with the one in force and installed.
	mu sync.Mutex
	// data is the configuration in force as it was read, and era the era of the store in which it was.
	data []byte
	era  keyed.Era
	// stored is the version that was last read from the store.
	stored int64
	// notified is the version of which the peers were last notified.
	notified int64
	// fetching is true while a configuration is read from a peer.
	fetching atomic.Bool
}

func newConfigWatcher(ed *Edge) *configWatcher {
	cw := &configWatcher{edge: ed, outages: outageLog{name: "configuration", logger: ed.config.Logger}}
	cw.view = keyed.NewView(ed.topics[ed.config.Platform.Configuration], cw)
	return cw
}

func (cw *configWatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := configWait
		if cw.outages.failing {
			// The end of an outage is noticed at once, not at the next change.
			wait = 0
		}
		if version, ok := cw.missing(); ok {
			// Peers that start now would read an older version from the store.
			cw.notify(version)
			wait = min(wait, noticeInterval)
		}
		err := cw.view.Poll(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
		now := cw.edge.config.Clock()
		if err != nil {
			cw.outages.recordFailure(now, err)
			pause(ctx, retryPause)
			continue
		}
		cw.outages.recordSuccess(now)
		cw.edge.recordEra(&cw.outages, cw.view)
	}
	return nil
}

// Reset applies the snapshot of the topic. It has no state to discard, since a configuration with a lower version is never installed.
func (cw *configWatcher) Reset(sn keyed.Snapshot) { cw.apply(sn.Records, sn.Era) }

// Apply applies new records of the topic.
func (cw *configWatcher) Apply(list []keyed.Record) { cw.apply(list, cw.view.Era()) }

func (cw *configWatcher) apply(list []keyed.Record, era keyed.Era) {
	for _, re := range list {
		if re.Key == cw.edge.config.Platform.ConfigurationKey && len(re.Value) > 0 {
			cw.installStored(re.Value, era)
		}
	}
}

// installStored installs a configuration that was read from the store.
func (cw *configWatcher) installStored(data []byte, era keyed.Era) {
	version, err := cw.install(data, era, "store")
	if err != nil {
		cw.edge.config.Logger.Info("configuration rejected", "reason", err.Error(), "bytes", len(data))
		return
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	cw.stored = version
}

// missing returns the version in force if the store has lost it, and false otherwise.
func (cw *configWatcher) missing() (int64, bool) {
	current := cw.edge.plan.Load()
	cw.mu.Lock()
	defer cw.mu.Unlock()
	if current == nil || cw.stored >= current.Version() {
		return 0, false
	}
	return current.Version(), true
}

// notify notifies the peers of the version in force, which the store has lost.
func (cw *configWatcher) notify(version int64) {
	if cw.notified != version {
		cw.notified = version
		cw.edge.config.Logger.Info("configuration missing in the store", "plan", version)
	}
	nt := mesh.ConfigurationNotice{Instance: cw.edge.config.Settings.Name, Version: version}
	if !cw.edge.notifier.Send(mesh.Notice{Configuration: &nt}) {
		cw.edge.metrics.Counter("weir_notices_dropped_total").Inc()
	}
}

// newerThan returns the configuration in force if its version is higher than the given one, and the era in which it was read.
func (cw *configWatcher) newerThan(version int64) ([]byte, keyed.Era) {
	cw.mu.Lock()
	defer cw.mu.Unlock()
	if current := cw.edge.plan.Load(); current == nil || current.Version() <= version {
		return nil, 0
	}
	return cw.data, cw.era
}

// applyNotice reads a configuration from the peer that has it, if its version is higher than the one in force.
func (cw *configWatcher) applyNotice(nt mesh.ConfigurationNotice) {
	version := int64(0)
	if current := cw.edge.plan.Load(); current != nil {
		version = current.Version()
	}
	if nt.Version > version && cw.fetching.CompareAndSwap(false, true) {
		go cw.runFetch(nt.Instance, version)
	}
}

// runFetch reads a configuration with a higher version than the given one from a peer and installs it.
func (cw *configWatcher) runFetch(peer string, version int64) {
	defer cw.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	data, era, err := cw.edge.mesh.Configuration(ctx, peer, version)
	if err == nil && len(data) > 0 {
		_, err = cw.install(data, era, peer)
	}
	if err != nil {
		cw.edge.config.Logger.Info("no configuration from a peer", "peer", peer, "reason", err.Error())
	}
}

// install puts a configuration in force if its version is higher than the current one, or if it is the same one written with another content
// after the store had lost the former. It returns the version, also if it is not installed. The source is the store or a peer.
func (cw *configWatcher) install(data []byte, era keyed.Era, source string) (int64, error) {
	next, unusable, err := cw.edge.config.Platform.DecodePlan(data)
	if err != nil {
		return 0, err
	}
	cw.mu.Lock()
	defer cw.mu.Unlock()
	current := cw.edge.plan.Load()
	if current != nil && !cw.supersedes(next.Version(), current.Version(), data, era) {
		return next.Version(), nil
	}
	cw.data, cw.era = data, era
	if current != nil {
		// Before any request goes by the new version.
		cw.edge.origins.applyMoves(current.Moves(next))
	}
	cw.edge.plan.Store(next)
	cw.edge.quotas.SetTotals(totalsOf(next))
	cw.edge.config.Logger.Info("configuration in force", "source", source, "plan", next.Version(), "era", era.Number(), "routes", next.RouteCount(), "unusableRoutes", unusable)
	return next.Version(), nil
}

// supersedes reports whether a version of the configuration that was read in the given era replaces the current one.
func (cw *configWatcher) supersedes(next, current int64, data []byte, era keyed.Era) bool {
	return next > current || (next == current && era > cw.era && cw.era != 0 && !bytes.Equal(data, cw.data))
}

// totalsOf returns the prepaid totals of the teams that have a limited total.
func totalsOf(pl *plan.Plan) map[string]int64 {
	totals := map[string]int64{}
	for _, te := range pl.Teams() {
		if te.Limited {
			totals[te.Name] = te.Prepaid
		}
	}
	return totals
}

// pause waits for the delay, or until the context ends.
func pause(ctx context.Context, delay time.Duration) {
	ti := time.NewTimer(delay)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}

// pauseUntil waits for the delay, or until the context ends or the channel is closed.
func pauseUntil(ctx context.Context, delay time.Duration, ended <-chan struct{}) {
	ti := time.NewTimer(delay)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	case <-ended:
	}
}
