package gate

import (
	"context"
	"slices"
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
	// Record records the origin of a stream of the route. It is called before the first event is relayed.
	Record(ro *plan.Route, og origin.Origin)
	// Find returns the origin of a stream of the route, with its service, and what it is known from; without the latter it is not known. The key is zero if
	// the caller does not name the stream.
	Find(ctx context.Context, ro *plan.Route, key origin.Key) (og origin.Origin, source string)
}

// Builds tells at which builds of endpoints streams may begin.
type Builds interface {
	// Usable returns those endpoints of the service's list at which streams may begin that can be resumed.
	Usable(service string, list []*roster.Endpoint) []*roster.Endpoint
}

// findBuild sets the service and the build of the stream that the caller resumes. What two services or builds send does not fit together, so the request is
// refused if they are not known, or if the route does not lead to the service any more.
func (fw *forwarder) findBuild() error {
	pr := fw.request
	if !pr.route.Stream || pr.info.LastEvent <= 0 {
		return nil
	}
	key := origin.Key(0)
	if pr.info.Resumes != "" {
		key = origin.KeyOf(pr.team, pr.info.Resumes)
	}
	og, source := pr.gate.config.Origins.Find(fw.ctx, pr.route, key)
	if source == "" {
		pr.gate.config.Metrics.Counter("weir_stream_origins_unknown_total").Inc()
		return fault.New(fault.Overloaded, fault.NotRun, "the software version that began the stream is not known").WithRetryAfter(otherBuildRetryAfter)
	}
	pr.entry.buildSource = source
	if !slices.Contains(pr.route.Services(), og.Service) {
		return fault.New(fault.Overloaded, fault.NotRun, "the route does not lead to the service that began the stream").WithRetryAfter(otherBuildRetryAfter)
	}
	pr.setService(og.Service)
	fw.build.Store(&og.Build)
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
		pr.gate.config.Origins.Record(pr.route, origin.Origin{Key: origin.KeyOf(pr.team, pr.info.ID), Service: pr.service.Name, Build: build})
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
