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

// replay plays a load on one team through many instances, in steps of stepTime, with outages of the store for all of them.
type replay struct {
	instances int
	total     int64
	length    time.Duration
	// outages are the spans in which no instance reaches the store.
	outages [][2]time.Duration
	// arrives returns the instance at which the next request arrives.
	arrives func(rd *rand.Rand) int
	// perSecond is how many requests arrive in a second, and surgeFactor how many times as many within the surges.
	perSecond   int
	surges      [][2]time.Duration
	surgeFactor float64
	// killedAt is when all instances are killed, and downFor how long they are away; never where zero.
	killedAt time.Duration
	downFor  time.Duration
	seed     uint64
}

// tally is what became of the requests.
type tally struct {
	served  int
	refused int
	// borrowed counts the requests that needed tokens of a peer.
	borrowed int
	// lost is what counts as spent after the kill though it was not.
	lost int64
}

func (ta tally) refusedShare() float64 { return float64(ta.refused) / float64(ta.served+ta.refused) }

const (
	// The sizes of requests and what they cost are those of a day of the grown deployments: most are small, a few are large.
	replayRunTime   = 1500 * time.Millisecond
	replayCostShare = 70
)

func replaySize(rd *rand.Rand) int64 {
	if rd.IntN(5) == 0 {
		return 8000 + rd.Int64N(16_000)
	}
	return 600 + rd.Int64N(1800)
}

// running is a request that will be settled.
type running struct {
	ends   time.Duration
	holder *holder
	tokens int64
}

func (re replay) run(tt *testing.T) tally {
	rd := rand.New(rand.NewPCG(re.seed, 1))
	wo := &purseWorld{topic: &memTopic{cut: map[int]bool{}}, holders: make([]*holder, re.instances), total: re.total, most: re.total}
	var names []string
	for ix := range re.instances {
		wo.start(ix, 0)
		names = append(names, wo.holders[ix].purse.config.Instance)
	}
	for _, ho := range wo.holders {
		ho.purse.SetMembers(names)
	}
	var ta tally
	var list, waiting []running
	// The instances settle their first rows before callers come.
	const lead = 5 * time.Second
	for wo.now < lead+re.length {
		wo.now += stepTime
		down := within(re.outages, wo.now-lead)
		for ix, ho := range wo.holders {
			wo.topic.cut[ix] = down
			ho.replayStep(tt)
		}
		kept := list[:0]
		for _, ru := range list {
			if ru.ends > wo.now {
				kept = append(kept, ru)
				continue
			}
			ru.holder.settle(replayCostShare)
		}
		list = kept
		if re.killedAt > 0 && wo.now == lead+re.killedAt {
			// What ran is charged at its most: nobody knows how much of it was delivered.
			list = nil
			wo.now += re.downFor
			for ix := range wo.holders {
				wo.start(ix, 0)
				wo.holders[ix].purse.SetMembers(names)
			}
			for _, ho := range wo.holders {
				ho.replayStep(tt)
			}
			ta.lost = re.total - wo.used - wo.unspent()
		}
		if wo.now <= lead {
			continue
		}
		arrivals := float64(re.perSecond) * stepTime.Seconds()
		if within(re.surges, wo.now-lead) {
			arrivals *= re.surgeFactor
		}
		returning := waiting
		waiting = nil
		for ix := range len(returning) + int(arrivals) {
			var ru running
			if ix < len(returning) {
				ru = returning[ix]
			} else {
				ru = running{holder: wo.holders[re.arrives(rd)], tokens: replaySize(rd)}
			}
			switch {
			case ru.holder.replayRequest(ru.tokens, rd, &ta):
				ta.served++
				ru.ends = wo.now + replayRunTime
				list = append(list, ru)
			case ix < len(returning):
				ta.refused++
			default:
				// A request waits for a part of its objective, which is about one step.
				waiting = append(waiting, ru)
			}
		}
		if wo.used > wo.most {
			tt.Fatalf("%d tokens used of %d", wo.used, wo.most)
		}
	}
	return ta
}

// unspent returns what the rows leave to spend.
func (wo *purseWorld) unspent() int64 {
	ho := wo.holders[0]
	_ = ho.view.Poll(context.Background(), 0)
	sum := wo.total
	for _, row := range ho.purse.rows[propertyTeam] {
		sum -= row.row.Spent
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

// replayStep does what the loop of an instance does, with one more try after a conflict.
func (ho *holder) replayStep(tt *testing.T) {
	for range 2 {
		if ho.view.Poll(context.Background(), 0) != nil {
			return
		}
		ba, err := ho.purse.Build(ho.world.now)
		if err != nil {
			tt.Fatal(err)
		}
		if ba.Empty() {
			return
		}
		if ho.view.Append(context.Background(), ba.Records) == nil {
			ho.purse.Confirm(ho.world.now, ba)
			return
		}
		ho.purse.Discard(ba)
	}
}

// replayRequest reserves the tokens of a request, from the own grant or from the holders.
func (ho *holder) replayRequest(tokens int64, rd *rand.Rand, ta *tally) bool {
	now := ho.world.now
	if ho.purse.Reserve(now, propertyTeam, tokens) != Reserved {
		ta.borrowed++
		names, want := ho.purse.Lenders(now, propertyTeam, tokens, rd.Float64)
		for _, name := range names {
			var index int
			if _, err := fmt.Sscanf(strings.TrimPrefix(name, "instance-"), "%d", &index); err != nil || want <= 0 {
				break
			}
			given, _ := ho.world.holders[index].purse.Lend(now, propertyTeam, want)
			ho.purse.Receive(propertyTeam, given)
			want -= given
		}
		if ho.purse.Reserve(now, propertyTeam, tokens) != Reserved {
			return false
		}
	}
	ho.reserved = append(ho.reserved, tokens)
	ho.world.used += tokens
	return true
}

// TestReplayKill kills all instances at once and replays what of the team's total that costs: what a ceiling allows ahead of need is
// written off.
func TestReplayKill(tt *testing.T) {
	const total = replayTotal
	cases := []struct {
		name     string
		killedAt time.Duration
		downFor  time.Duration
		outages  [][2]time.Duration
		// mostLost is a share of what was left.
		mostLost float64
	}{
		{"early", 8 * time.Second, 1400 * time.Millisecond, nil, 0.15},
		{"late", 28 * time.Second, 1400 * time.Millisecond, nil, 0.15},
		{"away for long", 15 * time.Second, 8 * time.Second, nil, 0.7},
		{"within an outage", 15 * time.Second, 1400 * time.Millisecond, [][2]time.Duration{{11 * time.Second, 15 * time.Second}}, 0.5},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			for seed := range uint64(6) {
				ta := replay{
					instances: replayInstances, total: total, length: tc.killedAt + stepTime, arrives: everywhere, perSecond: replayPerSecond, killedAt: tc.killedAt,
					downFor: tc.downFor, seed: seed, outages: tc.outages,
				}.run(tt)
				left := float64(total) * (1 - tc.killedAt.Seconds()/40*3/4)
				tt.Logf("%.3f of what was left is lost", float64(ta.lost)/left)
				if float64(ta.lost) > tc.mostLost*left {
					tt.Errorf("seed %d: lost %d of %.0f", seed, ta.lost, left)
				}
			}
		})
	}
}

var _ keyed.Listener = (*holder)(nil)

// loadCase is a load against which the division of a total is made, with more tokens than it needs, so that every refusal is a false one.
type loadCase struct {
	name    string
	total   int64
	arrives func(rd *rand.Rand) int
	outages [][2]time.Duration
	surges  [][2]time.Duration
	// mostRefused and mostBorrowed are shares of all requests.
	mostRefused  float64
	mostBorrowed float64
}

const (
	replayInstances   = 12
	replayPerSecond   = 20
	replaySurgeFactor = 2.6
	// replayTotal is a third more than the load needs; a request costs some 3,100 tokens on average.
	replayTotal = 40 * replayPerSecond * 3100 * 4 / 3
	// replaySurplus is what two surges need beyond that.
	replaySurplus = 12 * replayPerSecond * 3100 * (replaySurgeFactor - 1)
)

var (
	storeAwayTwice = [][2]time.Duration{{6 * time.Second, 14 * time.Second}, {24 * time.Second, 32 * time.Second}}
	surgesWithin   = [][2]time.Duration{{7 * time.Second, 13 * time.Second}, {25 * time.Second, 31 * time.Second}}
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
		if ta.refusedShare() > lc.mostRefused || borrowed > lc.mostBorrowed {
			tt.Errorf("seed %d: %d of %d refused, %d borrowed", seed, ta.refused, ta.served+ta.refused, ta.borrowed)
		}
	}
}

// TestReplay plays the usual load, with and without outages of the store.
func TestReplay(tt *testing.T) {
	cases := []loadCase{
		{"callers everywhere", replayTotal, everywhere, nil, nil, 0.01, 1},
		{"callers at the first instance", replayTotal, only(0), nil, nil, 0.01, 0.1},
		{"callers at the sixth instance", replayTotal, only(5), nil, nil, 0.01, 0.1},
		{"callers at the first instance, the store away twice", replayTotal, only(0), storeAwayTwice, nil, 0.03, 0.2},
		{"callers at the sixth instance, the store away twice", replayTotal, only(5), storeAwayTwice, nil, 0.03, 0.2},
		{"callers everywhere, the store away twice", replayTotal, everywhere, storeAwayTwice, nil, 0.03, 1},
	}
	for _, lc := range cases {
		tt.Run(lc.name, lc.run)
	}
}

// TestReplaySurge plays a surge whenever the store is away. Ceilings that serve it cost more than 3 in 100 of a total when all instances lose
// power, so it is not met yet.
func TestReplaySurge(tt *testing.T) {
	cases := []loadCase{
		{"callers everywhere", replayTotal + replaySurplus, everywhere, storeAwayTwice, surgesWithin, 0.03, 1},
		{"callers at the first instance", replayTotal + replaySurplus, only(0), storeAwayTwice, surgesWithin, 0.03, 1},
	}
	for _, lc := range cases {
		tt.Run(lc.name, lc.run)
	}
}
