package gate

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/origin"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// otherBuildRetryAfter is the Retry-After delay if a stream cannot be resumed now. An endpoint of its build may return, or a peer that knows it.
const otherBuildRetryAfter = time.Second

// Origins knows which builds of endpoints began streams.
type Origins interface {
	// Record records the build that begins a stream of the service. It is called before the first event is relayed.
	Record(service string, og origin.Origin)
	// Find returns the build that began a stream of the service and what it is known from, or empty strings. The key is zero if the caller does not name
	// the stream.
	Find(ctx context.Context, service string, key origin.Key) (build, source string)
}

// Builds tells at which builds of endpoints streams may begin.
type Builds interface {
	// Usable returns those endpoints of the service's list at which streams may begin that can be resumed.
	Usable(service string, list []*roster.Endpoint) []*roster.Endpoint
}

// findBuild sets the build of the stream that the caller resumes. What two builds send does not fit together, so the request is refused if the build is
// not known.
func (fw *forwarder) findBuild() error {
	pr := fw.request
	if !pr.route.Stream || pr.info.LastEvent <= 0 {
		return nil
	}
	key := origin.Key(0)
	if pr.info.Resumes != "" {
		key = origin.KeyOf(pr.team, pr.info.Resumes)
	}
	build, source := pr.gate.config.Origins.Find(fw.ctx, pr.service.Name, key)
	if build == "" {
		pr.gate.config.Metrics.Counter("weir_stream_origins_unknown_total").Inc()
		return fault.New(fault.Overloaded, fault.NotRun, "the software version that began the stream is not known").WithRetryAfter(otherBuildRetryAfter)
	}
	pr.entry.buildSource = source
	fw.build.Store(&build)
	return nil
}

// fixBuild is called when the first part of a response is about to be relayed: from then on, the stream stays with the build of the endpoint.
func (fw *forwarder) fixBuild() {
	pr := fw.request
	if !pr.route.Stream || fw.endpoint == nil || fw.build.Load() != nil {
		return
	}
	build := fw.endpoint.Build()
	fw.build.Store(&build)
	if pr.route.RetrySafety == plan.Resumable {
		pr.gate.config.Origins.Record(pr.service.Name, origin.Origin{Key: origin.KeyOf(pr.team, pr.info.ID), Build: build})
	}
}

// pick chooses an endpoint, one of the build that began the stream if it has begun. tried are the endpoints that may not be chosen again.
func (fw *forwarder) pick(tried []string) place.Decision {
	pr := fw.request
	cf := pr.gate.config
	list := cf.Roster.Usable(pr.service.Name)
	build := fw.build.Load()
	registered := len(list)
	switch {
	case build != nil:
		list = roster.OfBuild(list, *build)
	case pr.route.Stream && pr.route.RetrySafety == plan.Resumable:
		list = cf.Builds.Usable(pr.service.Name, list)
	}
	rq := pr.placement(tried)
	rq.Resumed = rq.Resumed || build != nil
	de := cf.Board.Pick(pr.now(), pr.service, list, rq)
	pr.logSpill(de.Spill)
	switch {
	case build != nil && len(list) == 0:
		de.Reason, de.RetryAfter = "no endpoint has the software version that began the stream", otherBuildRetryAfter
	case len(list) == 0 && registered > 0:
		de.Reason, de.RetryAfter = "streams may not begin yet at the software versions that are registered", otherBuildRetryAfter
	}
	return de
}

// fits reports whether the stream may go on at the endpoint.
func (fw *forwarder) fits(en *roster.Endpoint) bool {
	build := fw.build.Load()
	return build == nil || en.Build() == *build
}
