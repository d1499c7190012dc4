package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/internal/gate"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/limit"
)

const (
	// issuerRetry is the time after which an instance asks for permits again if no issuer answered.
	issuerRetry = 300 * time.Millisecond
	// issueLogInterval is the interval at which the permits for one process are logged.
	issueLogInterval = 5 * time.Second
	// issueLogExpiry is the time without asks after which the log state of a process is dropped.
	issueLogExpiry = time.Minute
	// learnTimeout bounds the time after the start in which an instance serves no requests because it learns the rate limits from its peers.
	learnTimeout = time.Second
	// learnPause is the pause between two checks whether the peers are known.
	learnPause = 10 * time.Millisecond
)

// permits gets permits for requests to endpoints with rate limits, and issues them for those processes for which this instance is the issuer.
type permits struct {
	edge   *Edge
	mu     sync.Mutex
	issuer *limit.Issuer
	// logged holds what was last logged of each process.
	logged map[string]issueLog
	// learned is set once this instance knows the rate limits that its peers know, or cannot learn them.
	learned atomic.Bool
}

// issueLog is the state of the issued permits at the time of a log line.
type issueLog struct {
	at     time.Duration
	issued int64
}

func newPermits(ed *Edge) *permits {
	return &permits{edge: ed, issuer: limit.NewIssuer(), logged: map[string]issueLog{}}
}

// run sends the asks of this instance to their issuers until the context ends.
func (ps *permits) run(ctx context.Context) error {
	ps.learn(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ps.edge.balancer.Asks():
		}
		for _, group := range ps.byIssuer(ps.edge.balancer.TakeAsks()) {
			go ps.runAsks(ctx, group)
		}
	}
}

// learn gets the rate limits from a peer. Without them, an instance that has just started would send requests to limited endpoints until
// the first response arrives.
func (ps *permits) learn(ctx context.Context) {
	defer ps.learned.Store(true)
	lctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	for !ps.edge.grantSyncs[0].loaded.Load() && lctx.Err() == nil {
		pause(lctx, learnPause)
	}
	limits, err := ps.edge.mesh.RateLimits(lctx)
	if err != nil {
		ps.edge.config.Logger.Info("no rate limits from peers", "reason", err.Error())
		return
	}
	for process, perSecond := range limits {
		ps.edge.applyRateLimitNotice(mesh.RateLimitNotice{Process: process, Limited: true, PerSecond: perSecond})
	}
}

// RateLimits returns the rate limits that this instance knows of, in requests a second by process.
func (ps *permits) RateLimits() map[string]float64 { return ps.edge.balancer.RateLimits() }

// byIssuer groups asks by the instance that should answer them.
func (ps *permits) byIssuer(asks []limit.Ask) map[string][]limit.Ask {
	groups := map[string][]limit.Ask{}
	for _, ask := range asks {
		name := ps.edge.mesh.Issuer(ask.Process)
		groups[name] = append(groups[name], ask)
	}
	return groups
}

// runAsks gets the answers to asks of this instance, which all have the same issuer.
func (ps *permits) runAsks(ctx context.Context, asks []limit.Ask) {
	clock := ps.edge.config.Clock
	askedAt := clock()
	for ix, gr := range ps.IssuePermits(ctx, ps.edge.config.Settings.Name, asks, false) {
		ps.edge.balancer.AnswerAsk(clock(), askedAt, asks[ix], gr.Issuer, gr.Grant)
		if gr.Permits == 0 {
			ps.edge.metrics.Counter("weir_rate_permits_refused_total").Inc()
		}
	}
}

// IssuePermits answers asks of the named instance. Those that another instance should answer are passed on to it unless forwarded is set.
func (ps *permits) IssuePermits(ctx context.Context, instance string, asks []limit.Ask, forwarded bool) []mesh.IssuedGrant {
	grants := make([]mesh.IssuedGrant, len(asks))
	others := map[string][]int{}
	for ix, ask := range asks {
		switch issuer := ps.edge.mesh.Issuer(ask.Process); {
		case issuer == ps.edge.config.Settings.Name:
			grants[ix] = ps.issue(instance, ask)
		case forwarded:
			grants[ix] = mesh.IssuedGrant{Issuer: issuer, Grant: limit.Grant{Retry: issuerRetry}}
		default:
			others[issuer] = append(others[issuer], ix)
		}
	}
	for issuer, list := range others {
		ps.passOn(ctx, issuer, instance, asks, list, grants)
	}
	return grants
}

// passOn sends the asks with the listed indexes to their issuer and stores its grants. If it does not respond and this instance is the issuer in
// its place, it answers them itself.
func (ps *permits) passOn(ctx context.Context, issuer, instance string, asks []limit.Ask, list []int, grants []mesh.IssuedGrant) {
	selected := make([]limit.Ask, 0, len(list))
	for _, ix := range list {
		selected = append(selected, asks[ix])
	}
	self := ps.edge.config.Settings.Name
	got, err := ps.edge.mesh.AskPermits(ctx, issuer, instance, selected, instance != self)
	if err != nil {
		ps.edge.config.Logger.Info("no answer to asks for permits", "issuer", issuer, "asks", len(selected), "for", instance, "reason", err.Error())
	}
	for nth, ix := range list {
		switch {
		case err == nil:
			grants[ix] = got[nth]
		case ps.edge.mesh.Issuer(asks[ix].Process) == self:
			grants[ix] = ps.issue(instance, asks[ix])
		default:
			grants[ix] = mesh.IssuedGrant{Issuer: issuer, Grant: limit.Grant{Retry: issuerRetry}}
		}
	}
}

// issue answers an ask of the named instance as the issuer.
func (ps *permits) issue(instance string, ask limit.Ask) mesh.IssuedGrant {
	self := ps.edge.config.Settings.Name
	now := ps.edge.config.Clock()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	gr := ps.issuer.Issue(now, instance, ask.WithIssuer(self))
	ps.edge.metrics.Counter("weir_rate_permits_issued_total").Add(gr.Permits)
	ps.log(now, ask)
	return mesh.IssuedGrant{Grant: gr, Issuer: self}
}

// log writes how many permits were issued for a process, at most once in issueLogInterval. The caller holds the lock.
func (ps *permits) log(now time.Duration, ask limit.Ask) {
	last, ok := ps.logged[ask.Process]
	if ok && now-last.at < issueLogInterval {
		return
	}
	issued, waiting := ps.issuer.Issued(now, ask.Process)
	ps.logged[ask.Process] = issueLog{at: now, issued: issued}
	if !ok {
		last.at = now
	}
	ps.edge.config.Logger.Info("permits issued", "process", ask.Process, "perSecond", ask.PerSecond, "permits", max(0, issued-last.issued),
		"span", (now - last.at).Seconds(), "instancesWaiting", waiting)
}

// prune forgets the log state of processes for which nobody has asked for a while.
func (ps *permits) prune(now time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for process, last := range ps.logged {
		if now-last.at > issueLogExpiry {
			delete(ps.logged, process)
		}
	}
}

// NotifyRateLimit notifies the peers of what a response said about the rate limit of an endpoint.
func (ed *Edge) NotifyRateLimit(process string, st limit.Statement) {
	nt := mesh.RateLimitNotice{Process: process, Limited: st.Limited, PerSecond: st.PerSecond}
	if !ed.notifier.Send(mesh.Notice{RateLimit: &nt}) {
		ed.metrics.Counter("weir_notices_dropped_total").Inc()
	}
}

// applyRateLimitNotice records what a response to a peer said about a rate limit.
func (ed *Edge) applyRateLimitNotice(nt mesh.RateLimitNotice) {
	st := limit.Statement{Limited: nt.Limited, PerSecond: nt.PerSecond}
	ch := ed.balancer.RecordPeerRateLimit(ed.config.Clock(), nt.Process, st)
	if ch.Changed {
		gate.LogRateLimit(ed.config.Logger, ed.metrics, nt.Process, st, ch, "source", "peer")
	}
}

var _ mesh.PermitIssuer = (*permits)(nil)
