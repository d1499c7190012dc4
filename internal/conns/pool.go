package conns

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
)

const (
	// dialTimeout bounds a new connection: several round trips within a region, and well below one retransmission of the first packet.
	dialTimeout = 300 * time.Millisecond
	// defaultKeepAlive is how long an unused connection is kept where the endpoint does not say for how long it keeps it.
	defaultKeepAlive = 3 * time.Second
	// idleMargin is how long before the endpoint closes an idle connection it is given up.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the unused connections to one endpoint.
	maxIdle = 24
)

// Pool keeps connections by address; it is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dialer net.Dialer
	onOpen func()
}

// NewPool returns an empty pool; opened is called for each new connection.
func NewPool(opened func()) *Pool {
	return &Pool{idle: map[string][]*conn{}, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, onOpen: opened}
}

// get returns a live connection, a kept one unless fresh is asked for.
func (po *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		co := po.take(address)
		if co == nil {
			break
		}
		if time.Now().Before(co.expires) && co.idleAlive() {
			return co, nil
		}
		co.close()
	}
	nc, err := po.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, fault.NotRun, "no connection to the endpoint at "+address)
	}
	po.onOpen()
	return newConn(nc, address), nil
}

// take returns the most recently used idle connection, or nil.
func (po *Pool) take(address string) *conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	list := po.idle[address]
	if len(list) == 0 {
		return nil
	}
	co := list[len(list)-1]
	po.idle[address] = list[:len(list)-1]
	return co
}

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

// Sweep closes the idle connections that have expired.
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
