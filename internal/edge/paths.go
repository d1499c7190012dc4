package edge

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/reach"
	"github.com/clementineweir/clementineweir/pkg/shed"
)

const (
	// pathInterval is the interval at which the path to the endpoints is checked.
	pathInterval = 100 * time.Millisecond
)

// paths opens connections to endpoints, through peers while this instance reaches none itself. Peers are asked to open direct connections only, so that
// no connection goes in circles.
type paths struct {
	edge    *Edge
	direct  conns.DirectDialer
	tracker *reach.Tracker
	probes  probes
	// cutAt is the time at which the link was last found cut; it is used by the loop alone.
	cutAt time.Duration
	// reported is whether the link counted as cut when the loop last looked.
	reported bool
}

func newPaths(ed *Edge) *paths { return &paths{edge: ed, tracker: reach.New()} }

// Dial opens a connection to an endpoint; it implements conns.Dialer.
func (pa *paths) Dial(ctx context.Context, endpoint, address string) (net.Conn, string, error) {
	nc, peer, err := pa.dial(ctx, endpoint, address)
	return pa.edge.reads.count(nc, shed.Endpoints), peer, err
}

// dial opens a connection to an endpoint, directly or through a peer.
func (pa *paths) dial(ctx context.Context, endpoint, address string) (net.Conn, string, error) {
	if !pa.tracker.Cut() {
		nc, err := pa.dialDirect(ctx, endpoint, address)
		if err == nil || ctx.Err() != nil || !pa.tracker.Cut() {
			return nc, "", err
		}
	}
	return pa.relay(ctx, endpoint, address)
}

// relay opens a connection to an endpoint through a peer.
func (pa *paths) relay(ctx context.Context, endpoint, _ string) (net.Conn, string, error) {
	domain := ""
	if en, ok := pa.edge.roster.Endpoint(endpoint); ok {
		domain = en.Domain
	}
	nc, peer, err := pa.edge.mesh.Relay(ctx, endpoint, domain)
	if err != nil {
		pa.edge.metrics.Counter("weir_relays_failed_total").Inc()
		return nil, "", eris.Wrap(err, "this instance reaches no endpoint itself")
	}
	pa.edge.metrics.Counter("weir_connections_through_peers_total").Inc()
	return nc, peer, nil
}

// dialDirect opens a direct connection and records whether that was possible.
func (pa *paths) dialDirect(ctx context.Context, endpoint, address string) (net.Conn, error) {
	nc, _, err := pa.direct.Dial(ctx, endpoint, address)
	switch {
	case err == nil:
		pa.tracker.Connected()
	case ctx.Err() == nil && pa.tracker.DialFailed(pa.edge.config.Clock(), endpoint, pa.edge.roster.UsableCount()):
		pa.confirmCut(endpoint)
	}
	return nc, err
}

// Silent implements conns.Dialer and gate.Link.
func (pa *paths) Silent() bool { return pa.tracker.Silent(pa.edge.config.Clock()) }

// Sent implements conns.Dialer.
func (pa *paths) Sent(endpoint string) (done func()) {
	return pa.tracker.Sent(pa.edge.config.Clock(), endpoint)
}

// Received implements conns.Dialer.
func (pa *paths) Received(endpoint string) { pa.tracker.Received(pa.edge.config.Clock(), endpoint) }

// LinkCut reports whether this instance reaches no endpoint itself.
func (pa *paths) LinkCut() bool { return pa.tracker.Cut() }

// DialFor opens a direct connection to an endpoint for a peer; it implements mesh.EndpointDialer.
func (pa *paths) DialFor(ctx context.Context, endpoint string) (net.Conn, error) {
	en, ok := pa.edge.roster.Endpoint(endpoint)
	switch {
	case pa.edge.Draining():
		return nil, eris.New("the instance is shutting down")
	case !ok || pa.edge.roster.Leaving(en):
		return nil, eris.Wrapf(mesh.ErrEndpoint, "the endpoint %q gets no new requests", endpoint)
	case pa.tracker.Cut():
		return nil, eris.New("this instance reaches no endpoint itself")
	}
	nc, err := pa.dialDirect(ctx, endpoint, en.Address)
	if err != nil && !pa.tracker.Cut() {
		return nil, eris.Wrapf(mesh.ErrEndpoint, "connect to the endpoint %q: %s", endpoint, err)
	}
	return pa.edge.reads.count(nc, shed.Peers), err
}

// run checks the path to the endpoints until the context ends.
func (pa *paths) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, pathInterval)
		now := pa.edge.config.Clock()
		if pa.tracker.Check(now) {
			pa.edge.balancer.ForgetLoad(now)
		}
		if pa.tracker.TakeProbe(now) && pa.probeAny(ctx, "", pa.direct.Dial) {
			pa.tracker.Recovered(pa.edge.config.Clock())
			pa.edge.balancer.ForgetLoad(pa.edge.config.Clock())
		}
		pa.report(now)
	}
	return nil
}

// report logs that the link to the endpoints was lost or regained.
func (pa *paths) report(now time.Duration) {
	cut := pa.tracker.Cut()
	if cut == pa.reported {
		return
	}
	pa.reported = cut
	lo := pa.edge.config.Logger
	if cut {
		pa.cutAt = now
		lo.Info("dependency lost", "dependency", "endpoints", "reason", "this instance reaches none of them", "silent", pa.tracker.Silent(now))
		return
	}
	lo.Info("dependency regained", "dependency", "endpoints", "away", (now - pa.cutAt).Seconds())
}

var _ conns.Dialer = (*paths)(nil)
