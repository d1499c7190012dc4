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
	// maxNoticeBytes bounds a datagram of another instance.
	maxNoticeBytes = 512
	// noticeQueue is how many notices may wait to be sent; further ones are dropped, since they only guide placement.
	noticeQueue = 256
	// maxNotified bounds how many instances one notice goes to; in a larger fleet it goes to as many by lot.
	maxNotified = 64
	// receiveRetry is the pause after a datagram could not be received.
	receiveRetry = 50 * time.Millisecond
)

// Notice tells the other instances about a long prompt that was sent to an endpoint.
type Notice struct {
	Endpoint string `cbor:"1,keyasint"`
	// UncachedTokens is the number of prompt tokens that the endpoint has to read.
	UncachedTokens int64 `cbor:"2,keyasint"`
	// PrefixID is the deepest part of the prompt that other requests share, or zero.
	PrefixID uint64 `cbor:"3,keyasint,omitempty"`
}

// Notifier sends and receives notices as datagrams; what is lost is not sent again.
type Notifier struct {
	mesh    *Mesh
	socket  net.PacketConn
	queue   chan Notice
	receive func(Notice)
}

// NewNotifier returns notices on a socket; receive is called for each notice of another instance.
func (me *Mesh) NewNotifier(socket net.PacketConn, receive func(Notice)) *Notifier {
	return &Notifier{mesh: me, socket: socket, queue: make(chan Notice, noticeQueue), receive: receive}
}

// Send queues a notice and never blocks; it reports false where the queue is full.
func (no *Notifier) Send(nt Notice) bool {
	select {
	case no.queue <- nt:
		return true
	default:
		return false
	}
}

// RunSend sends queued notices until the context ends.
func (no *Notifier) RunSend(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case nt := <-no.queue:
			list := no.mesh.noticeAddrs()
			told := sample(list, maxNotified)
			data, err := record.Marshal(nt.scaled(len(told), len(list)))
			if err != nil {
				return eris.Wrap(err, "encode a notice")
			}
			for _, at := range told {
				// A peer that cannot be reached misses the notice, and places by what it knows otherwise.
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

// scaled returns the notice for a part of all instances: each of them hears of fewer prompts, so each counts for more.
func (nt Notice) scaled(told, all int) Notice {
	if told > 0 && told < all {
		nt.UncachedTokens = nt.UncachedTokens * int64(all) / int64(told)
	}
	return nt
}

// sample returns at most the given number of addresses by lot; it reorders the list.
func sample(list []net.Addr, most int) []net.Addr {
	if len(list) <= most {
		return list
	}
	for ix := range most {
		other := ix + rand.IntN(len(list)-ix)
		list[ix], list[other] = list[other], list[ix]
	}
	return list[:most]
}

// noticeAddrs returns where the other instances receive notices.
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
