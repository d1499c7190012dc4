package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is the time for which an origin is kept at least, longer than a stream and its resumptions last.
	Lifetime = 30 * time.Second
	// maxOrigins bounds the origins of one generation of a book.
	maxOrigins = 1 << 16
)

// Key identifies a stream by the team and the ID of the request that began it.
type Key uint64

// KeyOf returns the key of the stream that the team's request with the given ID began.
func KeyOf(team, id string) Key { return Key(xxhash.Sum64String(team + "\x00" + id)) }

// Origin is the beginning of one stream.
type Origin struct {
	// Key identifies the stream.
	Key Key
	// Service is the service whose endpoint began it, empty if that is not known.
	Service string
	// Build identifies the software of the endpoint that began it.
	Build string
}

// entry is the origin of one stream in a book.
type entry struct {
	origin Origin
	// unshared is set for an own stream that was not shared with the holders yet.
	unshared bool
}

// Book holds the origins of streams, those of this instance and those that it holds for others. Origins are dropped after Lifetime to twice that.
type Book struct {
	current   map[Key]entry
	previous  map[Key]entry
	rotatedAt time.Duration
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{current: map[Key]entry{}} }

// RecordOwn records a stream of this instance. It must be shared (see TakeUnshared) unless shared is set.
func (bo *Book) RecordOwn(now time.Duration, og Origin, shared bool) {
	bo.record(now, entry{origin: og, unshared: !shared})
}

// Record records the stream of another instance.
func (bo *Book) Record(now time.Duration, og Origin) { bo.record(now, entry{origin: og}) }

func (bo *Book) record(now time.Duration, en entry) {
	if now-bo.rotatedAt >= Lifetime || len(bo.current) >= maxOrigins {
		bo.previous, bo.current, bo.rotatedAt = bo.current, map[Key]entry{}, now
	}
	bo.current[en.origin.Key] = en
}

// Find returns the origin of the stream, if it is known.
func (bo *Book) Find(key Key) (Origin, bool) {
	en, ok := bo.current[key]
	if !ok {
		en, ok = bo.previous[key]
	}
	return en.origin, ok
}

// TakeUnshared returns the own streams, of those services for which the function returns true, that were not shared yet. They then count as shared.
func (bo *Book) TakeUnshared(share func(service string) bool) []Origin {
	var list []Origin
	for _, generation := range []map[Key]entry{bo.current, bo.previous} {
		for key, en := range generation {
			if !en.unshared || !share(en.origin.Service) {
				continue
			}
			list = append(list, en.origin)
			generation[key] = entry{origin: en.origin}
		}
	}
	return list
}
