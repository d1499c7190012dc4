package peer

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/internal/peer/peerpb"
	"github.com/clementineweir/clementineweir/pkg/oplog"
)

const (
	helloInterval = time.Second
	helloTimeout  = 500 * time.Millisecond
	// linkDownAfter is the time without a heartbeat after which a link counts as down.
	linkDownAfter = 3 * time.Second
	// maxHelloLinks bounds how many peers one instance exchanges heartbeats with.
	maxHelloLinks = 8
	// maxRelayLinks bounds how many peers are asked for one relayed call.
	maxRelayLinks = 3
)

// LinkConfig holds the parts of the links.
type LinkConfig struct {
	Node   Node
	Self   string
	Client *http.Client
	Scheme string
	Clock  oplog.Clock
}

// Links are the connections to the other instances; they are safe for concurrent use.
type Links struct {
	config LinkConfig
	mu     sync.Mutex
	byAddr map[string]*link
}

// link is the way to one other instance.
type link struct {
	address       string
	client        peerpb.Peer
	lastHeartbeat time.Duration
	reachesLog    bool
	draining      bool
	hadHeartbeat  bool
}

// LinkStatus is one link for operators.
type LinkStatus struct {
	Address    string `json:"address"`
	Up         bool   `json:"up"`
	ReachesLog bool   `json:"reachesLog"`
	Draining   bool   `json:"draining"`
}

// NewLinks returns links to no instance.
func NewLinks(config LinkConfig) *Links {
	return &Links{config: config, byAddr: map[string]*link{}}
}

// SetAddresses replaces the addresses of the other instances.
func (li *Links) SetAddresses(addresses []string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	old := li.byAddr
	li.byAddr = map[string]*link{}
	for _, addr := range addresses {
		if addr == li.config.Self {
			continue
		}
		if ln, ok := old[addr]; ok {
			li.byAddr[addr] = ln
			continue
		}
		url := li.config.Scheme + "://" + addr
		li.byAddr[addr] = &link{address: addr, client: peerpb.NewPeerProtobufClient(url, li.config.Client)}
	}
}

// Statuses returns the links by ascending address.
func (li *Links) Statuses() []LinkStatus {
	now := li.config.Clock()
	li.mu.Lock()
	defer li.mu.Unlock()
	list := make([]LinkStatus, 0, len(li.byAddr))
	for _, ln := range li.byAddr {
		list = append(list, LinkStatus{Address: ln.address, Up: ln.up(now), ReachesLog: ln.reachesLog, Draining: ln.draining})
	}
	slices.SortFunc(list, func(aa, bb LinkStatus) int { return strings.Compare(aa.Address, bb.Address) })
	return list
}

func (ln *link) up(now time.Duration) bool {
	return ln.hadHeartbeat && now-ln.lastHeartbeat < linkDownAfter
}

// Run exchanges heartbeats until the context ends.
func (li *Links) Run(ctx context.Context) error {
	ti := time.NewTicker(helloInterval)
	defer ti.Stop()
	for {
		li.sendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ti.C:
		}
	}
}

func (li *Links) sendHeartbeats(ctx context.Context) {
	rq := helloRequest(li.config.Node.LocalHeartbeat())
	var wg sync.WaitGroup
	for _, ln := range li.heartbeatTargets() {
		gr := heartbeatSender{links: li, link: ln, request: rq}
		wg.Go(func() { gr.run(ctx) })
	}
	wg.Wait()
}

func helloRequest(st Heartbeat) *peerpb.HelloRequest {
	return &peerpb.HelloRequest{
		Incarnation: st.Incarnation, FoldedOffset: st.FoldedOffset, Draining: st.Draining, ReachesLog: st.ReachesLog,
		Outstanding: encodeOutstanding(st.Outstanding), Address: st.Address,
	}
}

// heartbeatTargets returns the links on which this instance begins the heartbeat: of each pair it is the one with the smaller
// address, or both while they do not hear of each other. Of many peers it takes those that follow its own address.
func (li *Links) heartbeatTargets() []*link {
	now := li.config.Clock()
	list := li.sortedLinks()
	after, _ := slices.BinarySearchFunc(list, li.config.Self, func(ln *link, self string) int {
		return strings.Compare(ln.address, self)
	})
	list = append(slices.Clone(list[after:]), list[:after]...)
	list = list[:min(len(list), maxHelloLinks)]
	li.mu.Lock()
	defer li.mu.Unlock()
	return slices.DeleteFunc(list, func(ln *link) bool {
		return ln.address < li.config.Self && ln.up(now)
	})
}

// RecordHeartbeat records a heartbeat that a peer began.
func (li *Links) RecordHeartbeat(st Heartbeat) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if ln, ok := li.byAddr[st.Address]; ok {
		ln.recordHeartbeat(li.config.Clock(), st.ReachesLog, st.Draining)
	}
}

func (ln *link) recordHeartbeat(now time.Duration, reachesLog, draining bool) {
	ln.hadHeartbeat = true
	ln.lastHeartbeat = now
	ln.reachesLog = reachesLog
	ln.draining = draining
}

// heartbeatSender sends one heartbeat.
type heartbeatSender struct {
	links   *Links
	link    *link
	request *peerpb.HelloRequest
}

func (gr heartbeatSender) run(ctx context.Context) {
	hctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	rs, err := gr.link.client.Hello(hctx, gr.request)
	if err != nil {
		return
	}
	gr.links.config.Node.HeartbeatReceived(Heartbeat{
		Incarnation: rs.GetIncarnation(), FoldedOffset: rs.GetFoldedOffset(), Draining: rs.GetDraining(),
		ReachesLog: rs.GetReachesLog(), Outstanding: decodeOutstanding(rs.GetOutstanding()),
	})
	gr.links.mu.Lock()
	defer gr.links.mu.Unlock()
	gr.link.recordHeartbeat(gr.links.config.Clock(), rs.GetReachesLog(), rs.GetDraining())
}

func (li *Links) sortedLinks() []*link {
	li.mu.Lock()
	defer li.mu.Unlock()
	list := make([]*link, 0, len(li.byAddr))
	for _, ln := range li.byAddr {
		list = append(list, ln)
	}
	slices.SortFunc(list, func(aa, bb *link) int { return strings.Compare(aa.address, bb.address) })
	return list
}

// relayCandidates returns the links to ask for a relayed call, those that reach the log first.
func (li *Links) relayCandidates() []*link {
	list := li.sortedLinks()
	now := li.config.Clock()
	li.mu.Lock()
	defer li.mu.Unlock()
	slices.SortStableFunc(list, func(aa, bb *link) int { return bb.relayRank(now) - aa.relayRank(now) })
	return list[:min(len(list), maxRelayLinks)]
}

func (ln *link) relayRank(now time.Duration) int {
	switch {
	case ln.up(now) && ln.reachesLog:
		return 2
	case ln.up(now) || !ln.hadHeartbeat:
		return 1
	default:
		return 0
	}
}
