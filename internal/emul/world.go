package emul

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// settleTime is how long requests may take after the last arrival.
const settleTime = 15 * time.Second

// The IDs of the parts of prompts: kinds count from one, subjects from firstSubjectPart with room for subjectsOfKind of each kind, and what
// belongs to one request alone from firstOwnPart.
const (
	firstSubjectPart = 1_000_000_000
	subjectsOfKind   = 1_000_000
	firstOwnPart     = 1 << 40
)

// Config names what is played.
type Config struct {
	Scenario Scenario
	Policy   string
	Seed     uint64
}

// world is one play: the runners, the callers and a policy between them.
type world struct {
	scenario Scenario
	seed     uint64
	clock    *clock
	random   *rand.Rand
	runners  []*runner
	byID     map[string]*runner
	index    map[*runner]int
	policy   policy
	// own counts the parts that belong to one request alone.
	own    uint64
	visits []*visit
}

// visit is one request of a caller.
type visit struct {
	class Class
	// kind is the index of the class, subject what the request is about among those of its class.
	kind    int
	subject int
	begun   time.Duration
	// firstAt is when the first token came, or zero.
	firstAt time.Duration
	refused int
	whole   bool
	prompt  int64
}

// Play plays a scenario with a policy; the same configuration gives the same result.
func Play(config Config) (Result, error) {
	known := false
	for _, name := range Policies() {
		known = known || name == config.Policy
	}
	if !known {
		return Result{}, fmt.Errorf("there is no policy %q; the policies are %v", config.Policy, Policies())
	}
	wo := newWorld(config)
	for ix := range config.Scenario.Classes {
		wo.arriveNext(ix)
	}
	wo.clock.play(config.Scenario.Length + settleTime)
	return wo.result(config.Policy), nil
}

func newWorld(config Config) *world {
	sc := config.Scenario
	wo := &world{
		scenario: sc, seed: config.Seed, clock: &clock{}, random: rand.New(rand.NewPCG(config.Seed, 1)),
		byID: map[string]*runner{}, index: map[*runner]int{},
	}
	known := map[uint64]bool{}
	for ix := range sc.Runners {
		en := &roster.Endpoint{ID: fmt.Sprint("runner-", ix), Service: "model", Domain: domainName(ix % sc.Domains), Slots: sc.Runner.Slots}
		ru := newRunner(sc.Runner, en, wo.clock, known)
		wo.runners = append(wo.runners, ru)
		wo.byID[en.ID], wo.index[ru] = ru, ix
	}
	wo.policy = newPolicy(config.Policy, wo)
	return wo
}

func domainName(index int) string { return fmt.Sprint("domain-", index) }

// arriveNext lets the next request of a class arrive, and those after it.
func (wo *world) arriveNext(ix int) {
	cl := wo.scenario.Classes[ix]
	rate := cl.PerSecond * wo.scenario.factor(wo.clock.now)
	at := wo.clock.now + time.Duration(wo.random.ExpFloat64()*float64(time.Second)/rate)
	if at > wo.scenario.Length {
		return
	}
	wo.clock.at(at, func() {
		wo.arrive(ix)
		wo.arriveNext(ix)
	})
}

func (wo *world) arrive(ix int) {
	cl := wo.scenario.Classes[ix]
	subject := wo.random.IntN(cl.Subjects)
	if wo.scenario.Hot.Class == cl.Name && wo.random.Float64() < wo.scenario.Hot.Share {
		subject = 0
	}
	vi := &visit{class: cl, kind: ix, subject: subject, begun: wo.clock.now}
	vi.prompt = cl.KindTokens + cl.SubjectTokens + 1 + int64(wo.random.ExpFloat64()*cl.OwnTokens)
	wo.visits = append(wo.visits, vi)
	wo.try(vi)
}

// try sends a request through an instance; one that is refused returns once.
func (wo *world) try(vi *visit) {
	now, cl, at := wo.clock.now, vi.class, wo.random.IntN(wo.scenario.Instances)
	wo.own++
	rq := place.Request{
		Prompt: vi.prompt, Domain: domainName(at % wo.scenario.Domains), TimeLeft: cl.Patience, Rank: cl.Rank,
		Parts: []place.Part{
			{ID: uint64(vi.kind + 1), Tokens: cl.KindTokens},
			{ID: uint64(firstSubjectPart + vi.kind*subjectsOfKind + vi.subject), Tokens: cl.SubjectTokens},
			{ID: firstOwnPart + wo.own, Tokens: vi.prompt - cl.KindTokens - cl.SubjectTokens},
		},
	}
	ch := wo.policy.pick(at, rq)
	if ch.runner == nil {
		vi.refused++
		if vi.refused == 1 {
			wo.clock.at(now+ch.retryAfter, func() { wo.try(vi) })
		}
		return
	}
	se := wo.policy.begin(at, rq, ch)
	jo := &job{request: rq, output: 1 + int64(wo.random.ExpFloat64()*cl.Output)}
	jo.first = func(now time.Duration) {
		vi.firstAt = now
		se.started(now, ch.runner.load())
	}
	jo.done = func(now time.Duration) {
		vi.whole = true
		se.ended(now, true)
	}
	ch.runner.accept(jo, ch.source)
	wo.clock.at(now+cl.Patience, func() {
		if vi.firstAt == 0 {
			jo.left = true
			se.ended(wo.clock.now, false)
		}
	})
}
