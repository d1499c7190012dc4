package origin

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// pendingTime is the time for which a build is listed before streams may begin there. In it, all instances read the row and log the origins of
	// the streams that they began while there was a sole build.
	pendingTime = 2 * time.Second
	// rowPrefix is the prefix of the keys of rows.
	rowPrefix = "builds/"
	// maxBuilds bounds the builds of a row.
	maxBuilds = 64
)

// Row is the record in the store of the builds of one service's endpoints that may have begun streams. An instance begins streams only at builds that the
// row lists as active, so a row with one active build tells at which one every stream began that was resumed before the row was read.
type Row struct {
	// Builds are the builds in the order in which they were added.
	Builds []Build `cbor:"1,keyasint"`
	// Era is the era of the store in which the row was written. In another era, a newer row may be lost.
	Era keyed.Era `cbor:"2,keyasint,omitempty"`
}

// Build is one build of a service's endpoints.
type Build struct {
	// Name identifies the software; see roster.Endpoint.Build.
	Name string `cbor:"1,keyasint"`
	// Active reports whether streams may begin at the build.
	Active bool `cbor:"2,keyasint,omitempty"`
	// Gone reports whether no endpoint of the build was registered any more. It is removed from the row after Lifetime.
	Gone bool `cbor:"3,keyasint,omitempty"`
}

// unknownBuild stands for builds that may have begun streams before the first row was written.
var unknownBuild = Build{Name: "unknown", Active: true, Gone: true}

// Presence lists the builds of the endpoints of one service that are registered.
type Presence struct {
	// Registered are the builds of all endpoints, also of those that are leaving.
	Registered []string
	// Usable are the builds of the endpoints that accept new requests.
	Usable []string
}

// Table holds the rows of all services as they were last read; it is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*tableRow
	// version counts the changes of the table.
	version int64
	// firstStart reports whether no stream can have begun without a row.
	firstStart bool
}

// tableRow is a row with what this instance knows beyond it.
type tableRow struct {
	row Row
	// since holds the time from which on this instance has known each build in its present state.
	since map[string]time.Duration
	// lost reports whether the store may have lost a newer row than the one that it now has, which this instance must therefore write again.
	lost bool
}

// NewTable returns a table without rows. firstStart reports whether the whole fleet starts for the first time, so that no stream has begun without a row.
func NewTable(firstStart bool) *Table {
	return &Table{rows: map[string]*tableRow{}, firstStart: firstStart}
}

// RowKey returns the key of a service's row.
func RowKey(service string) string { return rowPrefix + service }

// Version returns a number that changes with the table.
func (ta *Table) Version() int64 {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.version
}

// Active returns the builds of a service at which streams may begin, in the order in which they were added.
func (ta *Table) Active(service string) []string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.active(service)
}

func (ta *Table) active(service string) []string {
	tr, ok := ta.rows[service]
	if !ok {
		return nil
	}
	return activeOf(tr.row)
}

func activeOf(row Row) []string {
	var names []string
	for _, bu := range row.Builds {
		if bu.Active {
			names = append(names, bu.Name)
		}
	}
	return names
}

// Sole returns the only build of a service that may have begun streams, and false if there may be several. era is the era of the store in which the table
// was last read.
func (ta *Table) Sole(service string, era keyed.Era) (string, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	names := ta.active(service)
	if len(names) != 1 || ta.rows[service].lost || era.Differs(ta.rows[service].row.Era) {
		return "", false
	}
	return names[0], true
}

// Reset replaces the table by the rows of a snapshot. If the store has come back from an older copy, builds that only this instance knows stay in the
// rows, which are then due to be written again.
func (ta *Table) Reset(now time.Duration, sn keyed.Snapshot) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	before := ta.rows
	ta.rows = map[string]*tableRow{}
	ta.apply(now, sn.Records, before)
	if !sn.Restored {
		return
	}
	for service, tr := range before {
		ta.restore(now, service, tr)
	}
}

// restore adds what this instance knew of a service before the store came back from an older copy.
func (ta *Table) restore(now time.Duration, service string, old *tableRow) {
	tr, ok := ta.rows[service]
	if !ok {
		tr = &tableRow{since: map[string]time.Duration{}}
		ta.rows[service] = tr
	}
	tr.lost = true
	for _, bu := range old.row.Builds {
		ix := slices.IndexFunc(tr.row.Builds, func(other Build) bool { return other.Name == bu.Name })
		switch {
		case ix < 0:
			tr.row.Builds = append(tr.row.Builds, bu)
			tr.since[bu.Name] = now
		case bu.Active:
			tr.row.Builds[ix].Active = true
		}
	}
	ta.version++
}

// Apply applies new records of the topic; those that are not rows are ignored.
func (ta *Table) Apply(now time.Duration, list []keyed.Record) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.apply(now, list, ta.rows)
}

func (ta *Table) apply(now time.Duration, list []keyed.Record, before map[string]*tableRow) {
	for _, re := range list {
		service, ok := strings.CutPrefix(re.Key, rowPrefix)
		if !ok {
			continue
		}
		ta.version++
		tr := &tableRow{since: map[string]time.Duration{}}
		old, known := before[service]
		if len(re.Value) == 0 || record.Unmarshal(re.Value, &tr.row) != nil || len(tr.row.Builds) > maxBuilds {
			tr.row, tr.lost = Row{Builds: []Build{unknownBuild}}, true
			if known {
				tr.row = old.row
			}
		}
		for _, bu := range tr.row.Builds {
			tr.since[bu.Name] = now
			if known && slices.Contains(old.row.Builds, bu) {
				tr.since[bu.Name] = old.since[bu.Name]
			}
		}
		ta.rows[service] = tr
	}
}

// Next returns the row that should replace the one of the service, and false if that is up to date. era is the era of the store.
func (ta *Table) Next(now time.Duration, service string, pr Presence, era keyed.Era) (Row, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	tr, ok := ta.rows[service]
	if !ok {
		return ta.firstRow(pr, era), len(pr.Registered) > 0
	}
	row, changed := tr.advance(now, pr)
	changed = changed || (era.Differs(row.Era) && tr.settled(now))
	if era != 0 {
		row.Era = era
	}
	return row, changed
}

// firstRow returns the first row of a service. No instance that reads rows has begun a stream yet, so all builds are active at once.
func (ta *Table) firstRow(pr Presence, era keyed.Era) Row {
	row := Row{Era: era}
	if !ta.firstStart {
		row.Builds = append(row.Builds, unknownBuild)
	}
	for _, name := range pr.Registered {
		row.Builds = append(row.Builds, Build{Name: name, Active: true})
	}
	return row
}

// settled reports whether this instance has known the row for so long that no stream is left that began before.
func (tr *tableRow) settled(now time.Duration) bool {
	for _, at := range tr.since {
		if now-at < Lifetime {
			return false
		}
	}
	return true
}

// advance returns the row with the changes that are due, and whether there are any.
func (tr *tableRow) advance(now time.Duration, pr Presence) (Row, bool) {
	row := Row{Era: tr.row.Era, Builds: make([]Build, 0, len(tr.row.Builds)+1)}
	stranded := !slices.ContainsFunc(tr.row.Builds, func(bu Build) bool { return bu.Active && slices.Contains(pr.Usable, bu.Name) })
	for _, bu := range tr.row.Builds {
		here := slices.Contains(pr.Registered, bu.Name)
		old := now - tr.since[bu.Name]
		switch {
		case bu.Gone && !here && old >= Lifetime:
			continue
		case here:
			bu.Gone = false
			bu.Active = bu.Active || stranded || old >= pendingTime
		case len(tr.row.Builds) > 1 && len(pr.Registered) > 0:
			bu.Gone = true
		}
		row.Builds = append(row.Builds, bu)
	}
	for _, name := range pr.Registered {
		if !slices.ContainsFunc(row.Builds, func(bu Build) bool { return bu.Name == name }) && len(row.Builds) < maxBuilds {
			row.Builds = append(row.Builds, Build{Name: name, Active: stranded})
		}
	}
	return row, tr.lost || !slices.Equal(row.Builds, tr.row.Builds)
}

// EncodeRow returns the record of a service's row.
func EncodeRow(service string, row Row) (keyed.Record, error) {
	data, err := record.Marshal(row)
	return keyed.Record{Key: RowKey(service), Value: data}, err
}

// Services returns the services that have a row.
func (ta *Table) Services() []string {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return slices.Sorted(maps.Keys(ta.rows))
}
