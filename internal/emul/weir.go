package emul

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/limit"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// noticeDelay is the latency of a notice from one instance to another.
	noticeDelay = 2 * time.Millisecond
	// minNoticeTokens is the minimum number of uncached tokens for which an instance notifies its peers of a dispatch, as in internal/edge.
	minNoticeTokens = 1500
)

// weir is the placement that the router uses: each instance has a balancer, and the instances send each other notices of dispatches.
type weir struct {
	sim       *simulation
	service   *plan.Service
	balancers []*place.Balancer
	endpoints []*roster.Endpoint
	// issuer issues the permits for runners with rate limits.
	issuer *limit.Issuer
}

func newWeir(si *simulation) *weir {
	config := si.scenario.Runner
	we := &weir{sim: si, issuer: limit.NewIssuer(), service: &plan.Service{
		Name: "model", Slots: config.Slots, KVCapacityTokens: config.KVCapacityTokens, KVCopyRate: int64(config.CopyTokensPerMs * 1000),
	}}
	names := make([]string, si.scenario.Instances)
	for ix := range names {
		names[ix] = instanceName(ix)
	}
	for ix := range names {
		ba := place.NewBalancer()
		ba.SetSpill(spillConfig(si.scenario.Spill, ix))
		ba.SetInstances(si.scenario.Instances)
		ba.SetMembers(instanceName(ix), names)
		we.balancers = append(we.balancers, ba)
	}
	for _, ru := range si.runners {
		we.endpoints = append(we.endpoints, ru.endpoint)
	}
	return we
}

func (we *weir) pick(instance int, rq place.Request) choice {
	return we.pickFrom(instance, rq, we.endpoints)
}

// pickFrom chooses one of the listed endpoints.
func (we *weir) pickFrom(instance int, rq place.Request, list []*roster.Endpoint) choice {
	de := we.balancers[instance].Pick(we.sim.clock.now, we.service, list, rq)
	we.sendAsks(instance)
	if de.Endpoint == nil {
		return choice{retryAfter: de.RetryAfter}
	}
	ch := choice{runner: we.sim.runnersByID[de.Endpoint.ID], decision: de}
	if de.Source != nil {
		ch.source = we.sim.runnersByID[de.Source.ID]
	}
	return ch
}

func (we *weir) dispatch(instance int, rq place.Request, ch choice) attempt {
	clock := we.sim.clock
	if ch.decision.UncachedTokens >= minNoticeTokens {
		clock.at(clock.now+noticeDelay, func() { we.notifyPeers(instance, rq, ch.decision) })
	}
	return &balancerAttempt{
		weir: we, instance: instance, runner: ch.runner, attempt: we.balancers[instance].Begin(clock.now, we.service, rq, ch.decision),
	}
}

// notifyPeers records a dispatch of the instance with the index from in the balancers of all other instances.
func (we *weir) notifyPeers(from int, rq place.Request, de place.Decision) {
	for ix, ba := range we.balancers {
		if ix != from {
			ba.RecordPeerDispatch(we.sim.clock.now, de.Endpoint.ID, rq.PrefixID(), de.UncachedTokens)
		}
	}
}

// balancerAttempt passes the progress of a request on to the balancer of its instance.
type balancerAttempt struct {
	weir     *weir
	instance int
	runner   *runner
	attempt  *place.Attempt
}

func (ba *balancerAttempt) firstToken(now time.Duration, load place.Load) {
	ba.attempt.RecordResponse()
	ba.attempt.RecordLoad(now, load)
	ba.recordBrittleness(now)
	ba.weir.recordRateLimit(ba.instance, ba.attempt, ba.runner)
	ba.attempt.RecordFirstEvent(now)
	ba.attempt.RecordActivity(now)
}

func (ba *balancerAttempt) end(now time.Duration, completed bool) {
	if completed {
		ba.attempt.RecordActivity(now)
		ba.attempt.End(now, place.Answered)
		return
	}
	ba.attempt.End(now, place.Canceled)
}
