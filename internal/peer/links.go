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
	// linkDownAfter is how long a link can be without a heartbeat before it is considered down.
	linkDownAfter = 3 * time.Second
	// maxHelloLinks is the maximum number of peers to which one instance sends heartbeats.
	maxHelloLinks = 8
	// maxRelayLinks is the maximum number of peers that are tried for one relayed call.
	maxRelayLinks = 3
)

// LinkConfig holds the settings and dependencies of the links.
type LinkConfig struct {
	// Node is this instance.
	Node Node
	// Self is the address at which peers call this instance.
	Self string
	// Client makes the calls to peers.
	Client *http.Client
	// Scheme is the URL scheme of calls to peers, http or https.
	Scheme string
	// Clock returns the monotonic time since the process started.
	Clock oplog.Clock
}

// Links is the set of links to the other instances; it is safe for concurrent use.
type Links struct {
	config LinkConfig
	mu     sync.Mutex
	byAddr map[string]*link
}

// link is the connection to one other instance.
type link struct {
	address       string
	client        peerpb.Peer
	lastHeartbeat time.Duration
	// reachesLog and draining are the values of the peer's last heartbeat.
	reachesLog bool
	draining   bool
	// hadHeartbeat is set when the first heartbeat of the peer arrives.
	hadHeartbeat bool
}

// LinkStatus is the state of one link, as shown to operators.
type LinkStatus struct {
	// Address is the peer's address.
	Address string `json:"address"`
	// Up is set if a heartbeat of the peer arrived within linkDownAfter.
	Up bool `json:"up"`
	// ReachesLog and Draining are the values of the peer's last heartbeat.
	ReachesLog bool `json:"reachesLog"`
	Draining   bool `json:"draining"`
}

// NewLinks returns an empty set of links.
func NewLinks(config LinkConfig) *Links {
	return &Links{config: config, byAddr: map[string]*link{}}
}

// SetAddresses replaces the set of links. Links to addresses that are still in the list keep their state; this instance's own address
// is skipped.
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

// Statuses returns the state of every link, sorted by address.
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

// up reports whether a heartbeat arrived within linkDownAfter.
func (ln *link) up(now time.Duration) bool {
	return ln.hadHeartbeat && now-ln.lastHeartbeat < linkDownAfter
}

// Run sends heartbeats until the context ends.
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
	rq := newHelloRequest(li.config.Node.LocalHeartbeat())
	var wg sync.WaitGroup
	for _, ln := range li.heartbeatTargets() {
		hs := heartbeatSender{links: li, link: ln, request: rq}
		wg.Go(func() { hs.run(ctx) })
	}
	wg.Wait()
}

func newHelloRequest(hb Heartbeat) *peerpb.HelloRequest {
	return &peerpb.HelloRequest{
		Incarnation: hb.Incarnation, FoldedOffset: hb.FoldedOffset, Draining: hb.Draining, ReachesLog: hb.ReachesLog,
		Outstanding: encodeOutstanding(hb.Outstanding), Address: hb.Address,
	}
}

// heartbeatTargets returns the links on which this instance sends heartbeats.
//
// They lead to at most maxHelloLinks peers: those that follow this instance's address in the ring of sorted addresses. The response to a
// heartbeat is a heartbeat, too. So in each pair only the instance with the smaller address sends while the link is up; both send while it
// is down.
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

// RecordHeartbeat updates the link of a peer that has sent a heartbeat.
func (li *Links) RecordHeartbeat(hb Heartbeat) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if ln, ok := li.byAddr[hb.Address]; ok {
		ln.recordHeartbeat(li.config.Clock(), hb.ReachesLog, hb.Draining)
	}
}

func (ln *link) recordHeartbeat(now time.Duration, reachesLog, draining bool) {
	ln.hadHeartbeat = true
	ln.lastHeartbeat = now
	ln.reachesLog = reachesLog
	ln.draining = draining
}

// heartbeatSender sends one heartbeat and records the heartbeat in the response.
type heartbeatSender struct {
	links   *Links
	link    *link
	request *peerpb.HelloRequest
}

func (hs heartbeatSender) run(ctx context.Context) {
	hctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	rs, err := hs.link.client.Hello(hctx, hs.request)
	if err != nil {
		return
	}
	hs.links.config.Node.HeartbeatReceived(Heartbeat{
		Incarnation: rs.GetIncarnation(), FoldedOffset: rs.GetFoldedOffset(), Draining: rs.GetDraining(),
		ReachesLog: rs.GetReachesLog(), Outstanding: decodeOutstanding(rs.GetOutstanding()),
	})
	hs.links.mu.Lock()
	defer hs.links.mu.Unlock()
	hs.link.recordHeartbeat(hs.links.config.Clock(), rs.GetReachesLog(), rs.GetDraining())
}

// sortedLinks returns the links sorted by address.
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

// relayCandidates returns the links to try for a relayed call, in this order: links to peers that reach the log, other links
// that are up or had no heartbeat yet, and links that are down. It returns at most maxRelayLinks.
func (li *Links) relayCandidates() []*link {
	list := li.sortedLinks()
	now := li.config.Clock()
	li.mu.Lock()
	defer li.mu.Unlock()
	slices.SortStableFunc(list, func(aa, bb *link) int { return bb.relayRank(now) - aa.relayRank(now) })
	return list[:min(len(list), maxRelayLinks)]
}

// relayRank returns the priority of a link for relayed calls; the highest is tried first.
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
