package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/origin"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// maxOriginsPerNotice bounds the origins in one datagram.
	maxOriginsPerNotice = 16
	// maxAsked bounds the peers that are asked for an origin that neither its holders nor the log know.
	maxAsked = 8
	// streamSpan is the time for which streams may go on that began before their route went to another service. Their origins are kept as long.
	streamSpan = 2 * origin.Lifetime
	// maxFindTime bounds the time in which the origin of a stream is looked for.
	maxFindTime = time.Second
)

// origins knows which builds began streams. While a service has a sole build, its row in the table of builds says so, and the origin of a stream is kept by
// the instance that began it alone. Otherwise, two other instances hold the origin as well, and it is written to the log of origins in the store.
type origins struct {
	edge   *Edge
	builds *builds
	log    *originLog
	mu     sync.Mutex
	book   *origin.Book
	// movedAt are the times at which routes went to other services, and leftAt those at which routes left a service; both are kept for streamSpan.
	movedAt map[plan.RouteID]time.Duration
	leftAt  map[string]time.Duration
}

func newOrigins(ed *Edge) *origins {
	ors := &origins{edge: ed, book: origin.NewBook(), movedAt: map[plan.RouteID]time.Duration{}, leftAt: map[string]time.Duration{}}
	ors.builds = newBuilds(ed)
	ors.log = newOriginLog(ed, ors.learn)
	return ors
}

// Record records the origin of a stream. Unless the route has one service, and this one a sole build, it sends the origin to the holders before it returns.
// The route may be that of an earlier version of the configuration.
func (ors *origins) Record(ro *plan.Route, og origin.Origin) {
	sole := len(ro.Services()) == 1 && ors.builds.presumedSole(og.Service)
	ors.mu.Lock()
	if at, left := ors.leftAt[og.Service]; left && ors.edge.config.Clock()-at < streamSpan {
		sole = false
	}
	ors.book.RecordOwn(ors.edge.config.Clock(), og, !sole)
	ors.mu.Unlock()
	if !sole {
		ors.send([]origin.Origin{og})
	}
}

// applyMoves is called when routes go to other services: their streams may have begun at the former ones, whose origins are shared from now on.
func (ors *origins) applyMoves(list []plan.Move) {
	now := ors.edge.config.Clock()
	former := map[string]bool{}
	ors.mu.Lock()
	maps.DeleteFunc(ors.movedAt, func(_ plan.RouteID, at time.Duration) bool { return now-at >= streamSpan })
	maps.DeleteFunc(ors.leftAt, func(_ string, at time.Duration) bool { return now-at >= streamSpan })
	for _, mo := range list {
		ors.movedAt[mo.Route] = now
		for _, name := range mo.Before {
			former[name], ors.leftAt[name] = true, now
		}
	}
	ors.mu.Unlock()
	if len(list) > 0 {
		ors.share(func(service string) bool { return former[service] })
	}
}

// soleService returns the service of the route if all its streams began there.
func (ors *origins) soleService(ro *plan.Route) (string, bool) {
	names := ro.Services()
	if len(names) != 1 {
		return "", false
	}
	ors.mu.Lock()
	defer ors.mu.Unlock()
	at, moved := ors.movedAt[ro.ID()]
	return names[0], !moved || ors.edge.config.Clock()-at >= streamSpan
}

// shareMixed sends the origins of own streams that were not sent yet, of those services that have no sole build any more.
func (ors *origins) shareMixed() {
	mixed := map[string]bool{}
	ors.share(func(service string) bool {
		if _, known := mixed[service]; !known {
			mixed[service] = !ors.builds.presumedSole(service)
		}
		return mixed[service]
	})
}

// shareAll sends all origins that were not sent yet, since this instance stops.
func (ors *origins) shareAll() { ors.share(func(string) bool { return true }) }

func (ors *origins) share(selected func(service string) bool) {
	ors.mu.Lock()
	list := ors.book.TakeUnshared(selected)
	ors.mu.Unlock()
	if len(list) > 0 {
		ors.edge.config.Logger.Info("origins of streams shared", "streams", len(list))
		ors.send(list)
	}
}

// send sends origins to their holders and to the log.
func (ors *origins) send(list []origin.Origin) {
	ors.log.add(list)
	notices := map[string][]mesh.OriginNotice{}
	for _, og := range list {
		holders, _ := ors.edge.mesh.Holders(og.Key)
		for _, name := range holders {
			if name != ors.edge.config.Settings.Name {
				notices[name] = append(notices[name], mesh.OriginNotice{Key: uint64(og.Key), Build: og.Label()})
			}
		}
	}
	for name, all := range notices {
		for len(all) > 0 {
			count := min(len(all), maxOriginsPerNotice)
			if err := ors.edge.notifier.SendTo([]string{name}, mesh.Notice{Origins: all[:count]}); err != nil {
				ors.edge.config.Logger.Error(err, "cannot send the origins of streams", "holder", name)
			}
			all = all[count:]
		}
	}
	ors.edge.metrics.Counter("weir_stream_origins_shared_total").Add(len(list))
}

// learn records the origins of streams that other instances began.
func (ors *origins) learn(list []origin.Origin) {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	for _, og := range list {
		ors.book.Record(ors.edge.config.Clock(), og)
	}
}

// applyNotice records the origins in a notice of a peer.
func (ors *origins) applyNotice(list []mesh.OriginNotice) {
	learned := make([]origin.Origin, 0, len(list))
	for _, nt := range list {
		learned = append(learned, origin.OfLabel(origin.Key(nt.Key), nt.Build))
	}
	ors.learn(learned)
}

// Held returns the origin of a stream, and false if it is not known here.
func (ors *origins) Held(key origin.Key) (origin.Origin, bool) {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return ors.book.Find(key)
}

// Find returns the origin of a stream and where it is known from, which is empty if it is not known.
func (ors *origins) Find(ctx context.Context, ro *plan.Route, key origin.Key) (og origin.Origin, source string) {
	ctx, cancel := context.WithTimeout(ctx, maxFindTime)
	defer cancel()
	service, sole := ors.soleService(ro)
	og, source = ors.find(ctx, service, sole, key)
	switch {
	case source == "" || og.Service != "":
		return og, source
	case sole:
		// An older build of the instances does not name the service.
		og.Service = service
		return og, source
	default:
		return origin.Origin{}, ""
	}
}

// find is Find with the service of the route, and whether all its streams began there.
func (ors *origins) find(ctx context.Context, service string, sole bool, key origin.Key) (og origin.Origin, source string) {
	if key != 0 {
		if og, ok := ors.Held(key); ok {
			return og, ors.edge.config.Settings.Name
		}
	}
	if sole {
		if build, ok := ors.builds.sole(ctx, service); ok {
			return origin.Origin{Key: key, Service: service, Build: build}, "builds"
		}
	}
	if key == 0 {
		return origin.Origin{}, ""
	}
	holders, others := ors.edge.mesh.Holders(key)
	if og, source := ors.ask(ctx, holders, key); source != "" {
		return og, source
	}
	ors.log.refresh(ctx)
	if og, ok := ors.Held(key); ok {
		return og, "log"
	}
	return ors.ask(ctx, others[:min(len(others), maxAsked)], key)
}

// originAnswer is the answer of a peer that was asked for an origin.
type originAnswer struct {
	label string
	name  string
}

// ask asks the named peers at the same time, records the first origin that one of them knows, and returns it with the peer's name.
func (ors *origins) ask(ctx context.Context, names []string, key origin.Key) (og origin.Origin, source string) {
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan originAnswer, len(names))
	asked := 0
	for _, name := range names {
		if name == ors.edge.config.Settings.Name {
			continue
		}
		asked++
		go ors.runAsk(actx, name, key, answers)
	}
	for range asked {
		if an := <-answers; an.label != "" {
			og := origin.OfLabel(key, an.label)
			ors.learn([]origin.Origin{og})
			return og, an.name
		}
	}
	return origin.Origin{}, ""
}

// runAsk asks one peer.
func (ors *origins) runAsk(ctx context.Context, name string, key origin.Key, answers chan<- originAnswer) {
	label, err := ors.edge.mesh.AskOrigin(ctx, name, key)
	if err != nil && ctx.Err() == nil {
		ors.edge.config.Logger.Info("no answer on the origin of a stream", "peer", name, "reason", err.Error())
	}
	answers <- originAnswer{label: label, name: name}
}

var (
	_ gate.Origins      = (*origins)(nil)
	_ mesh.OriginHolder = (*origins)(nil)
)
