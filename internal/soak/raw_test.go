package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// rawHandler answers one request with any bytes and reports whether the connection is kept. number counts the requests of the connection from 1 on.
type rawHandler func(nc net.Conn, rq *http.Request, number int) bool

// rawEndpoint is an endpoint that does not keep to the protocol.
type rawEndpoint struct {
	mu     sync.Mutex
	handle rawHandler
	// early is set if the handler is called before the body of the request is read.
	early bool
	// began is the number of runs by request ID.
	began map[string]int
}

// addRaw starts a raw endpoint behind the links of the nodes and registers it.
func (wo *world) addRaw(id, service string, handle rawHandler) *rawEndpoint {
	re := &rawEndpoint{handle: handle, began: map[string]int{}}
	wo.startRaw(id, service, re, wo.nodes)
	return re
}

// startRaw starts a raw endpoint and registers it; the given nodes reach it through their links.
func (wo *world) startRaw(id, service string, re *rawEndpoint, linked []*node) {
	li, err := net.Listen("tcp", stand.Loopback()+":0")
	if err != nil {
		wo.tt.Fatal(err)
	}
	wo.tt.Cleanup(func() { _ = li.Close() })
	go re.runAccept(li)
	en := stand.NewEndpoint(stand.EndpointConfig{ID: id, Service: service, Domain: "zone-a", Slots: 64})
	wo.addresses[en] = li.Addr().String()
	for _, no := range linked {
		wo.link(no, wo.addresses[en])
	}
	wo.store.Put(wire.RegistrationTopic, id, en.Registration(wo.addresses[en], "ready", 1))
}

func (re *rawEndpoint) runAccept(li net.Listener) {
	for {
		nc, err := li.Accept()
		if err != nil {
			return
		}
		go re.runConn(nc)
	}
}

func (re *rawEndpoint) runConn(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	rd := bufio.NewReader(nc)
	for number := 1; ; number++ {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if !re.early {
			if _, err := io.Copy(io.Discard, rq.Body); err != nil {
				return
			}
		}
		re.mu.Lock()
		handle := re.handle
		re.mu.Unlock()
		if !handle(nc, rq, number) {
			return
		}
	}
}

// begin records that the endpoint begins to run a request.
func (re *rawEndpoint) begin(rq *http.Request) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.began[rq.Header.Get(stand.HeaderRequestID)]++
}

// runs returns the number of runs of a request.
func (re *rawEndpoint) runs(id string) int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.began[id]
}

// newRawWorld starts two instances and leaves the service without endpoints, for raw ones. The first instance reaches endpoints only through the other one if
// cut is set.
func newRawWorld(tt *testing.T, service string, cut bool) (*world, *node) {
	tt.Helper()
	wo := newWorld(tt, 2, 100_000_000)
	awaitReady(tt, wo)
	wo.deregisterOthers()
	no := wo.nodes[0]
	wo.await("a stream is served", func() bool {
		return wo.sendLate(no, lateRequest{id: "first-stream", route: "stream", client: &http.Client{}}).Status == http.StatusOK
	})
	wo.deregisterAll(tt, service)
	if cut {
		wo.cut(no, stand.Reset)
	}
	return wo, no
}

// runsOf returns the number of runs of a request at several endpoints.
func runsOf(list []*rawEndpoint, id string) int {
	sum := 0
	for _, re := range list {
		sum += re.runs(id)
	}
	return sum
}

func (re *rawEndpoint) setHandler(handle rawHandler) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.handle = handle
}

// deregisterAll removes the registrations of the endpoints of the service that the world has from the start.
func (wo *world) deregisterAll(tt *testing.T, service string) {
	tt.Helper()
	list := wo.plainEndpoints
	if service == "model" {
		list = wo.allModels()
	}
	for _, en := range list {
		wo.store.Put(wire.RegistrationTopic, en.ID(), nil)
	}
}
