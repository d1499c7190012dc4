package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// directoryPause gathers heartbeats into one read; with the read itself it stays well below the time in which a leaving endpoint must get no more work.
	directoryPause = 350 * time.Millisecond
	// directoryWait is how long one read waits for a change; heartbeats come more often.
	directoryWait = 2 * time.Second
)

// directory follows the registrations of endpoints.
type directory struct {
	edge    *Edge
	view    *keyed.View
	contact contact
	loaded  atomic.Bool
	// rejected are the IDs whose registration could not be used, so that each is logged once.
	rejected map[string]bool
}

func newDirectory(ed *Edge) *directory {
	di := &directory{edge: ed, contact: contact{name: "registrations", logger: ed.config.Logger}, rejected: map[string]bool{}}
	di.view = keyed.NewView(ed.topics[ed.config.Platform.Endpoints], di)
	return di
}

func (di *directory) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := directoryWait
		if di.edge.roster.HasMissing() {
			wait = 0
		}
		err := di.view.Poll(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
		now := di.edge.config.Clock()
		if err != nil {
			di.contact.failed(now, err)
			di.edge.roster.ReadFailed()
			pause(ctx, retryPause)
			continue
		}
		di.contact.reached(now)
		di.edge.roster.ReadSucceeded(now)
		di.loaded.Store(true)
		pause(ctx, directoryPause)
	}
	return nil
}

// Reset takes the newest registration of every endpoint.
func (di *directory) Reset(list []keyed.Record) {
	di.apply(di.edge.roster.Replace(di.edge.config.Clock(), di.decode(list)))
}

// Apply takes new registrations.
func (di *directory) Apply(list []keyed.Record) {
	di.apply(di.edge.roster.Apply(di.edge.config.Clock(), di.decode(list)))
}

func (di *directory) decode(list []keyed.Record) []roster.Change {
	changes := make([]roster.Change, 0, len(list))
	for _, re := range list {
		if re.Key == "" {
			continue
		}
		if len(re.Value) == 0 {
			changes = append(changes, roster.Change{ID: re.Key})
			continue
		}
		en, err := di.edge.config.Platform.DecodeEndpoint(re.Key, re.Value)
		if err != nil {
			di.reject(re.Key, err)
			continue
		}
		changes = append(changes, roster.Change{ID: re.Key, Endpoint: en})
	}
	return changes
}

func (di *directory) reject(id string, err error) {
	if di.rejected[id] {
		return
	}
	di.rejected[id] = true
	di.edge.config.Logger.Info("registration rejected", "endpoint", id, "reason", err.Error())
}

func (di *directory) apply(list []roster.Change) {
	for _, ch := range list {
		if ch.Endpoint == nil {
			di.edge.config.Logger.Info("endpoint gone", "endpoint", ch.ID, "offset", di.view.Next())
			continue
		}
		en := ch.Endpoint
		di.edge.config.Logger.Info("endpoint", "endpoint", en.ID, "service", en.Service, "address", en.Address,
			"domain", en.Domain, "leaving", en.Leaving, "started", en.StartedMillis, "sequence", en.Sequence, "offset", di.view.Next())
	}
}
