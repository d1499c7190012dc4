package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// endpointWatcher keeps the roster up to date with the registrations of endpoints in the store.
type endpointWatcher struct {
	edge    *Edge
	view    *keyed.View
	outages outageLog
	// loaded is set after the first successful read.
	loaded atomic.Bool
	// rejected holds the IDs of endpoints with an invalid registration, each of which is logged once.
	rejected map[string]bool
}

func newEndpointWatcher(ed *Edge) *endpointWatcher {
	ew := &endpointWatcher{edge: ed, outages: outageLog{name: "registrations", logger: ed.config.Logger}, rejected: map[string]bool{}}
	ew.view = keyed.NewView(ed.topics[ed.config.Platform.Endpoints], ew)
	return ew
}

func (ew *endpointWatcher) run(ctx context.Context) error {
	var next roster.Read
	for ctx.Err() == nil {
		begun := ew.edge.config.Clock()
		regained := ew.edge.mesh.StoreRegained()
		err := ew.view.Poll(ctx, next.Wait)
		if ctx.Err() != nil {
			return nil
		}
		now := ew.edge.config.Clock()
		if err != nil {
			ew.outages.recordFailure(now, err)
			ew.edge.roster.ReadFailed()
			next = ew.edge.roster.NextRead(begun, now)
			pauseUntil(ctx, next.Pause, regained)
			continue
		}
		ew.outages.recordSuccess(now)
		ew.edge.recordEra(&ew.outages, ew.view)
		for _, re := range ew.edge.roster.ReadSucceeded(now) {
			ew.edge.config.Logger.Info("endpoint gone", "endpoint", re.ID, "offset", ew.view.Next(), "kept", re.Kept.Seconds())
		}
		ew.edge.origins.shareMixed()
		ew.loaded.Store(true)
		next = ew.edge.roster.NextRead(begun, now)
		pause(ctx, next.Pause)
	}
	return nil
}

// noteRepeat tells the roster of an outage that ended within the read: it was answered only when it was repeated.
func (ew *endpointWatcher) noteRepeat() {
	if ew.view.Repeated() {
		ew.edge.roster.ReadFailed()
	}
}

// Reset replaces the roster by the newest registration of every endpoint.
func (ew *endpointWatcher) Reset(sn keyed.Snapshot) {
	ew.noteRepeat()
	if sn.Restored {
		ew.edge.roster.StoreRestored(ew.edge.config.Clock())
	}
	now := ew.edge.config.Clock()
	age := ew.edge.roster.Age(now)
	ew.logChanges(ew.edge.roster.Replace(now, ew.decode(sn.Records)), age)
}

// Apply applies new registrations to the roster.
func (ew *endpointWatcher) Apply(list []keyed.Record) {
	ew.noteRepeat()
	now := ew.edge.config.Clock()
	age := ew.edge.roster.Age(now)
	ew.logChanges(ew.edge.roster.Apply(now, ew.decode(list)), age)
}

func (ew *endpointWatcher) decode(list []keyed.Record) []roster.Change {
	changes := make([]roster.Change, 0, len(list))
	for _, re := range list {
		if re.Key == "" {
			continue
		}
		if len(re.Value) == 0 {
			changes = append(changes, roster.Change{ID: re.Key})
			continue
		}
		en, err := ew.edge.config.Platform.DecodeEndpoint(re.Key, re.Value)
		if err != nil {
			ew.reject(re.Key, err)
			continue
		}
		changes = append(changes, roster.Change{ID: re.Key, Endpoint: en})
	}
	return changes
}

func (ew *endpointWatcher) reject(id string, err error) {
	if ew.rejected[id] {
		return
	}
	ew.rejected[id] = true
	ew.edge.config.Logger.Info("registration rejected", "endpoint", id, "reason", err.Error())
}

// logChanges logs the changes of the roster; age is the time since the previous successful read.
func (ew *endpointWatcher) logChanges(list []roster.Change, age time.Duration) {
	for _, ch := range list {
		if ch.Kept {
			ew.edge.config.Logger.Info("endpoint missing", "endpoint", ch.ID, "offset", ew.view.Next(), "lastRead", age.Seconds())
			continue
		}
		// A change without an endpoint is a removal.
		if ch.Endpoint == nil {
			ew.edge.config.Logger.Info("endpoint gone", "endpoint", ch.ID, "offset", ew.view.Next())
			continue
		}
		en := ch.Endpoint
		ew.edge.config.Logger.Info("endpoint", "endpoint", en.ID, "service", en.Service, "address", en.Address,
			"domain", en.Domain, "version", en.Version, "leaving", en.Leaving, "started", en.StartedMillis, "sequence", en.Sequence, "offset", ew.view.Next())
	}
}
