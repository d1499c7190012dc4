package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/mesh/meshpb"
	"github.com/clementineweir/clementineweir/pkg/limit"
)

// IssuedGrant is the answer to an ask for permits.
type IssuedGrant struct {
	limit.Grant
	// Issuer is the name of the instance that issued the permits.
	Issuer string
}

// PermitIssuer answers the asks of instances for permits.
type PermitIssuer interface {
	// IssuePermits returns one grant for each ask of the named instance. Asks that another instance should answer are passed on to it unless
	// forwarded is set.
	IssuePermits(ctx context.Context, instance string, asks []limit.Ask, forwarded bool) []IssuedGrant
	// RateLimits returns the rate limits that this instance knows of, in requests a second by process.
	RateLimits() map[string]float64
}

// Issuer returns the name of the instance that issues the permits for a process of an endpoint: by rendezvous hashing, one of the instances that
// are not in backoff. All instances with the same view of the fleet agree on it.
func (me *Mesh) Issuer(process string) string {
	me.mu.Lock()
	defer me.mu.Unlock()
	now := me.config.Clock()
	best, highest := me.config.Self.Name, memberWeight(me.config.Self.Name, process)
	for name, pe := range me.peers {
		if !pe.member.IssuesPermits || now < pe.backoffUntil {
			continue
		}
		if weight := memberWeight(name, process); weight > highest || (weight == highest && name < best) {
			best, highest = name, weight
		}
	}
	return best
}

// memberWeight returns the weight of an instance in the choice of those in charge of something, by rendezvous hashing.
func memberWeight(instance, something string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + something)
}

// AskPermits sends asks of the named instance to a peer and returns one grant for each. A peer that does not respond goes into backoff.
func (me *Mesh) AskPermits(ctx context.Context, name, instance string, asks []limit.Ask, forwarded bool) ([]IssuedGrant, error) {
	me.mu.Lock()
	pe, ok := me.peers[name]
	me.mu.Unlock()
	if !ok {
		return nil, ErrNoPeer
	}
	rq := &meshpb.PermitsRequest{Instance: instance, Forwarded: forwarded}
	for _, ask := range asks {
		rq.Asks = append(rq.Asks, &meshpb.PermitAsk{
			Process: ask.Process, PerSecond: ask.PerSecond, Permits: int64(ask.Permits), HandoverUs: ask.WithIssuer(name).Handover.Microseconds(),
		})
	}
	var out []IssuedGrant
	err := me.tryPeers(ctx, []*peer{pe}, 0, func(ctx context.Context, pe *peer) error {
		rs, err := pe.client.Permits(ctx, rq)
		if err != nil {
			return err
		}
		out = decodeGrants(rs.GetGrants())
		return nil
	})
	if err == nil && len(out) != len(asks) {
		return nil, eris.Errorf("the peer answered %d of %d asks for permits", len(out), len(asks))
	}
	return out, err
}

func decodeGrants(list []*meshpb.PermitGrant) []IssuedGrant {
	out := make([]IssuedGrant, 0, len(list))
	for _, gr := range list {
		out = append(out, IssuedGrant{Issuer: gr.GetIssuer(), Grant: limit.Grant{
			Permits: int(gr.GetPermits()), Wait: time.Duration(gr.GetWaitUs()) * time.Microsecond, Retry: time.Duration(gr.GetRetryUs()) * time.Microsecond,
		}})
	}
	return out
}

// Permits answers the asks of a peer for permits.
func (se *server) Permits(ctx context.Context, rq *meshpb.PermitsRequest) (*meshpb.PermitsResponse, error) {
	asks := make([]limit.Ask, 0, len(rq.GetAsks()))
	for _, ask := range rq.GetAsks() {
		asks = append(asks, limit.Ask{
			Process: ask.GetProcess(), PerSecond: ask.GetPerSecond(), Permits: int(ask.GetPermits()),
			Handover: time.Duration(ask.GetHandoverUs()) * time.Microsecond,
		})
	}
	rs := &meshpb.PermitsResponse{}
	for _, gr := range se.config.Permits.IssuePermits(ctx, rq.GetInstance(), asks, rq.GetForwarded()) {
		rs.Grants = append(rs.Grants, &meshpb.PermitGrant{
			Permits: int64(gr.Permits), WaitUs: gr.Wait.Microseconds(), RetryUs: gr.Retry.Microseconds(), Issuer: gr.Issuer,
		})
	}
	return rs, nil
}

// RateLimits returns the rate limits that the first responding peer knows of, in requests a second by process.
func (me *Mesh) RateLimits(ctx context.Context) (map[string]float64, error) {
	var out map[string]float64
	err := me.tryPeers(ctx, me.candidates(nil, maxRelays), 0, func(ctx context.Context, pe *peer) error {
		rs, err := pe.client.RateLimits(ctx, &meshpb.RateLimitsRequest{})
		if err != nil {
			return err
		}
		out = make(map[string]float64, len(rs.GetLimits()))
		for _, rl := range rs.GetLimits() {
			out[rl.GetProcess()] = rl.GetPerSecond()
		}
		return nil
	})
	return out, err
}

// RateLimits answers a peer that has just started.
func (se *server) RateLimits(context.Context, *meshpb.RateLimitsRequest) (*meshpb.RateLimitsResponse, error) {
	rs := &meshpb.RateLimitsResponse{}
	for process, perSecond := range se.config.Permits.RateLimits() {
		rs.Limits = append(rs.Limits, &meshpb.RateLimit{Process: process, PerSecond: perSecond})
	}
	return rs, nil
}
