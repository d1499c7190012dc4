package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// Constants of the case.
const (
	// grantTopic is the topic to which the instances write under a condition; its partitions are chosen by a hash of the tenant.
	grantTopic = "keyed.weir"
	grantParts = 8
	answerTime = 8 * time.Millisecond
	// cutTime is the length of the cut; days of the site cut machines off for up to 12 s.
	cutTime = 12 * time.Second
	// firstPrepaid is what the tenant prepaid at first, and topUp by how much a new manifest raises it.
	firstPrepaid, topUp = 150_000, 240_000
	// calmRate and busyRate are the requests a second at each instance, before and after the top-up.
	calmRate, busyRate = 10, 30
)

// network holds the links between the instances, and those to the store, so that single machines can be cut off.
type network struct {
	world *world
	mu    sync.Mutex
	// stores are the links of the nodes to the store, and peers those from the first to the second node.
	stores map[*node]*stand.Link
	peers  map[[2]*node]*stand.Link
	udp    map[[2]*node]*relay
	// writers are the nodes that wrote to the tenant's partition under a condition since the last reset, in the order of their first write.
	writers []*node
	wrote   chan struct{}
}

// relay forwards datagrams.
type relay struct {
	mu  sync.Mutex
	cut bool
}

func (re *relay) run(from net.PacketConn, to string) {
	far, err := net.Dial("udp", to)
	if err != nil {
		return
	}
	buffer := make([]byte, 4096)
	for {
		count, _, err := from.ReadFrom(buffer)
		if err != nil {
			return
		}
		re.mu.Lock()
		cut := re.cut
		re.mu.Unlock()
		if !cut {
			_, _ = far.Write(buffer[:count])
		}
	}
}

// status captures the status of a response.
type status struct {
	http.ResponseWriter
	code int
}

func (st *status) WriteHeader(code int) {
	st.code = code
	st.ResponseWriter.WriteHeader(code)
}

// view returns the store as a node sees it: the addresses of the others are those of its links to them.
func (ne *network) view(no *node) http.Handler {
	handler := ne.world.store.Translated(func(value []byte) []byte {
		ne.mu.Lock()
		defer ne.mu.Unlock()
		for pair, ln := range ne.peers {
			if pair[0] == no {
				value = bytes.ReplaceAll(value, []byte(pair[1].peer), []byte(ln.Address()))
			}
		}
		return value
	})
	part := fmt.Sprint(xxhash.Sum64String(team) % grantParts)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		query := rq.URL.Query()
		if rq.URL.Path != "/log-append" || query.Get("topic") != grantTopic || query.Get("part") != part {
			handler.ServeHTTP(wr, rq)
			return
		}
		st := &status{ResponseWriter: wr, code: http.StatusOK}
		handler.ServeHTTP(st, rq)
		if st.code != http.StatusOK {
			return
		}
		ne.mu.Lock()
		defer ne.mu.Unlock()
		for _, other := range ne.writers {
			if other == no {
				return
			}
		}
		ne.writers = append(ne.writers, no)
		if len(ne.writers) == firstNodes {
			close(ne.wrote)
		}
	})
}

// newNetwork prepares the nodes and their links; the nodes are not started.
func newNetwork(wo *world) (*network, error) {
	ne := &network{world: wo, stores: map[*node]*stand.Link{}, peers: map[[2]*node]*stand.Link{}, udp: map[[2]*node]*relay{}, wrote: make(chan struct{})}
	for ix := range firstNodes {
		no, err := wo.newNode(ix)
		if err != nil {
			return nil, err
		}
		li, err := net.Listen("tcp", stand.Loopback()+":0")
		if err != nil {
			return nil, err
		}
		se := &http.Server{Handler: ne.view(no), ReadHeaderTimeout: time.Second}
		go func() { _ = se.Serve(li) }()
		wo.closers = append(wo.closers, func() { _ = se.Close() })
		ln, err := stand.NewLink(li.Addr().String())
		if err != nil {
			return nil, err
		}
		ne.stores[no], no.store = ln, ln.Address()
	}
	for _, from := range wo.nodes {
		for _, to := range wo.nodes {
			if from == to {
				continue
			}
			ln, err := stand.NewLink(to.peer)
			if err != nil {
				return nil, err
			}
			pc, err := net.ListenPacket("udp", ln.Address())
			if err != nil {
				return nil, err
			}
			wo.closers = append(wo.closers, func() { _ = pc.Close() })
			re := &relay{}
			go re.run(pc, to.peer)
			ne.mu.Lock()
			ne.peers[[2]*node{from, to}], ne.udp[[2]*node{from, to}] = ln, re
			ne.mu.Unlock()
		}
	}
	return ne, nil
}

// cut partitions a node from the store and from all other nodes, or ends that.
func (ne *network) cut(no *node, cut bool) {
	how := stand.Uncut
	if cut {
		how = stand.Reset
	}
	_ = ne.stores[no].SetCut(how)
	for pair, ln := range ne.peers {
		if pair[0] == no || pair[1] == no {
			_ = ln.SetCut(how)
			re := ne.udp[pair]
			re.mu.Lock()
			re.cut = cut
			re.mu.Unlock()
		}
	}
}

// playStale cuts off the machine that wrote to the store last, after a top-up, while the store comes back from a copy some seconds old.
func playStale(rec *record, root string, trouble bool) (bool, error) {
	const events = 10
	ma := stand.Manifest{
		Version: 1, Host: host, TimeoutMs: 12_000, TargetMs: 800, Model: model, Plain: plain, Stride: 7, Team: team, Key: teamKey, Prepaid: firstPrepaid,
		Routes: []stand.Route{{Name: "review", Kind: "streaming", Service: model, Sends: 2, Resume: true}},
	}
	wo, err := newWorld(rec, root, ma.Encode())
	if err != nil {
		return false, err
	}
	defer wo.close()
	ne, err := newNetwork(wo)
	if err != nil {
		return false, err
	}
	for ix := range 9 {
		if _, err := wo.addRunner(ix, model, "v1", events, 30*time.Millisecond, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	for _, no := range wo.nodes {
		if err := no.start(); err != nil {
			return false, err
		}
	}
	if err := wo.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	crowds := map[*node]*crowd{}
	var group sync.WaitGroup
	for ix, no := range wo.nodes {
		cr := newCrowd(wo, "/review/1", events, 200)
		cr.only, cr.number = no, ix<<20
		crowds[no] = cr
		group.Go(func() { cr.run(calmRate, 8500*time.Millisecond) })
	}
	time.Sleep(9500 * time.Millisecond)
	ma.Version, ma.Prepaid = 2, firstPrepaid+topUp
	ne.mu.Lock()
	ne.writers, ne.wrote = nil, make(chan struct{})
	wrote := ne.wrote
	ne.mu.Unlock()
	rec.add("the operator raises the prepaid total from %d to %d", firstPrepaid, ma.Prepaid)
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, ma.Encode())
	for _, cr := range crowds {
		group.Go(func() { cr.run(busyRate, 34*time.Second) })
	}
	select {
	case <-wrote:
	case <-time.After(8 * time.Second):
		return false, fmt.Errorf("%d of the instances wrote to the store", len(ne.writers))
	}
	// The answer of the store reaches the instance.
	time.Sleep(answerTime)
	last := ne.writers[firstNodes-1]
	if trouble {
		how := os.Getenv("PARTS")
		if how != "cut" {
			wo.store.SetFault(stand.Refusing)
			rec.add("the store is away")
		}
		if how != "return" {
			ne.cut(last, true)
			rec.add("%s, which wrote to the store last, is cut off from it and from the other machines", last.name)
			time.AfterFunc(cutTime, func() {
				ne.cut(last, false)
				rec.add("%s is no longer cut off", last.name)
			})
		}
		time.Sleep(awayTime)
		if how != "cut" {
			lost := wo.store.Restore(copyAge)
			wo.store.SetFault(stand.NoFault)
			rec.add("the store is back, from a copy that is %s old", copyAge)
			time.AfterFunc(200*time.Millisecond, func() { wo.store.PutAgain(lost) })
		}
	}
	group.Wait()
	delivered := 0
	for _, cr := range crowds {
		sum := 0
		for _, tries := range cr.list {
			for _, an := range tries {
				if len(an.events) > 0 {
					sum += 200 + 7*len(an.events)
				}
			}
		}
		rec.add("%s delivered %d tokens", cr.only.name, sum)
		delivered += sum
	}
	text := fmt.Sprintf("%d tokens were delivered, %d were prepaid", delivered, ma.Prepaid)
	rec.add("%s", text)
	fmt.Println(text)
	if dir := os.Getenv("KEEP"); dir != "" {
		for _, no := range wo.nodes {
			_ = os.WriteFile(dir+"/"+strings.TrimSpace(no.name)+".log", []byte(no.log()), 0o600)
		}
		_ = os.WriteFile(dir+"/last", []byte(last.name), 0o600)
	}
	return delivered <= int(ma.Prepaid), nil
}
