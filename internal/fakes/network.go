package fakes

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Errors of the stand-in network.
var (
	errRefused error = syscall.ECONNREFUSED
	errTimeout error = syscall.ETIMEDOUT
	errInUse   error = syscall.EADDRINUSE
)

// connectTimeout is the timeout of a connection attempt. An attempt over a cut link always times out.
const connectTimeout = 2 * time.Second

// Network is an in-memory network whose links between hosts can be cut; it is safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// delay is the one-way delay of each write.
	delay time.Duration
	// listeners holds the open listeners by address.
	listeners map[string]*memListener
	// cuts holds the directions of links that are cut.
	cuts map[hostPair]bool
	// dead holds the hosts that have crashed.
	dead  map[string]bool
	conns map[*memConn]struct{}
	// sent is the number of bytes sent in each direction of a link, including bytes that were lost.
	sent map[hostPair]int64
}

// hostPair is one direction of the link between two hosts.
type hostPair struct {
	from string
	to   string
}

// NewNetwork returns a network with the given one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay: delay, listeners: map[string]*memListener{}, cuts: map[hostPair]bool{},
		dead: map[string]bool{}, conns: map[*memConn]struct{}{}, sent: map[hostPair]int64{},
	}
}

// Host is one machine on the network.
type Host struct {
	network *Network
	name    string
}

// Host returns the machine with the given name; machines need not be created first.
func (ne *Network) Host(name string) *Host { return &Host{network: ne, name: name} }

// Cut cuts the link between two hosts. New connections time out. Data sent on an open connection while the link is cut is lost without an
// error, and so is all later data on that connection.
func (ne *Network) Cut(first, second string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.cuts[hostPair{first, second}] = true
	ne.cuts[hostPair{second, first}] = true
}

// Heal restores the link between two hosts. Connections that have lost data stay blackholed: they lose all later data too.
func (ne *Network) Heal(first, second string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	delete(ne.cuts, hostPair{first, second})
	delete(ne.cuts, hostPair{second, first})
}

// Blackhole drops all further data on the connections now open between two hosts, without closing them. New connections work.
func (ne *Network) Blackhole(first, second string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for co := range ne.conns {
		if (co.from == first && co.to == second) || (co.from == second && co.to == first) {
			co.state.blackhole()
		}
	}
}

// Sent returns the number of bytes that one host has sent to another, lost bytes included.
func (ne *Network) Sent(from, to string) int64 {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.sent[hostPair{from, to}]
}

// Kill crashes a host: its listeners and connections are closed, and nothing that it sends arrives any more.
func (ne *Network) Kill(name string) {
	ne.mu.Lock()
	ne.dead[name] = true
	for addr, li := range ne.listeners {
		if li.host == name {
			delete(ne.listeners, addr)
			li.stopAccepting()
		}
	}
	list := ne.matchingConns(func(co *memConn) bool { return co.from == name || co.to == name })
	ne.mu.Unlock()
	closeAll(list)
}

// Close closes every listener and connection.
func (ne *Network) Close() {
	ne.mu.Lock()
	for addr, li := range ne.listeners {
		delete(ne.listeners, addr)
		li.stopAccepting()
	}
	list := ne.matchingConns(func(*memConn) bool { return true })
	ne.mu.Unlock()
	closeAll(list)
}

func (ne *Network) matchingConns(match func(co *memConn) bool) []*memConn {
	var list []*memConn
	for co := range ne.conns {
		if match(co) {
			list = append(list, co)
		}
	}
	return list
}

func closeAll(list []*memConn) {
	for _, co := range list {
		_ = co.Conn.Close()
	}
}

// Listen returns a listener for an address on the host.
func (ho *Host) Listen(address string) (net.Listener, error) {
	ne := ho.network
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if _, ok := ne.listeners[address]; ok {
		return nil, errInUse
	}
	li := &memListener{network: ne, host: ho.name, address: address, queue: make(chan net.Conn), done: make(chan struct{})}
	ne.listeners[address] = li
	return li, nil
}

// Dial connects from the host to an address.
func (ho *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	dctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	li, cut := ho.network.lookUp(ho.name, address)
	if cut {
		<-dctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errTimeout}
	}
	if li == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	}
	near, far := ho.network.connect(ho.name, li.host)
	select {
	case li.queue <- far:
		return near, nil
	case <-li.done:
		_ = near.Close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	case <-dctx.Done():
		_ = near.Close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errTimeout}
	}
}

// lookUp returns the listener at an address, or nil if there is none, and whether the link to it is cut. All links of a crashed host count as
// cut.
func (ne *Network) lookUp(from, address string) (li *memListener, cut bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	li = ne.listeners[address]
	if ne.dead[from] {
		return nil, true
	}
	return li, li != nil && ne.cuts[hostPair{from, li.host}]
}

// connect returns the two ends of a new connection between two hosts.
func (ne *Network) connect(from, to string) (near, far net.Conn) {
	one, two := net.Pipe()
	state := &connState{}
	nc := &memConn{Conn: one, network: ne, from: from, to: to, state: state}
	fc := &memConn{Conn: two, network: ne, from: to, to: from, state: state}
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.conns[nc] = struct{}{}
	ne.conns[fc] = struct{}{}
	return nc, fc
}

// connState is the state that both ends of a connection share.
type connState struct {
	mu         sync.Mutex
	blackholed bool
}

func (cs *connState) blackhole() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.blackholed = true
}

func (cs *connState) isBlackholed() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.blackholed
}

// memConn is one end of a connection; from is the host of this end, to the host of the other end.
type memConn struct {
	net.Conn
	network *Network
	from    string
	to      string
	state   *connState
}

// Write delivers the data after the link's delay. If the link is cut, it drops the data, returns no error and blackholes the connection.
func (mc *memConn) Write(data []byte) (int, error) {
	if mc.network.delay > 0 {
		time.Sleep(mc.network.delay)
	}
	mc.network.mu.Lock()
	mc.network.sent[hostPair{mc.from, mc.to}] += int64(len(data))
	lost := mc.network.cuts[hostPair{mc.from, mc.to}] || mc.network.dead[mc.from]
	mc.network.mu.Unlock()
	if lost {
		mc.state.blackhole()
	}
	if mc.state.isBlackholed() {
		return len(data), nil
	}
	return mc.Conn.Write(data)
}

// Close closes the connection on both sides.
func (mc *memConn) Close() error {
	mc.network.mu.Lock()
	delete(mc.network.conns, mc)
	mc.network.mu.Unlock()
	return mc.Conn.Close()
}

// memListener is a listener of the in-memory network.
type memListener struct {
	network *Network
	host    string
	address string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (ml *memListener) Accept() (net.Conn, error) {
	select {
	case co := <-ml.queue:
		return co, nil
	case <-ml.done:
		return nil, net.ErrClosed
	}
}

func (ml *memListener) Close() error {
	ml.network.mu.Lock()
	if ml.network.listeners[ml.address] == ml {
		delete(ml.network.listeners, ml.address)
	}
	ml.network.mu.Unlock()
	ml.stopAccepting()
	return nil
}

func (ml *memListener) stopAccepting() { ml.once.Do(func() { close(ml.done) }) }

func (ml *memListener) Addr() net.Addr { return memAddr(ml.address) }

type memAddr string

func (ma memAddr) Network() string { return "mem" }

func (ma memAddr) String() string { return string(ma) }
