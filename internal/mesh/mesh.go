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
	// memberPrefix begins the keys under which instances announce themselves.
	memberPrefix = "member/"
	// callTimeout bounds a call to a peer beyond the time that it may wait: a peer is some milliseconds away, the store behind it as many.
	callTimeout = 400 * time.Millisecond
	// dialTimeout bounds a new connection to a peer.
	dialTimeout = 200 * time.Millisecond
	// AnnounceInterval is how often an instance announces itself again.
	AnnounceInterval = 20 * time.Second
	// announceExpiry is the time without an announcement after which an instance is forgotten: three were missed.
	announceExpiry = 3*AnnounceInterval + AnnounceInterval/2
	// idleTimeout closes connections that are not used.
	idleTimeout = 30 * time.Second
	// backoffTime is how long a peer that did not answer is left alone.
	backoffTime = 2 * time.Second
	// maxRelays bounds the peers that one call to the store goes through.
	maxRelays = 2
	// maxLenders bounds the peers that are asked for the tokens of one request: as many as hold grants of one team.
	maxLenders = 4
)

// ErrNoPeer reports that no peer could be asked.
var ErrNoPeer = eris.New("no peer can be reached")

// Member is one instance as it announces itself.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// Config names the own instance.
type Config struct {
	Self  Member
	Clock func() time.Duration
}

type peer struct {
	member       Member
	client       meshpb.Mesh
	backoffUntil time.Duration
	// noticeAddr is where the peer receives datagrams, or nil.
	noticeAddr net.Addr
	// announcedAt is when its last announcement was read.
	announcedAt time.Duration
}

// Mesh calls the other instances; it is safe for concurrent use.
type Mesh struct {
	config Config
	http   *http.Client
	mu     sync.Mutex
	peers  map[string]*peer
	// storeFailedAt is when the store itself last failed for any topic, or zero.
	storeFailedAt atomic.Int64
}

// New returns a mesh that knows no peer.
func New(config Config) *Mesh {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Mesh{config: config, peers: map[string]*peer{}, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2, DisableCompression: true,
	}}}
}

// Announcement returns the record that makes this instance known.
func (me *Mesh) Announcement() (keyed.Record, error) {
	data, err := json.Marshal(me.config.Self)
	return keyed.Record{Key: memberPrefix + me.config.Self.Name, Value: data}, err
}

// Withdrawal returns the record that makes this instance unknown.
func (me *Mesh) Withdrawal() keyed.Record {
	return keyed.Record{Key: memberPrefix + me.config.Self.Name}
}

// ApplyAnnouncements takes what the instances have announced; a record that cannot be decoded names no peer.
func (me *Mesh) ApplyAnnouncements(list []keyed.Record) {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, re := range list {
		name, ok := strings.CutPrefix(re.Key, memberPrefix)
		if !ok || name == me.config.Self.Name {
			continue
		}
		var mb Member
		if len(re.Value) == 0 || json.Unmarshal(re.Value, &mb) != nil || mb.Address == "" {
			delete(me.peers, name)
			continue
		}
		me.detectStoreRecovery()
		if old, ok := me.peers[name]; ok && old.member == mb {
			old.announcedAt = me.config.Clock()
			continue
		}
		pe := &peer{member: mb, announcedAt: me.config.Clock(), client: meshpb.NewMeshProtobufClient("http://"+mb.Address, me.http)}
		if at, err := netip.ParseAddrPort(mb.Address); err == nil {
			pe.noticeAddr = net.UDPAddrFromAddrPort(at)
		}
		me.peers[name] = pe
	}
}

// StoreReachable reports whether the store answered this instance itself at the last call.
func (me *Mesh) StoreReachable() bool { return me.storeFailedAt.Load() == 0 }

// Members returns the names of all instances that have announced themselves lately, this one included, in ascending order.
func (me *Mesh) Members() []string {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.dropExpired()
	names := append(slices.Collect(maps.Keys(me.peers)), me.config.Self.Name)
	slices.Sort(names)
	return names
}

// lastAnnouncement returns when any peer last announced itself.
func (me *Mesh) lastAnnouncement() time.Duration {
	newest := time.Duration(0)
	for _, pe := range me.peers {
		newest = max(newest, pe.announcedAt)
	}
	return newest
}

// detectStoreRecovery gives all peers time to announce themselves where nobody has done so for long: the store was away.
func (me *Mesh) detectStoreRecovery() {
	now := me.config.Clock()
	if now-me.lastAnnouncement() <= 2*AnnounceInterval {
		return
	}
	for _, pe := range me.peers {
		pe.announcedAt = now
	}
}

// dropExpired forgets peers that have announced themselves no more while others did: they are gone without a farewell.
func (me *Mesh) dropExpired() {
	newest := me.lastAnnouncement()
	for name, pe := range me.peers {
		if newest-pe.announcedAt > announceExpiry {
			delete(me.peers, name)
		}
	}
}

// candidates returns at most the given number of peers to ask, in the given order or else those of the own failure domain first.
func (me *Mesh) candidates(first []string, most int) []*peer {
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
	return list[:min(len(list), most)]
}

func (me *Mesh) rank(pe *peer, first []string) int {
	if ix := slices.Index(first, pe.member.Name); ix >= 0 {
		return ix
	}
	if pe.member.Domain == me.config.Self.Domain {
		return len(first)
	}
	return len(first) + 1
}

// tryPeers calls the peers in turn until one of them settles the matter.
func (me *Mesh) tryPeers(ctx context.Context, list []*peer, wait time.Duration, call func(ctx context.Context, pe *peer) error) error {
	last := ErrNoPeer
	for _, pe := range list {
		cctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
		err := call(cctx, pe)
		cancel()
		if !responded(err) {
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

func (me *Mesh) backOff(pe *peer) {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe.backoffUntil = me.config.Clock() + backoffTime
}

// Borrow asks peers for tokens of a team, the named ones first, and returns what they gave.
func (me *Mesh) Borrow(ctx context.Context, team string, tokens int64, first []string) int64 {
	got := int64(0)
	_ = me.tryPeers(ctx, me.candidates(first, maxLenders), 0, func(ctx context.Context, pe *peer) error {
		rs, err := pe.client.Give(ctx, &meshpb.GiveRequest{Team: team, Tokens: tokens - got})
		if err != nil {
			return err
		}
		got += rs.GetTokens()
		if got < tokens {
			return errPartialLoan
		}
		return nil
	})
	return got
}

// Return moves tokens to a peer by one call; after an error they may have arrived or not.
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

// InBackoff reports whether a peer did not answer lately, or is unknown.
func (me *Mesh) InBackoff(peer string) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	pe, ok := me.peers[peer]
	return !ok || me.config.Clock() < pe.backoffUntil
}

// errPartialLoan asks the next peer, too.
var errPartialLoan = eris.New("the peer gave less than was asked for")
