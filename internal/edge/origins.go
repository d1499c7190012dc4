package edge

import (
	"context"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/origin"
)

const (
	// maxOriginsPerNotice bounds the origins in one datagram.
	maxOriginsPerNotice = 16
	// maxAsked bounds the peers that are asked for an origin that neither its holders nor the log know.
	maxAsked = 8
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
}

func newOrigins(ed *Edge) *origins {
	ors := &origins{edge: ed, book: origin.NewBook()}
	ors.builds = newBuilds(ed)
	ors.log = newOriginLog(ed, ors.learn)
	return ors
}

// Record records the build that begins a stream. Unless the service has a sole build, it sends the origin to the holders before it returns.
func (ors *origins) Record(service string, og origin.Origin) {
	sole := ors.builds.presumedSole(service)
	ors.mu.Lock()
	ors.book.RecordOwn(ors.edge.config.Clock(), service, og, !sole)
	ors.mu.Unlock()
	if !sole {
		ors.send([]origin.Origin{og})
	}
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
				notices[name] = append(notices[name], mesh.OriginNotice{Key: uint64(og.Key), Build: og.Build})
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
		learned = append(learned, origin.Origin{Key: origin.Key(nt.Key), Build: nt.Build})
	}
	ors.learn(learned)
}

// Held returns the build that began a stream, and false if it is not known here.
func (ors *origins) Held(key origin.Key) (string, bool) {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return ors.book.Find(key)
}

// Find returns the build that began a stream and where it is known from, or empty strings.
func (ors *origins) Find(ctx context.Context, service string, key origin.Key) (build, source string) {
	ctx, cancel := context.WithTimeout(ctx, maxFindTime)
	defer cancel()
	if key != 0 {
		if build, ok := ors.Held(key); ok {
			return build, ors.edge.config.Settings.Name
		}
	}
	if build, ok := ors.builds.sole(ctx, service); ok {
		return build, "builds"
	}
	if key == 0 {
		return "", ""
	}
	holders, others := ors.edge.mesh.Holders(key)
	if build, source := ors.ask(ctx, holders, key); build != "" {
		return build, source
	}
	ors.log.refresh(ctx)
	if build, ok := ors.Held(key); ok {
		return build, "log"
	}
	return ors.ask(ctx, others[:min(len(others), maxAsked)], key)
}

// originAnswer is the answer of a peer that was asked for an origin.
type originAnswer struct {
	build string
	name  string
}

// ask asks the named peers at the same time, records the first build that one of them knows, and returns it with the peer's name.
func (ors *origins) ask(ctx context.Context, names []string, key origin.Key) (build, source string) {
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
		if an := <-answers; an.build != "" {
			ors.learn([]origin.Origin{{Key: key, Build: an.build}})
			return an.build, an.name
		}
	}
	return "", ""
}

// runAsk asks one peer.
func (ors *origins) runAsk(ctx context.Context, name string, key origin.Key, answers chan<- originAnswer) {
	build, err := ors.edge.mesh.AskOrigin(ctx, name, key)
	if err != nil && ctx.Err() == nil {
		ors.edge.config.Logger.Info("no answer on the origin of a stream", "peer", name, "reason", err.Error())
	}
	answers <- originAnswer{build: build, name: name}
}

var (
	_ gate.Origins      = (*origins)(nil)
	_ mesh.OriginHolder = (*origins)(nil)
)
