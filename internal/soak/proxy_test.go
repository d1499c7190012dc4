package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes of its connections.
type mode int

const (
	passing mode = iota
	delayed
	oneWay
	silenced
	modes
)

// proxy passes connections of the loopback interface on and misbehaves when told to.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	pr := &proxy{listener: li, target: target, conns: map[net.Conn]struct{}{}}
	go pr.run()
	return pr, nil
}

func (pr *proxy) address() string { return pr.listener.Addr().String() }

func (pr *proxy) run() {
	for {
		near, err := pr.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", pr.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		pr.mu.Lock()
		pr.conns[near], pr.conns[far] = struct{}{}, struct{}{}
		pr.mu.Unlock()
		go pr.runCopy(far, near, true)
		go pr.runCopy(near, far, false)
	}
}

// runCopy passes bytes on in one direction; out is the one away from who opened the connection.
func (pr *proxy) runCopy(to, from net.Conn, out bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		switch pr.current() {
		case passing, modes:
		case delayed:
			time.Sleep(80 * time.Millisecond)
		case silenced:
			pr.hold(silenced)
		case oneWay:
			if !out {
				pr.hold(oneWay)
			}
		}
		if _, werr := to.Write(buffer[:count]); werr != nil || err != nil {
			return
		}
	}
}

// hold keeps bytes until the mode ends; the connection is closed then, as one that went silent for good.
func (pr *proxy) hold(while mode) {
	for pr.current() == while {
		time.Sleep(20 * time.Millisecond)
	}
}

func (pr *proxy) current() mode {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.mode
}

func (pr *proxy) set(mo mode) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.mode = mo
}

// reset ends all connections without a farewell.
func (pr *proxy) reset() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for co := range pr.conns {
		if tc, ok := co.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = co.Close()
	}
	pr.conns = map[net.Conn]struct{}{}
}
