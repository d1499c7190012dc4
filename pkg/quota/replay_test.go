package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// replay simulates the load of one team on many instances, in steps of stepTime, with outages of the store for all of them.
type replay struct {
	// instances is the number of instances.
	instances int
	// total is the prepaid total of the team in tokens.
	total int64
	// length is the duration of the load.
	length time.Duration
	// outages are the spans in which no instance reaches the store.
	outages [][2]time.Duration
	// arrives returns the instance at which the next request arrives.
	arrives func(rd *rand.Rand) int
	// perSecond is the number of requests that arrive in a second; within the surges it is multiplied by surgeFactor.
	perSecond   int
	surges      [][2]time.Duration
	surgeFactor float64
	// killedAt is the time at which all instances are killed, zero for never. They are restarted after downFor.
	killedAt time.Duration
	downFor  time.Duration
	seed     uint64
}

// tally counts the requests by their outcome.
type tally struct {
	served  int
	refused int
	// borrowed counts the calls of replayRequest that had to ask peers for tokens; a request that waited can count twice.
	borrowed int
	// writtenOff is the number of tokens that count as spent after the kill although they were not spent.
	writtenOff int64
}

func (ta tally) refusedShare() float64 { return float64(ta.refused) / float64(ta.served+ta.refused) }

const (
	// The sizes of requests (see replaySize) and their costs are those of a day of the large deployments: most are small, a few are large.
	replayRunTime   = 1500 * time.Millisecond
	replayCostShare = 70
)

func replaySize(rd *rand.Rand) int64 {
	if rd.IntN(5) == 0 {
		return 8000 + rd.Int64N(16_000)
	}
	return 600 + rd.Int64N(1800)
}

// openRequest is a request that waits for tokens or is in flight.
type openRequest struct {
	// ends is the time at which the request in flight is settled.
	ends     time.Duration
	instance *testInstance
	tokens   int64
}

func (re replay) run(tt *testing.T) tally {
	rd := rand.New(rand.NewPCG(re.seed, 1))
	si := &simulation{
		topic: &memTopic{unreachable: map[int]bool{}}, instances: make([]*testInstance, re.instances), total: re.total, maxTotal: re.total,
	}
	var names []string
	for ix := range re.instances {
		si.start(ix, 0)
		names = append(names, si.instances[ix].shard.config.Instance)
	}
	for _, in := range si.instances {
		in.shard.SetMembers(names)
	}
	var ta tally
	var inFlight, waiting []openRequest
	// During warmUp no requests arrive, so that the instances can divide the team's tokens first.
	const warmUp = 5 * time.Second
	for si.now < warmUp+re.length {
		si.now += stepTime
		down := within(re.outages, si.now-warmUp)
		for ix, in := range si.instances {
			si.topic.unreachable[ix] = down
			in.replayStep(tt)
		}
		unfinished := inFlight[:0]
		for _, op := range inFlight {
			if op.ends > si.now {
				unfinished = append(unfinished, op)
				continue
			}
			op.instance.settle(replayCostShare)
		}
		inFlight = unfinished
		if re.killedAt > 0 && si.now == warmUp+re.killedAt {
			// Requests in flight at the kill are charged in full, since it is not known how much was delivered.
			inFlight = nil
			si.now += re.downFor
			for ix := range si.instances {
				si.start(ix, 0)
				si.instances[ix].shard.SetMembers(names)
			}
			for _, in := range si.instances {
				in.replayStep(tt)
			}
			ta.writtenOff = re.total - si.used - si.unspent()
		}
		if si.now <= warmUp {
			continue
		}
		arrivals := float64(re.perSecond) * stepTime.Seconds()
		if within(re.surges, si.now-warmUp) {
			arrivals *= re.surgeFactor
		}
		retried := waiting
		waiting = nil
		for ix := range len(retried) + int(arrivals) {
			var op openRequest
			if ix < len(retried) {
				op = retried[ix]
			} else {
				op = openRequest{instance: si.instances[re.arrives(rd)], tokens: replaySize(rd)}
			}
			switch {
			case op.instance.replayRequest(op.tokens, rd, &ta):
				ta.served++
				op.ends = si.now + replayRunTime
				inFlight = append(inFlight, op)
			case ix < len(retried):
				ta.refused++
			default:
				// A request waits for tokens for about one step, a part of its latency target, and then tries to reserve once more.
				waiting = append(waiting, op)
			}
		}
		if si.used > si.maxTotal {
			tt.Fatalf("%d tokens are used, more than the total of %d", si.used, si.maxTotal)
		}
	}
	return ta
}

// unspent returns the part of the total that is unspent according to the rows.
func (si *simulation) unspent() int64 {
	in := si.instances[0]
	_ = in.view.Poll(context.Background(), 0)
	sum := si.total
	for _, row := range in.shard.rows[testTeam] {
		sum -= row.row.statedUse()
	}
	return sum
}

func within(spans [][2]time.Duration, at time.Duration) bool {
	for _, sp := range spans {
		if at >= sp[0] && at < sp[1] {
			return true
		}
	}
	return false
}

// replayStep runs one iteration of an instance's loop, and retries once after a conflict.
func (in *testInstance) replayStep(tt *testing.T) {
	for range 2 {
		if in.view.Poll(context.Background(), 0) != nil {
			return
		}
		ba, err := in.shard.Build(in.sim.now)
		if err != nil {
			tt.Fatal(err)
		}
		if ba.Empty() {
			return
		}
		if in.view.Append(context.Background(), ba.Records) == nil {
			in.shard.Confirm(in.sim.now, ba)
			return
		}
		in.shard.Discard(ba)
	}
}

// replayRequest reserves the tokens of a request and reports whether that succeeded. If this instance's grant or ceiling does not cover
// them, it borrows from peers first.
func (in *testInstance) replayRequest(tokens int64, rd *rand.Rand, ta *tally) bool {
	now := in.sim.now
	if in.shard.Reserve(now, testTeam, tokens) != Reserved {
		ta.borrowed++
		names, want := in.shard.Lenders(now, testTeam, tokens, rd.Float64)
		for _, name := range names {
			var index int
			if _, err := fmt.Sscanf(strings.TrimPrefix(name, "instance-"), "%d", &index); err != nil || want <= 0 {
				break
			}
			lent, _ := in.sim.instances[index].shard.Lend(now, testTeam, want)
			in.shard.Receive(testTeam, lent)
			want -= lent
		}
		if in.shard.Reserve(now, testTeam, tokens) != Reserved {
			return false
		}
	}
	in.reserved = append(in.reserved, tokens)
	in.sim.used += tokens
	return true
}

// TestReplayKill kills all instances at once and bounds the tokens that the team loses. The next incarnations write off the difference
// between the ceilings and the tokens spent.
func TestReplayKill(tt *testing.T) {
	const total = replayTotal
	cases := []struct {
		name     string
		killedAt time.Duration
		downFor  time.Duration
		outages  [][2]time.Duration
		// maxWrittenOff is a share of the tokens that remained before the kill.
		maxWrittenOff float64
	}{
		{"early", 8 * time.Second, 1400 * time.Millisecond, nil, 0.15},
		{"late", 28 * time.Second, 1400 * time.Millisecond, nil, 0.15},
		{"down for long", 15 * time.Second, 8 * time.Second, nil, 0.7},
		{"during an outage", 15 * time.Second, 1400 * time.Millisecond, [][2]time.Duration{{11 * time.Second, 15 * time.Second}}, 0.5},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			for seed := range uint64(6) {
				ta := replay{
					instances: replayInstances, total: total, length: tc.killedAt + stepTime, arrives: everywhere, perSecond: replayPerSecond,
					killedAt: tc.killedAt, downFor: tc.downFor, seed: seed, outages: tc.outages,
				}.run(tt)
				remaining := float64(total) * (1 - tc.killedAt.Seconds()/40*3/4)
				tt.Logf("written off: %.3f of the remaining tokens", float64(ta.writtenOff)/remaining)
				if float64(ta.writtenOff) > tc.maxWrittenOff*remaining {
					tt.Errorf("seed %d: too many tokens were written off: %d of the %.0f that remained", seed, ta.writtenOff, remaining)
				}
			}
		})
	}
}

var _ keyed.Listener = (*testInstance)(nil)

// loadCase is a load for the replay. The total is larger than the load needs, so every refusal is due to the division into grants.
type loadCase struct {
	name    string
	total   int64
	arrives func(rd *rand.Rand) int
	outages [][2]time.Duration
	surges  [][2]time.Duration
	// maxRefused and maxBorrowed are shares of all requests.
	maxRefused  float64
	maxBorrowed float64
}

const (
	replayInstances   = 12
	replayPerSecond   = 20
	replaySurgeFactor = 2.6
	// replayTotal is a third more than the load needs; a request costs about 3,100 tokens on average.
	replayTotal = 40 * replayPerSecond * 3100 * 4 / 3
	// replaySurplus is the number of tokens that the two surges need in addition to replayTotal.
	replaySurplus = 12 * replayPerSecond * 3100 * (replaySurgeFactor - 1)
)

var (
	twoOutages      = [][2]time.Duration{{6 * time.Second, 14 * time.Second}, {24 * time.Second, 32 * time.Second}}
	surgesInOutages = [][2]time.Duration{{7 * time.Second, 13 * time.Second}, {25 * time.Second, 31 * time.Second}}
)

func everywhere(rd *rand.Rand) int { return rd.IntN(replayInstances) }

func only(at int) func(*rand.Rand) int { return func(*rand.Rand) int { return at } }

func (lc loadCase) run(tt *testing.T) {
	for seed := range uint64(6) {
		ta := replay{
			instances: replayInstances, total: lc.total, length: 40 * time.Second, outages: lc.outages, arrives: lc.arrives, perSecond: replayPerSecond,
			surges: lc.surges, surgeFactor: replaySurgeFactor, seed: seed,
		}.run(tt)
		borrowed := float64(ta.borrowed) / float64(ta.served+ta.refused)
		if ta.refusedShare() > lc.maxRefused || borrowed > lc.maxBorrowed {
			tt.Errorf("seed %d: too many requests were refused (%d of %d) or had to borrow (%d)", seed, ta.refused, ta.served+ta.refused, ta.borrowed)
		}
	}
}

// TestReplay bounds refused requests under the usual load, with and without outages of the store.
func TestReplay(tt *testing.T) {
	cases := []loadCase{
		{"callers everywhere", replayTotal, everywhere, nil, nil, 0.01, 1},
		{"callers at the first instance", replayTotal, only(0), nil, nil, 0.01, 0.1},
		{"callers at the sixth instance", replayTotal, only(5), nil, nil, 0.01, 0.1},
		{"callers at the first instance, two outages of the store", replayTotal, only(0), twoOutages, nil, 0.03, 0.2},
		{"callers at the sixth instance, two outages of the store", replayTotal, only(5), twoOutages, nil, 0.03, 0.2},
		{"callers everywhere, two outages of the store", replayTotal, everywhere, twoOutages, nil, 0.03, 1},
	}
	for _, lc := range cases {
		tt.Run(lc.name, lc.run)
	}
}

// TestReplaySurge bounds refused requests when the load surges while the store is unreachable. It fails, see KNOWN-RED.txt: ceilings that
// serve the surge cost more than 3 in 100 of a total when all instances lose power.
func TestReplaySurge(tt *testing.T) {
	cases := []loadCase{
		{"callers everywhere", replayTotal + replaySurplus, everywhere, twoOutages, surgesInOutages, 0.03, 1},
		{"callers at the first instance", replayTotal + replaySurplus, only(0), twoOutages, surgesInOutages, 0.03, 1},
	}
	for _, lc := range cases {
		tt.Run(lc.name, lc.run)
	}
}
