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

const connectTimeout = 2 * time.Second

// Network is a network in memory whose links between hosts can be cut; it is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	delay     time.Duration
	listeners map[string]*memListener
	cuts      map[hostPair]bool
	dead      map[string]bool
	conns     map[*memConn]struct{}
	sent      map[hostPair]int64
}

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

// Host returns the machine of the given name.
func (ne *Network) Host(name string) *Host { return &Host{network: ne, name: name} }

// Cut separates two hosts: open connections go silent for good and new ones time out.
func (ne *Network) Cut(first, second string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.cuts[hostPair{first, second}] = true
	ne.cuts[hostPair{second, first}] = true
}

// Heal joins two hosts again; connections that lost data stay silent.
func (ne *Network) Heal(first, second string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	delete(ne.cuts, hostPair{first, second})
	delete(ne.cuts, hostPair{second, first})
}

// Silence makes the open connections between two hosts go silent for good, while new ones work.
func (ne *Network) Silence(first, second string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for co := range ne.conns {
		if (co.from == first && co.to == second) || (co.from == second && co.to == first) {
			co.state.silence()
		}
	}
}

// Sent returns how many bytes one host has sent to another.
func (ne *Network) Sent(from, to string) int64 {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.sent[hostPair{from, to}]
}

// Kill ends a host: its listeners and connections close and it sends nothing any more.
func (ne *Network) Kill(name string) {
	ne.mu.Lock()
	ne.dead[name] = true
	for addr, li := range ne.listeners {
		if li.host == name {
			delete(ne.listeners, addr)
			li.end()
		}
	}
	list := ne.connsOf(func(co *memConn) bool { return co.from == name || co.to == name })
	ne.mu.Unlock()
	closeAll(list)
}

// Close ends every listener and connection.
func (ne *Network) Close() {
	ne.mu.Lock()
	for addr, li := range ne.listeners {
		delete(ne.listeners, addr)
		li.end()
	}
	list := ne.connsOf(func(*memConn) bool { return true })
	ne.mu.Unlock()
	closeAll(list)
}

func (ne *Network) connsOf(match func(co *memConn) bool) []*memConn {
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

// Listen accepts connections to an address on the host.
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

// Dial connects the host to an address.
func (ho *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	dctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	li, cut := ho.network.find(ho.name, address)
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

func (ne *Network) find(from, address string) (li *memListener, cut bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	li = ne.listeners[address]
	if ne.dead[from] {
		return nil, true
	}
	return li, li != nil && ne.cuts[hostPair{from, li.host}]
}

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

// connState is shared by the two ends of a connection.
type connState struct {
	mu     sync.Mutex
	silent bool
}

func (cs *connState) silence() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.silent = true
}

func (cs *connState) isSilent() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.silent
}

type memConn struct {
	net.Conn
	network *Network
	from    string
	to      string
	state   *connState
}

// Write delivers the data after the delay, or loses it where the link is cut.
func (mc *memConn) Write(data []byte) (int, error) {
	if mc.network.delay > 0 {
		time.Sleep(mc.network.delay)
	}
	mc.network.mu.Lock()
	mc.network.sent[hostPair{mc.from, mc.to}] += int64(len(data))
	lost := mc.network.cuts[hostPair{mc.from, mc.to}] || mc.network.dead[mc.from]
	mc.network.mu.Unlock()
	if lost {
		mc.state.silence()
	}
	if mc.state.isSilent() {
		return len(data), nil
	}
	return mc.Conn.Write(data)
}

// Close ends the connection on both sides.
func (mc *memConn) Close() error {
	mc.network.mu.Lock()
	delete(mc.network.conns, mc)
	mc.network.mu.Unlock()
	return mc.Conn.Close()
}

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
	ml.end()
	return nil
}

func (ml *memListener) end() { ml.once.Do(func() { close(ml.done) }) }

func (ml *memListener) Addr() net.Addr { return memAddr(ml.address) }

type memAddr string

func (ma memAddr) Network() string { return "mem" }

func (ma memAddr) String() string { return string(ma) }
