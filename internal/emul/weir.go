package emul

import (
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// noticeDelay is the way of a notice from one instance to another.
	noticeDelay = 2 * time.Millisecond
	// leastNoticed is the number of unread tokens from which on instances tell each other, as in internal/edge.
	leastNoticed = 1500
)

// weir is the placement of instances: a board each, and notices between them.
type weir struct {
	world   *world
	service *plan.Service
	boards  []*place.Balancer
	list    []*roster.Endpoint
}

func newWeir(wo *world) *weir {
	config := wo.scenario.Runner
	we := &weir{world: wo, service: &plan.Service{
		Name: "model", Slots: config.Slots, KVCapacityTokens: config.Memory, KVCopyRate: int64(config.CopyTokensPerMs * 1000),
	}}
	for range wo.scenario.Instances {
		we.boards = append(we.boards, place.NewBalancer())
	}
	for _, ru := range wo.runners {
		we.list = append(we.list, ru.endpoint)
	}
	return we
}

func (we *weir) pick(at int, rq place.Request) choice {
	de := we.boards[at].Pick(we.world.clock.now, we.service, we.list, rq)
	if de.Endpoint == nil {
		return choice{retryAfter: de.RetryAfter}
	}
	ch := choice{runner: we.world.byID[de.Endpoint.ID], decision: de}
	if de.Source != nil {
		ch.source = we.world.byID[de.Source.ID]
	}
	return ch
}

func (we *weir) begin(at int, rq place.Request, ch choice) sending {
	clock := we.world.clock
	if ch.decision.UncachedTokens >= leastNoticed {
		clock.at(clock.now+noticeDelay, func() { we.tell(at, rq, ch.decision) })
	}
	return &boarded{send: we.boards[at].Begin(clock.now, we.service, rq, ch.decision)}
}

func (we *weir) tell(from int, rq place.Request, de place.Decision) {
	for ix, bo := range we.boards {
		if ix != from {
			bo.RecordPeerDispatch(we.world.clock.now, de.Endpoint.ID, rq.PrefixID(), de.UncachedTokens)
		}
	}
}

// boarded follows a request on the board of its instance.
type boarded struct {
	send *place.Attempt
}

func (bo *boarded) started(now time.Duration, load place.Load) {
	bo.send.RecordLoad(now, load)
	bo.send.RecordFirstEvent(now)
	bo.send.RecordActivity(now)
}

func (bo *boarded) ended(now time.Duration, whole bool) {
	if whole {
		bo.send.RecordActivity(now)
		bo.send.End(now, place.Answered)
		return
	}
	bo.send.End(now, place.Canceled)
}
