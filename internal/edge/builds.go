package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/origin"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// maxSoleAge is the age of the last read of the table of builds from which on a service is not presumed to have a sole build, so that origins of
	// streams are shared in time before a second one is active.
	maxSoleAge = 1500 * time.Millisecond
	// rowFallback is the time for which a row must be due until an instance writes it in place of the one in charge.
	rowFallback = 1500 * time.Millisecond
	// maxConfirmTime bounds the time in which the table is read again for the resumption of a stream.
	maxConfirmTime = 300 * time.Millisecond
)

// builds keeps the table of the builds that may have begun streams in step with the store, and chooses the endpoints at which streams may begin.
type builds struct {
	edge  *Edge
	table *origin.Table
	mu    sync.Mutex
	// dueSince holds the times from which on rows were due, by service.
	dueSince map[string]time.Duration
	// usable holds the results of Usable by service.
	usable map[string]usableEndpoints
}

// usableEndpoints are the endpoints of a list at which streams may begin.
type usableEndpoints struct {
	list   []*roster.Endpoint
	table  int64
	result []*roster.Endpoint
}

func newBuilds(ed *Edge) *builds {
	return &builds{
		edge: ed, table: origin.NewTable(ed.config.Settings.FirstStart), dueSince: map[string]time.Duration{}, usable: map[string]usableEndpoints{},
	}
}

// era returns the era of the store in which the table was last read.
func (bs *builds) era() keyed.Era { return keyed.NewEra(bs.edge.grantSyncs[0].era.Load()) }

// presumedSole reports whether a service has a sole build as far as this instance knows without a new read. Resumptions need more; see sole.
func (bs *builds) presumedSole(service string) bool {
	_, ok := bs.table.Sole(service, bs.era())
	return ok && bs.edge.config.Clock()-bs.edge.grantSyncs[0].lastRead() <= maxSoleAge
}

// sole returns the only build that may have begun streams of a service before the call, and false if there may be several or the table cannot be read.
func (bs *builds) sole(ctx context.Context, service string) (string, bool) {
	if _, ok := bs.table.Sole(service, bs.era()); !ok {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, maxConfirmTime)
	defer cancel()
	if !bs.edge.grantSyncs[0].awaitRead(ctx) {
		return "", false
	}
	return bs.table.Sole(service, bs.era())
}

// ready reports whether streams may begin at some endpoint of each service that has any.
func (bs *builds) ready() bool {
	for service, present := range bs.edge.roster.Builds() {
		active := bs.table.Active(service)
		if len(present.Usable) > 0 && !slices.ContainsFunc(present.Usable, func(name string) bool { return slices.Contains(active, name) }) {
			return false
		}
	}
	return true
}

// Usable returns those endpoints of the service's list at which streams may begin that can be resumed.
func (bs *builds) Usable(service string, list []*roster.Endpoint) []*roster.Endpoint {
	if len(list) == 0 {
		return list
	}
	version := bs.table.Version()
	bs.mu.Lock()
	defer bs.mu.Unlock()
	if us, ok := bs.usable[service]; ok && us.table == version && len(us.list) == len(list) && &us.list[0] == &list[0] {
		return us.result
	}
	us := usableEndpoints{list: list, table: version, result: roster.OfBuilds(list, bs.table.Active(service))}
	bs.usable[service] = us
	return us.result
}

// due reports whether this instance should write a row now.
func (bs *builds) due(now time.Duration) bool { return len(bs.next(now)) > 0 }

// records returns the rows that this instance should write now.
func (bs *builds) records(now time.Duration) []keyed.Record {
	var list []keyed.Record
	for service, row := range bs.next(now) {
		re, err := origin.EncodeRow(service, row)
		if err != nil {
			bs.edge.config.Logger.Error(err, "cannot encode the builds of a service", "service", service)
			continue
		}
		bs.edge.config.Logger.Info("builds", "service", service, "builds", row.Builds, "era", row.Era.Number())
		list = append(list, re)
	}
	return list
}

// next returns the rows that this instance should write now, by service. The instance in charge of a row writes it at once, others after rowFallback.
func (bs *builds) next(now time.Duration) map[string]origin.Row {
	rows := map[string]origin.Row{}
	if !bs.edge.endpointWatcher.loaded.Load() || bs.edge.Draining() {
		return rows
	}
	bs.mu.Lock()
	defer bs.mu.Unlock()
	for service, present := range bs.edge.roster.Builds() {
		row, due := bs.table.Next(now, service, origin.Presence(present), bs.era())
		since, known := bs.dueSince[service]
		switch {
		case !due:
			delete(bs.dueSince, service)
			continue
		case !known:
			since = now
			bs.dueSince[service] = now
		}
		if now-since >= rowFallback || bs.edge.mesh.Issuer(origin.RowKey(service)) == bs.edge.config.Settings.Name {
			rows[service] = row
		}
	}
	return rows
}
