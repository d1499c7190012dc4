package conns

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// dialTimeout bounds the dialing of a connection. It covers several round trips within a region, and is well below the time of the first SYN
	// retransmission.
	dialTimeout = 300 * time.Millisecond
	// defaultKeepAlive is the idle timeout of a connection if the endpoint does not send a keep-alive timeout.
	defaultKeepAlive = 3 * time.Second
	// idleMargin is subtracted from the endpoint's keep-alive timeout, to close an idle connection before the endpoint does.
	idleMargin = 500 * time.Millisecond
	// unreachableRetryAfter is the Retry-After delay if no connection could be opened; a cut link is probed about as often.
	unreachableRetryAfter = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 24
)

// ErrRelayLost means that a relayed connection ended without a word about that of the endpoint: the peer that relayed it has ended or was cut off.
var ErrRelayLost = eris.New("the peer that relayed the connection was lost")

// Dialer opens connections to endpoints, and gets to know what happens on them.
type Dialer interface {
	// Dial opens a connection to an endpoint. The peer is the name of the instance that relays it, or empty if it is a direct one.
	Dial(ctx context.Context, endpoint, address string) (nc net.Conn, peer string, err error)
	// Silent reports whether direct connections that are open bring no data, so that none of them should be used.
	Silent() bool
	// Sent records that a request was sent on a direct connection. The returned function is called at the end of the exchange at the latest.
	Sent(endpoint string) (done func())
	// Received records that data arrived on a direct connection.
	Received(endpoint string)
}

// DirectDialer opens direct connections only.
type DirectDialer struct{}

// Dial opens a direct connection.
func (DirectDialer) Dial(ctx context.Context, _, address string) (net.Conn, string, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	return nc, "", err
}

// Silent returns false.
func (DirectDialer) Silent() bool { return false }

// Sent records nothing.
func (DirectDialer) Sent(string) (done func()) { return func() {} }

// Received records nothing.
func (DirectDialer) Received(string) {}

// Pool keeps idle connections by address; it is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dialer Dialer
	onOpen func()
}

// NewPool returns an empty pool; onOpen is called for each new connection.
func NewPool(dialer Dialer, onOpen func()) *Pool {
	return &Pool{idle: map[string][]*conn{}, dialer: dialer, onOpen: onOpen}
}

// get returns an open idle connection, or a new one if there is none or the request wants one.
func (po *Pool) get(ctx context.Context, address string, rq Request) (*conn, error) {
	for !rq.NewConn && !po.dialer.Silent() {
		co := po.take(address, rq.ID)
		if co == nil {
			break
		}
		if time.Now().Before(co.expires) && co.idleAlive() {
			return co, nil
		}
		co.close()
	}
	nc, peer, err := po.dialer.Dial(ctx, rq.Endpoint, address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, fault.NotRun, "cannot connect to the endpoint at "+address).
			WithRetryAfter(unreachableRetryAfter)
	}
	po.onOpen()
	return newConn(nc, address, peer), nil
}

// minBroken is the number of other endpoints whose idle connections must have ended before all ends count as one event.
const minBroken = 2

// BrokenTogether reports whether the idle connections to all other endpoints have ended, too. A connection that has just ended then says something
// about the link of this instance, and nothing about its endpoint.
func (po *Pool) BrokenTogether(address string) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	broken := 0
	for other, list := range po.idle {
		if other == address || len(list) == 0 {
			continue
		}
		if slices.ContainsFunc(list, (*conn).idleAlive) {
			return false
		}
		broken++
	}
	return broken >= minBroken
}

// take returns the most recently used idle connection on which the request was not refused, or nil.
func (po *Pool) take(address, id string) *conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	list := po.idle[address]
	for ix := len(list) - 1; ix >= 0; ix-- {
		if co := list[ix]; !slices.Contains(co.refused, id) {
			po.idle[address] = slices.Delete(list, ix, ix+1)
			return co
		}
	}
	return nil
}

// put adds an idle connection to the pool.
func (po *Pool) put(co *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	list := po.idle[co.address]
	if len(list) >= maxIdle {
		co.close()
		return
	}
	po.idle[co.address] = append(list, co)
}

// Sweep closes expired idle connections.
func (po *Pool) Sweep() {
	now := time.Now()
	po.mu.Lock()
	defer po.mu.Unlock()
	for address, list := range po.idle {
		kept := list[:0]
		for _, co := range list {
			if now.Before(co.expires) {
				kept = append(kept, co)
				continue
			}
			co.close()
		}
		po.idle[address] = kept
		if len(kept) == 0 {
			delete(po.idle, address)
		}
	}
}

// Forget closes the idle connections to an address.
func (po *Pool) Forget(address string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, co := range po.idle[address] {
		co.close()
	}
	delete(po.idle, address)
}
