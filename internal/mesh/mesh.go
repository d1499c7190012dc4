package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/mesh/meshpb"
	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	// memberPrefix is the prefix of the keys of announcements.
	memberPrefix = "member/"
	// callTimeout bounds a call to a peer, in addition to the time that the call may wait for records. The round trips to the peer and from
	// there to the store take a few milliseconds each.
	callTimeout = 400 * time.Millisecond
	// dialTimeout bounds the dialing of a connection to a peer.
	dialTimeout = 200 * time.Millisecond
	// AnnounceInterval is the interval at which an instance repeats its announcement.
	AnnounceInterval = 20 * time.Second
	// announceExpiry is how long an instance can go without an announcement before it is removed. By then it has missed three announcements.
	announceExpiry = 3*AnnounceInterval + AnnounceInterval/2
	// idleTimeout is how long a connection to a peer can be idle before it is closed.
	idleTimeout = 30 * time.Second
	// backoffTime is the time for which a peer is not called after it did not respond.
	backoffTime = 2 * time.Second
	// maxRelays bounds the peers that are tried for one call to the store.
	maxRelays = 2
	// maxLenders bounds the peers that are asked for the tokens of one request. It equals the number of instances that hold grants of one team.
	maxLenders = 4
)

// ErrNoPeer is returned if there is no peer to call.
var ErrNoPeer = eris.New("no peer can be reached")

// Member is the announcement of one instance.
type Member struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// Address is the address at which the instance receives calls and notices of peers.
	Address string `json:"address"`
	// Domain is the instance's failure domain.
	Domain string `json:"domain"`
	// IssuesPermits reports whether the instance issues permits for the rate limits of endpoints; older builds do not.
	IssuesPermits bool `json:"issuesPermits,omitempty"`
	// HoldsOrigins reports whether the instance holds the origins of streams for others; older builds do not.
	HoldsOrigins bool `json:"holdsOrigins,omitempty"`
	// RelaysConnections reports whether the instance relays connections to endpoints for others; older builds do not.
	RelaysConnections bool `json:"relaysConnections,omitempty"`
	// Incarnation is the incarnation of the instance; older builds do not state it.
	Incarnation int64 `json:"incarnation,omitempty"`
}

// Config describes this instance.
type Config struct {
	// Self is the announcement of this instance.
	Self Member
	// Clock returns the monotonic time since the process started.
	Clock func() time.Duration
}

// peer is another instance with its announcement and the state of the calls to it.
type peer struct {
	member Member
	client meshpb.Mesh
	// backoffUntil is the end of the pause in calls to the peer after it failed to respond.
	backoffUntil time.Duration
	// relayBackoffUntil is the end of the pause in relaying through the peer after it could not reach an endpoint.
	relayBackoffUntil time.Duration
	// noticeAddr is the address at which the peer receives notices, or nil.
	noticeAddr net.Addr
	// announcementReadAt is the time at which this instance read the peer's last announcement.
	announcementReadAt time.Duration
}

// Mesh keeps the list of the other instances and calls them; it is safe for concurrent use.
type Mesh struct {
	config Config
	http   *http.Client
	mu     sync.Mutex
	peers  map[string]*peer
	// withdrawn are the incarnations that withdrew their announcements, by instance.
	withdrawn map[string]int64
	// storeFailedAt is the time of the last direct call to the store if that call failed to reach it, and zero if it succeeded. It covers the
	// calls for all topics.
	storeFailedAt atomic.Int64
	// storeRegained is closed when a direct call reaches the store after one that did not, and then replaced.
	storeRegained chan struct{}
}

// maxHeaderBytes is the maximum size of the status and the headers of a peer's response.
const maxHeaderBytes = 64 << 10

// New returns a mesh without peers.
func New(config Config) *Mesh {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Mesh{config: config, peers: map[string]*peer{}, withdrawn: map[string]int64{}, storeRegained: make(chan struct{}), http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// Announcement returns the record that announces this instance to its peers.
func (me *Mesh) Announcement() (keyed.Record, error) {
	data, err := json.Marshal(me.config.Self)
	return keyed.Record{Key: memberPrefix + me.config.Self.Name, Value: data}, err
}

// Withdrawal returns the record that withdraws the announcement of this instance.
func (me *Mesh) Withdrawal() keyed.Record {
	return keyed.Record{Key: memberPrefix + me.config.Self.Name}
}

// ApplyAnnouncements updates the peers from announcement records; a peer whose record is empty or invalid is removed.
func (me *Mesh) ApplyAnnouncements(list []keyed.Record) {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, re := range list {
		name, ok := strings.CutPrefix(re.Key, memberPrefix)
		if !ok || name == me.config.Self.Name {
			continue
		}
		var mb Member
		if old, ok := me.peers[name]; ok && len(re.Value) == 0 && old.member.Incarnation != 0 {
			me.withdrawn[name] = old.member.Incarnation
		}
		if len(re.Value) == 0 || json.Unmarshal(re.Value, &mb) != nil || mb.Address == "" {
			delete(me.peers, name)
			continue
		}
		me.detectStoreRecovery()
		if old, ok := me.peers[name]; ok && old.member == mb {
			old.announcementReadAt = me.config.Clock()
			continue
		}
		pe := &peer{member: mb, announcementReadAt: me.config.Clock(), client: meshpb.NewMeshProtobufClient("http://"+mb.Address, me.http)}
		if at, err := netip.ParseAddrPort(mb.Address); err == nil {
			pe.noticeAddr = net.UDPAddrFromAddrPort(at)
		}
		me.peers[name] = pe
	}
}

// RestoreAnnouncements applies the announcements of a store that has come back from an older copy. Those that were withdrawn since are left out.
func (me *Mesh) RestoreAnnouncements(list []keyed.Record) {
	me.mu.Lock()
	current := slices.DeleteFunc(slices.Clone(list), func(re keyed.Record) bool {
		var mb Member
		name, ok := strings.CutPrefix(re.Key, memberPrefix)
		if !ok || json.Unmarshal(re.Value, &mb) != nil {
			return false
		}
		until, withdrawn := me.withdrawn[name]
		return withdrawn && mb.Incarnation <= until
	})
	me.mu.Unlock()
	me.ApplyAnnouncements(current)
}

// StoreReachable reports whether the last direct call to the store, for any topic, reached it.
func (me *Mesh) StoreReachable() bool { return me.storeFailedAt.Load() == 0 }

// StoreRegained returns a channel that is closed as soon as a direct call, for any topic, reaches the store again.
func (me *Mesh) StoreRegained() <-chan struct{} {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.storeRegained
}

func (me *Mesh) announceRegained() {
	me.mu.Lock()
	defer me.mu.Unlock()
	close(me.storeRegained)
	me.storeRegained = make(chan struct{})
}

// Members returns the sorted names of all instances with a current announcement, including this one.
func (me *Mesh) Members() []string {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.dropExpired()
	names := append(slices.Collect(maps.Keys(me.peers)), me.config.Self.Name)
	slices.Sort(names)
	return names
}

// lastAnnouncement returns the time at which the newest announcement of any peer was read. The caller holds the lock.
func (me *Mesh) lastAnnouncement() time.Duration {
	newest := time.Duration(0)
	for _, pe := range me.peers {
		newest = max(newest, pe.announcementReadAt)
	}
	return newest
}

// detectStoreRecovery restarts the expiry of all peers if no announcement of any peer was read for two intervals. In that case the store was
// unreachable, and the missing announcements do not show that the peers have ended. The caller holds the lock.
func (me *Mesh) detectStoreRecovery() {
	now := me.config.Clock()
	if now-me.lastAnnouncement() <= 2*AnnounceInterval {
		return
	}
	for _, pe := range me.peers {
		pe.announcementReadAt = now
	}
}

// dropExpired removes peers that ended without a withdrawal: their announcements stopped while other peers repeated theirs. The caller holds
// the lock.
func (me *Mesh) dropExpired() {
	newest := me.lastAnnouncement()
	for name, pe := range me.peers {
		if newest-pe.announcementReadAt > announceExpiry {
			delete(me.peers, name)
		}
	}
}

// candidates returns at most the given number of peers that are not in backoff: those whose names are listed in the parameter
// first, in the order of the list, then those of this instance's failure domain, then all others.
func (me *Mesh) candidates(first []string, limit int) []*peer {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.config.Clock()
	list := make([]*peer, 0, len(me.peers))
	for _, pe := range me.peers {
		if now >= pe.backoffUntil {
			list = append(list, pe)
		}
	}
	slices.SortFunc(list, func(aa, bb *peer) int {
		if diff := me.rank(aa, first) - me.rank(bb, first); diff != 0 {
			return diff
		}
		return strings.Compare(aa.member.Name, bb.member.Name)
	})
	return list[:min(len(list), limit)]
}

// rank returns the position of a peer in the order of candidates.
func (me *Mesh) rank(pe *peer, first []string) int {
	if ix := slices.Index(first, pe.member.Name); ix >= 0 {
		return ix
	}
	if pe.member.Domain == me.config.Self.Domain {
		return len(first)
	}
	return len(first) + 1
}

// tryPeers calls the peers in turn until a call succeeds or fails conclusively. Peers that do not respond go into backoff, unless the context has ended before
// the call timed out. wait is the time that the store may wait for records; it is added to the timeout of each call.
func (me *Mesh) tryPeers(ctx context.Context, list []*peer, wait time.Duration, call func(ctx context.Context, pe *peer) error) error {
	last := ErrNoPeer
	for _, pe := range list {
		cctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
		err := call(cctx, pe)
		cancel()
		if !responded(err) && ctx.Err() == nil {
			me.backOff(pe)
		}
		err = decodeError(err)
		if err == nil || conclusive(err) || ctx.Err() != nil {
			return err
		}
		last = err
	}
	return last
}

// backOff puts a peer in backoff after it did not respond.
func (me *Mesh) backOff(pe *peer) {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe.backoffUntil = me.config.Clock() + backoffTime
}

// Borrow asks peers for tokens of a team for a request that waits, and returns how many tokens they lent. The parameter first lists the names
// of peers to ask before all others.
func (me *Mesh) Borrow(ctx context.Context, team string, tokens int64, first []string) int64 {
	return me.borrow(ctx, team, tokens, tokens, first, 1)
}

// BorrowAhead asks peers for tokens of a team before requests wait for them, until it has received enough, and returns how many tokens they
// lent. Each peer lends a part of its surplus.
func (me *Mesh) BorrowAhead(ctx context.Context, team string, tokens, enough int64, first []string) int64 {
	return me.borrow(ctx, team, tokens, enough, first, -1)
}

// borrow carries out Borrow with the sign 1, and BorrowAhead with the sign -1. The number of tokens in a call for a loan ahead is negative:
// older builds lend nothing for it, and their own calls, with positive numbers, are for requests that wait.
func (me *Mesh) borrow(ctx context.Context, team string, tokens, enough int64, first []string, sign int64) int64 {
	got := int64(0)
	_ = me.tryPeers(ctx, me.candidates(first, maxLenders), 0, func(ctx context.Context, pe *peer) error {
		rs, err := pe.client.Give(ctx, &meshpb.GiveRequest{Team: team, Tokens: sign * (tokens - got)})
		if err != nil {
			return err
		}
		got += rs.GetTokens()
		if got < enough {
			return errPartialLoan
		}
		return nil
	})
	return got
}

// Return gives tokens back to a peer by a single call. After an error it is unknown whether the peer received them.
func (me *Mesh) Return(ctx context.Context, peer, team string, tokens int64) error {
	me.mu.Lock()
	pe, ok := me.peers[peer]
	me.mu.Unlock()
	if !ok {
		return ErrNoPeer
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := pe.client.Return(cctx, &meshpb.ReturnRequest{Team: team, Tokens: tokens})
	if !responded(err) {
		me.backOff(pe)
	}
	return err
}

// InBackoff reports whether a peer is in backoff after it failed to respond, or is unknown.
func (me *Mesh) InBackoff(peer string) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe, ok := me.peers[peer]
	return !ok || me.config.Clock() < pe.backoffUntil
}

// errPartialLoan makes tryPeers call the next peer.
var errPartialLoan = eris.New("the peer lent fewer tokens than requested")
