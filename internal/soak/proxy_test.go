package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// mode selects what a proxy does with the data on its connections.
type mode int

const (
	passing          mode = iota
	delayed               // each piece of data is delayed by 80 ms
	responsesStalled      // data from the target is withheld
	stalled               // data in both directions is withheld
	modeCount
)

// proxy is a TCP proxy on the loopback interface that injects connection faults.
type proxy struct {
	listener net.Listener
	// target is the address to which connections are forwarded.
	target string
	mu     sync.Mutex
	mode   mode
	// conns holds both ends of every connection since the last reset.
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	li, err := net.Listen("tcp", stand.Loopback()+":0")
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

// runCopy copies data in one direction, as the mode allows; out is set for the direction towards the target.
func (pr *proxy) runCopy(to, from net.Conn, out bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		switch pr.current() {
		case passing, modeCount:
		case delayed:
			time.Sleep(80 * time.Millisecond)
		case stalled:
			pr.hold(stalled)
		case responsesStalled:
			if !out {
				pr.hold(responsesStalled)
			}
		}
		_, werr := to.Write(buffer[:count])
		if errors.Is(err, syscall.ECONNRESET) {
			if tc, ok := to.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
		}
		if werr != nil || err != nil {
			return
		}
	}
}

// hold waits until the proxy leaves the given mode. The withheld data is usually lost: inject resets the connections at the end of each
// mode.
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

// reset closes all connections with a TCP reset.
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
