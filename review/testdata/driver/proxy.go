package main

import (
	"bytes"
	"net"
	"sync"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// proxy forwards channels to a target. Open channels can go silent for good, without a reset, while new ones work.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	// epoch counts the calls of silence; a channel of an earlier epoch is silent.
	epoch int
	open  int
	// reads receives a value when a read of the manifest passes, if there is room.
	reads chan struct{}
}

// manifestRead is a part of the request line of a read of the manifest.
var manifestRead = []byte("/log-read?")

func newProxy(target string) (*proxy, error) {
	address, err := stand.FreeAddress()
	if err != nil {
		return nil, err
	}
	li, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	pr := &proxy{address: address, target: target, reads: make(chan struct{}, 1)}
	go func() {
		for {
			near, err := li.Accept()
			if err != nil {
				return
			}
			go pr.forward(near)
		}
	}()
	return pr, nil
}

// silence makes all open channels silent, and returns their number.
func (pr *proxy) silence() int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.epoch++
	return pr.open
}

func (pr *proxy) current() int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.epoch
}

func (pr *proxy) forward(near net.Conn) {
	far, err := net.Dial("tcp", pr.target)
	if err != nil {
		_ = near.Close()
		return
	}
	pr.mu.Lock()
	epoch := pr.epoch
	pr.open++
	pr.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { pr.copy(far, near, epoch) })
	group.Go(func() { pr.copy(near, far, epoch) })
	group.Wait()
	pr.mu.Lock()
	pr.open--
	pr.mu.Unlock()
}

// copy copies data in one direction. On a silent channel it takes data and forwards nothing, neither data nor the end.
func (pr *proxy) copy(to, from net.Conn, epoch int) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		silent := pr.current() != epoch
		if data := buffer[:count]; bytes.Contains(data, manifestRead) && bytes.Contains(data, []byte("topic="+operatorTopic)) {
			select {
			case pr.reads <- struct{}{}:
			default:
			}
		}
		if count > 0 && !silent {
			if _, werr := to.Write(buffer[:count]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if !silent {
			_ = to.Close()
		}
		_ = from.Close()
		return
	}
}
