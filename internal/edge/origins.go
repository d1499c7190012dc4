package edge

import (
	"context"
	"sync"

	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/origin"
)

const (
	// maxOriginsPerNotice bounds the origins in one datagram.
	maxOriginsPerNotice = 16
	// maxAsked bounds the peers that are asked for an origin that its holders do not know.
	maxAsked = 8
)

// origins shares with the other instances which builds began streams. An origin is held by the instance that began the stream and, unless
// the service has a sole build, by two others.
type origins struct {
	edge *Edge
	mu   sync.Mutex
	book *origin.Book
}

func newOrigins(ed *Edge) *origins { return &origins{edge: ed, book: origin.NewBook()} }

// Record records the build that begins a stream, and sends it to the holders before it returns unless the service has a sole build.
func (ors *origins) Record(service string, og origin.Origin) {
	_, sole := ors.SoleBuild(service)
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
			_, sole := ors.SoleBuild(service)
			mixed[service] = !sole
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

// send sends origins to their holders.
func (ors *origins) send(list []origin.Origin) {
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

// applyNotice records the origins of streams that other instances began.
func (ors *origins) applyNotice(list []mesh.OriginNotice) {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	for _, nt := range list {
		ors.book.Record(ors.edge.config.Clock(), origin.Origin{Key: origin.Key(nt.Key), Build: nt.Build})
	}
}

// Held returns the build that began a stream, and false if it is not known here.
func (ors *origins) Held(key origin.Key) (string, bool) {
	ors.mu.Lock()
	defer ors.mu.Unlock()
	return ors.book.Find(key)
}

// Find returns the build that began a stream and where it is known from. It asks the holders, and then other peers.
func (ors *origins) Find(ctx context.Context, key origin.Key) (build, source string) {
	if build, ok := ors.Held(key); ok {
		return build, ors.edge.config.Settings.Name
	}
	holders, others := ors.edge.mesh.Holders(key)
	for _, names := range [][]string{holders, others[:min(len(others), maxAsked)]} {
		if build, source := ors.ask(ctx, names, key); build != "" {
			ors.mu.Lock()
			ors.book.Record(ors.edge.config.Clock(), origin.Origin{Key: key, Build: build})
			ors.mu.Unlock()
			return build, source
		}
	}
	return "", ""
}

// originAnswer is the answer of a peer that was asked for an origin.
type originAnswer struct {
	build string
	name  string
}

// ask asks the named peers at the same time and returns the first build that one of them knows, and the peer's name.
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

// SoleBuild returns the build of all endpoints of the service if there was no other one within the lifetime of a stream.
func (ors *origins) SoleBuild(service string) (string, bool) {
	return ors.edge.roster.SoleBuild(service, ors.edge.config.Clock(), ors.edge.config.Stamp().Wall, origin.Lifetime)
}

var (
	_ gate.Origins      = (*origins)(nil)
	_ mesh.OriginHolder = (*origins)(nil)
)
