package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// lossTick is the duration of one call to the store.
	lossTick = 4 * time.Millisecond
	// The times of the loop that keeps rows in step; see internal/edge.
	lossStepPause      = 60 * time.Millisecond
	lossStepInterval   = 500 * time.Millisecond
	lossHolderInterval = time.Second
	lossReadInterval   = 3 * time.Second
	lossConflictPause  = 300 * time.Millisecond
	lossRequestPause   = 80 * time.Millisecond
	lossRequestTries   = 3
)

// lossInstance is an instance with the state of the loop that keeps its rows in step.
type lossInstance struct {
	*testInstance
	nextStep time.Duration
	readAt   time.Duration
	returnAt time.Duration
	// batch is the batch whose append reaches the store in this tick.
	batch *Batch
}

// lossRequest is a request that is tried again at the time at, or settled then.
type lossRequest struct {
	at     time.Duration
	in     *lossInstance
	tokens int64
	tries  int
	waits  bool
}

// lossReplay simulates the load of one team in ticks of one store call, with the times of the real loop, until all instances lose power.
type lossReplay struct {
	instances int
	total     int64
	perSecond float64
	// length is the duration of the load; at its end all lose power for downFor, unless that is zero.
	length  time.Duration
	downFor time.Duration
	outage  [2]time.Duration
	seed    uint64
}

// lossTally is the outcome of a lossReplay, in tokens and calls.
type lossTally struct {
	served, refused int
	// left is what was not used at the loss, inFlight the reservations of requests in flight, which count as used, balances the unused tokens of
	// instances without a row, and lost what is left after the restart less than before, with balances.
	left, inFlight, balances, lost int64
	writes, reads                  int
}

type lossRun struct {
	lossReplay
	*simulation
	rd       *rand.Rand
	list     []*lossInstance
	waiting  []lossRequest
	inFlight []lossRequest
	// lending are the lenders that wait for a row until the time at.
	lending []lossRequest
	tally   lossTally
}

func (lr lossReplay) run(tt *testing.T) lossTally {
	si := &simulation{
		topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, lr.instances), total: lr.total, maxTotal: lr.total,
	}
	for ix := range lr.instances {
		si.members = append(si.members, fmt.Sprint("instance-", ix))
	}
	ru := &lossRun{lossReplay: lr, simulation: si, rd: rand.New(rand.NewPCG(lr.seed, 2)), list: make([]*lossInstance, lr.instances)}
	ru.startAll()
	const warmUp = 6 * time.Second
	ru.until(tt, warmUp, 0)
	ru.tally = lossTally{}
	ru.outage[0], ru.outage[1] = lr.outage[0]+warmUp, lr.outage[1]+warmUp
	ru.until(tt, warmUp+lr.length, lr.perSecond)
	ta := &ru.tally
	for _, op := range ru.inFlight {
		ta.inFlight += op.tokens
	}
	ta.left = lr.total - si.used
	for _, in := range ru.list {
		if ac := in.shard.account(testTeam); ac.inForce == nil {
			ta.balances += -ac.used()
		}
	}
	if lr.downFor == 0 {
		return *ta
	}
	si.now += lr.downFor
	ru.inFlight, ru.waiting, ru.lending = nil, nil, nil
	ru.startAll()
	result := *ta
	ru.until(tt, si.now+4*time.Second, 0)
	result.lost = result.left - si.unspent()
	return result
}

func (ru *lossRun) startAll() {
	for ix := range ru.list {
		ru.start(ix, 0)
		ru.list[ix] = &lossInstance{testInstance: ru.simulation.instances[ix], nextStep: ru.now + time.Duration(ru.rd.Int64N(int64(lossStepPause)))}
	}
}

// until runs the simulation until the given time, with the given number of requests a second.
func (ru *lossRun) until(tt *testing.T, end time.Duration, perSecond float64) {
	for ru.now < end {
		ru.now += lossTick
		down := ru.now >= ru.outage[0] && ru.now < ru.outage[1]
		for _, in := range ru.list {
			ru.topic.unreachable[in.index] = down
			in.tick(tt, ru)
		}
		ru.serve(perSecond)
		if ru.used > ru.maxTotal {
			tt.Fatalf("%d tokens are used, more than the total of %d", ru.used, ru.maxTotal)
		}
	}
}

// tick runs the part of the loop that falls into this tick: an append that was sent in the last one, or a read.
func (in *lossInstance) tick(tt *testing.T, ru *lossRun) {
	if in.batch != nil {
		ba := *in.batch
		in.batch = nil
		ru.tally.writes++
		in.nextStep = ru.now + lossStepInterval
		if in.view.Append(context.Background(), ba.Records) != nil {
			in.shard.Discard(ba)
			pause := lossConflictPause
			if in.shard.Waiting() {
				pause /= 10
			}
			in.nextStep = ru.now + time.Duration(ru.rd.Int64N(int64(pause)))
			return
		}
		in.shard.Confirm(ru.now, ba)
		return
	}
	if ru.now >= in.returnAt {
		in.returnAt = ru.now + lossStepInterval
		for _, su := range in.shard.ReleaseSurpluses(ru.now, ru.topic.unreachable[in.index], func(string) bool { return false }) {
			ru.list[slices.Index(ru.members, su.Holder)].shard.Receive(su.Team, su.Tokens)
		}
	}
	urgent := in.nextStep-ru.now < lossStepInterval-lossStepPause && len(in.shard.urgent) > 0
	if !urgent && ru.now < in.nextStep {
		return
	}
	select {
	case <-in.shard.Urgent():
	default:
	}
	in.nextStep = ru.now + lossStepInterval
	interval := lossReadInterval
	if in.shard.HasRow() || ru.now < time.Second {
		interval = lossHolderInterval
	}
	if in.readAt > 0 && ru.now-in.readAt < interval && !in.shard.Due(ru.now) {
		return
	}
	ru.tally.reads++
	if in.view.Poll(context.Background(), 0) != nil {
		return
	}
	in.readAt = ru.now
	ba, err := in.shard.Build(ru.now)
	if err != nil {
		tt.Fatal(err)
	}
	if !ba.Empty() {
		in.batch = &ba
	}
}

// serve settles the requests that end, and admits those that arrive or try again.
func (ru *lossRun) serve(perSecond float64) {
	ru.inFlight = slices.DeleteFunc(ru.inFlight, func(op lossRequest) bool {
		if op.at <= ru.now {
			cost := op.tokens * replayCostShare / percent
			op.in.shard.Settle(ru.now, testTeam, op.tokens, cost)
			ru.used -= op.tokens - cost
			return true
		}
		return false
	})
	ru.lending = slices.DeleteFunc(ru.lending, func(op lossRequest) bool {
		if op.at <= ru.now {
			op.in.shard.RemoveWaiter(testTeam, op.tokens)
			return true
		}
		return false
	})
	var due []lossRequest
	ru.waiting = slices.DeleteFunc(ru.waiting, func(op lossRequest) bool {
		if op.at <= ru.now {
			due = append(due, op)
			return true
		}
		return false
	})
	for expected := perSecond * lossTick.Seconds(); expected > 0; expected-- {
		if expected >= 1 || ru.rd.Float64() < expected {
			// The busiest instances get many times the requests of the others.
			ix := int(float64(ru.lossReplay.instances) * ru.rd.Float64() * ru.rd.Float64())
			due = append(due, lossRequest{in: ru.list[ix], tokens: replaySize(ru.rd)})
		}
	}
	for _, op := range due {
		ru.admit(op)
	}
}

func (ru *lossRun) admit(op lossRequest) {
	sh := op.in.shard
	if op.waits {
		sh.RemoveWaiter(testTeam, op.tokens)
		op.waits = false
	}
	result := sh.Reserve(ru.now, testTeam, op.tokens)
	if result == OverGrant || result == Uncertain || (result == OverCeiling && op.tries > 0) {
		result = ru.borrow(op)
	}
	switch {
	case result == Reserved:
		ru.used += op.tokens
		ru.tally.served++
		op.at = ru.now + replayRunTime
		ru.inFlight = append(ru.inFlight, op)
	case op.tries == lossRequestTries:
		ru.tally.refused++
	default:
		sh.AddWaiter(ru.now, testTeam, op.tokens)
		op.tries, op.waits, op.at = op.tries+1, true, ru.now+lossRequestPause
		ru.waiting = append(ru.waiting, op)
	}
}

func (ru *lossRun) borrow(op lossRequest) ReserveResult {
	sh := op.in.shard
	names, want := sh.Lenders(ru.now, testTeam, op.tokens, ru.rd.Float64)
	for _, name := range names {
		if want <= 0 {
			break
		}
		lender := ru.list[slices.Index(ru.members, name)]
		lent, capped := lender.shard.Lend(ru.now, testTeam, want)
		sh.Receive(testTeam, lent)
		want -= lent
		if capped && !ru.topic.unreachable[lender.index] {
			// The lender waits for its next row, which raises its ceiling; the borrower asks again when it tries again.
			lender.shard.AddWaiter(ru.now, testTeam, want)
			ru.lending = append(ru.lending, lossRequest{at: ru.now + lossRequestPause, in: lender, tokens: want})
		}
	}
	return sh.Reserve(ru.now, testTeam, op.tokens)
}

// sum adds up the tallies of several seeds.
func (ta *lossTally) sum(other lossTally) {
	ta.served, ta.refused = ta.served+other.served, ta.refused+other.refused
	ta.left, ta.balances, ta.lost = ta.left+other.left, ta.balances+other.balances, ta.lost+other.lost
	ta.writes, ta.reads = ta.writes+other.writes, ta.reads+other.reads
}

// TestPowerLoss bounds what a team loses when all instances lose power while the store is reachable, without the unused tokens of instances
// that have no row. An instance that spends through an outage of the store cannot lose less than its demand while it was down: 2.6 in 100 of
// what is left for each second of the shorter total.
func TestPowerLoss(tt *testing.T) {
	cases := []struct {
		instances int
		// totals is the team's total as a multiple of replayTotal, 38 s of demand at the loss or 200 s.
		totals  int64
		downFor time.Duration
		seeds   uint64
		maxLost float64
	}{
		{4, 1, time.Second, 6, 0.05},
		{4, 1, 3 * time.Second, 6, 0.095},
		{30, 1, time.Second, 6, 0.05},
		{30, 1, 3 * time.Second, 6, 0.095},
		{75, 1, time.Second, 3, 0.06},
		{75, 1, 3 * time.Second, 3, 0.115},
		{300, 1, time.Second, 1, 0.06},
		{4, 4, time.Second, 6, 0.03},
		{4, 4, 3 * time.Second, 6, 0.055},
		{30, 4, time.Second, 6, 0.03},
		{30, 4, 3 * time.Second, 6, 0.055},
		{75, 4, time.Second, 3, 0.03},
		{300, 4, time.Second, 1, 0.03},
	}
	for _, tc := range cases {
		tt.Run(fmt.Sprintf("%d instances, %d totals, down for %s", tc.instances, tc.totals, tc.downFor), func(tt *testing.T) {
			tt.Parallel()
			var sum lossTally
			spent := 0.0
			for seed := range tc.seeds {
				length := 12*time.Second + time.Duration(seed)*730*time.Millisecond
				spent += length.Seconds()
				sum.sum(lossReplay{
					instances: tc.instances, total: replayTotal * tc.totals, perSecond: replayPerSecond, length: length, downFor: tc.downFor, seed: seed,
				}.run(tt))
			}
			left := float64(sum.left)
			tt.Logf("lost: %.4f of what was left, balances of instances without a row: %.4f, appends a second: %.1f, reads a second: %.1f",
				float64(sum.lost-sum.balances)/left, float64(sum.balances)/left, float64(sum.writes)/spent, float64(sum.reads)/spent)
			if lost := float64(sum.lost - sum.balances); lost > tc.maxLost*left {
				tt.Errorf("%.4f of what was left is lost, want at most %.4f", lost/left, tc.maxLost)
			}
			if sum.refused*100 > sum.served {
				tt.Errorf("%d requests were refused and %d served while the store was reachable", sum.refused, sum.served)
			}
		})
	}
}

// TestOutageAfterFreshRows bounds refused requests when the store is unreachable for 9 s, with rows of the ages that the real loop leaves.
func TestOutageAfterFreshRows(tt *testing.T) {
	for _, instances := range []int{4, 30} {
		var sum lossTally
		for seed := range uint64(6) {
			sum.sum(lossReplay{
				instances: instances, total: replayTotal, perSecond: replayPerSecond, length: 22 * time.Second,
				outage: [2]time.Duration{8 * time.Second, 17 * time.Second}, seed: seed,
			}.run(tt))
		}
		tt.Logf("%d instances: %d of %d requests were refused", instances, sum.refused, sum.served+sum.refused)
		if sum.refused*100 > sum.served+sum.refused {
			tt.Errorf("%d instances: %d of %d requests were refused, want at most 1 in 100", instances, sum.refused, sum.served+sum.refused)
		}
	}
}
