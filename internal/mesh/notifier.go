package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/record"
)

const (
	// maxNoticeBytes bounds a received datagram. It fits the notice of a crash of a request with 64 parts.
	maxNoticeBytes = 2048
	// noticeQueue bounds the notices that wait to be sent; further ones are dropped, since they only improve the choice of endpoints.
	noticeQueue = 256
	// maxNotified bounds the instances that get one notice; in a larger fleet they are chosen at random.
	maxNotified = 64
	// receiveRetry is the pause after an error in receiving a datagram.
	receiveRetry = 50 * time.Millisecond
)

// Notice is the message by which an instance notifies others of a long prompt that it sent to an endpoint.
type Notice struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string `cbor:"1,keyasint"`
	// UncachedTokens is the number of prompt tokens that the endpoint must prefill.
	UncachedTokens int64 `cbor:"2,keyasint"`
	// PrefixID identifies the longest prefix of the prompt that other requests share, or is zero.
	PrefixID uint64 `cbor:"3,keyasint,omitempty"`
	// Crash is set instead of the other fields if the notice is of a crash; builds that do not know it discard the notice.
	Crash *CrashNotice `cbor:"4,keyasint,omitempty"`
	// RateLimit is set instead of the other fields if the notice is of a rate limit; builds that do not know it discard the notice.
	RateLimit *RateLimitNotice `cbor:"5,keyasint,omitempty"`
	// Origins is set instead of the other fields if the notice is of streams that began; builds that do not know it discard the notice.
	Origins []OriginNotice `cbor:"6,keyasint,omitempty"`
	// Configuration is set instead of the other fields if the notice is of a configuration that the store has lost; builds that do not know it
	// discard the notice.
	Configuration *ConfigurationNotice `cbor:"7,keyasint,omitempty"`
	// Rejected is set instead of the other fields, to the name of a process of a brittle endpoint that has rejected a request; builds that do not know
	// it discard the notice.
	Rejected string `cbor:"8,keyasint,omitempty"`
	// Leaving is set instead of the other fields, to the name of a process of an endpoint that has said that it leaves; builds that do not know it
	// discard the notice.
	Leaving string `cbor:"9,keyasint,omitempty"`
	// Returns is set instead of the other fields if the notice is of refused callers that will come back; builds that do not know it discard the notice.
	Returns []ReturnNotice `cbor:"10,keyasint,omitempty"`
}

// ReturnNotice tells the others that an instance has refused a request, and when its caller comes back with it.
type ReturnNotice struct {
	// Content identifies the request.
	Content uint64 `cbor:"1,keyasint"`
	// DelayMs is the time until then in milliseconds, from the time when the notice is sent.
	DelayMs int64 `cbor:"2,keyasint"`
}

// ConfigurationNotice tells the others that an instance has a higher version of the configuration than the store.
type ConfigurationNotice struct {
	// Instance is the name of the instance.
	Instance string `cbor:"1,keyasint"`
	// Version is the version of the configuration.
	Version int64 `cbor:"2,keyasint"`
}

// OriginNotice tells an instance which build of an endpoint's software began a stream.
type OriginNotice struct {
	// Key identifies the stream (see origin.Key).
	Key uint64 `cbor:"1,keyasint"`
	// Build identifies the software.
	Build string `cbor:"2,keyasint"`
}

// RateLimitNotice is the message by which an instance notifies others of what a response said about the rate limit of an endpoint.
type RateLimitNotice struct {
	// Process is the name of the process of the endpoint.
	Process string `cbor:"1,keyasint"`
	// Limited reports whether the response named a limit.
	Limited bool `cbor:"2,keyasint,omitempty"`
	// PerSecond is the limit in requests a second.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// CrashNotice is the message by which an instance notifies others that a process of an endpoint crashed when it began to answer a request.
type CrashNotice struct {
	// Process identifies the process of the endpoint.
	Process string `cbor:"1,keyasint"`
	// Content is the hash of the whole request.
	Content uint64 `cbor:"2,keyasint"`
	// Traits are the properties of the request that may be the cause.
	Traits []CrashTrait `cbor:"3,keyasint"`
}

// CrashTrait is one property of a request that crashed a process.
type CrashTrait struct {
	// Hash identifies the part of the request, or the whole request.
	Hash uint64 `cbor:"1,keyasint"`
	// Repeated reports whether the request was sent when an earlier crash with the trait was known.
	Repeated bool `cbor:"2,keyasint,omitempty"`
}

// Notifier sends and receives notices as datagrams; lost notices are not resent.
type Notifier struct {
	mesh    *Mesh
	socket  net.PacketConn
	queue   chan Notice
	receive func(Notice)
}

// NewNotifier returns a notifier on a socket; receive is called for each notice of another instance.
func (me *Mesh) NewNotifier(socket net.PacketConn, receive func(Notice)) *Notifier {
	return &Notifier{mesh: me, socket: socket, queue: make(chan Notice, noticeQueue), receive: receive}
}

// Send queues a notice and never blocks; it reports false if the queue is full and the notice dropped.
func (no *Notifier) Send(nt Notice) bool {
	select {
	case no.queue <- nt:
		return true
	default:
		return false
	}
}

// SendTo sends a notice to the named peers before it returns. A notice to an unknown or unreachable peer is lost.
func (no *Notifier) SendTo(names []string, nt Notice) error {
	data, err := record.Marshal(nt)
	if err != nil {
		return eris.Wrap(err, "encode a notice")
	}
	for _, name := range names {
		if at := no.mesh.noticeAddr(name); at != nil {
			_, _ = no.socket.WriteTo(data, at)
		}
	}
	return nil
}

// RunSend sends queued notices until the context ends.
func (no *Notifier) RunSend(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case nt := <-no.queue:
			list := no.mesh.noticeAddrs()
			chosen := sample(list, maxNotified)
			data, err := record.Marshal(nt.scaled(len(chosen), len(list)))
			if err != nil {
				return eris.Wrap(err, "encode a notice")
			}
			for _, at := range chosen {
				// An unreachable peer misses the notice, and chooses endpoints without it.
				_, _ = no.socket.WriteTo(data, at)
			}
		}
	}
}

// RunReceive receives notices until the context ends.
func (no *Notifier) RunReceive(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = no.socket.Close() })()
	buffer := make([]byte, maxNoticeBytes)
	for {
		count, _, err := no.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(receiveRetry)
			continue
		}
		var nt Notice
		if err := record.Unmarshal(buffer[:count], &nt); err == nil {
			no.receive(nt)
		}
	}
}

// scaled returns the notice to send if only a sample of the peers gets it. chosen is the size of the sample; all is the number of peers.
// Each peer then gets only chosen/all of the notices on average. To make up for it, UncachedTokens is multiplied by all/chosen.
func (nt Notice) scaled(chosen, all int) Notice {
	if chosen > 0 && chosen < all {
		nt.UncachedTokens = nt.UncachedTokens * int64(all) / int64(chosen)
	}
	return nt
}

// sample returns at most the given number of addresses, chosen at random; it reorders the list.
func sample(list []net.Addr, count int) []net.Addr {
	if len(list) <= count {
		return list
	}
	for ix := range count {
		other := ix + rand.IntN(len(list)-ix)
		list[ix], list[other] = list[other], list[ix]
	}
	return list[:count]
}

// noticeAddr returns the address at which a peer receives notices, or nil.
func (me *Mesh) noticeAddr(name string) net.Addr {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe, ok := me.peers[name]
	if !ok {
		return nil
	}
	return pe.noticeAddr
}

// noticeAddrs returns the addresses at which the peers receive notices.
func (me *Mesh) noticeAddrs() []net.Addr {
	me.mu.Lock()
	defer me.mu.Unlock()
	list := make([]net.Addr, 0, len(me.peers))
	for _, pe := range me.peers {
		if pe.noticeAddr != nil {
			list = append(list, pe.noticeAddr)
		}
	}
	return list
}
