package conns

import (
	"context"
	"net"
	"sync"
	"time"

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
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 24
)

// Pool keeps idle connections by address; it is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dialer net.Dialer
	onOpen func()
}

// NewPool returns an empty pool; onOpen is called for each new connection.
func NewPool(onOpen func()) *Pool {
	return &Pool{idle: map[string][]*conn{}, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, onOpen: onOpen}
}

// get returns an open idle connection, or a new one if there is none or newConnection is set.
func (po *Pool) get(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
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
		return nil, fault.Wrap(err, fault.Unavailable, fault.NotRun, "cannot connect to the endpoint at "+address)
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
