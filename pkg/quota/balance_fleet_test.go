package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	fleetTick   = 20 * time.Millisecond
	fleetShards = 8
	fleetTeams  = 24
	// fleetReadyAt is the time after the start of the instances at which the usual load begins, and fleetHotAt that at which the hot teams
	// begin to send more; fleetLength is the length of a run.
	fleetReadyAt = time.Second
	fleetHotAt   = 8 * time.Second
	fleetLength  = 28 * time.Second
	// fleetUsual is the usual number of requests a second of a team, and fleetCallers the number of instances that its callers use.
	fleetUsual   = 2.5
	fleetCallers = 5
	// fleetWait is the time that a request waits for tokens.
	fleetWait = 160 * time.Millisecond
	// fleetAnnounce is the time between the announcements of two instances that start together.
	fleetAnnounce = 20 * time.Millisecond
)

// fleetHot are the factors of the hot teams; the other teams send as usual.
var fleetHot = []float64{8, 6, 4, 3}

// fleet simulates instances with the real shards and the loads of many teams. Calls between instances take no time.
type fleet struct {
	*testing.T
	ahead     bool
	outage    [2]time.Duration
	rd        *rand.Rand
	now       time.Duration
	topics    []*memTopic
	instances []*fleetInstance
	totals    map[string]int64
	spent     map[string]int64
	reserved  map[string]int64
	requests  []*fleetRequest
	fleetTally
}

// fleetTally counts what happens in a fleet: requests, those that waited, those refused although the fleet had their tokens, calls to borrow, and returns.
type fleetTally struct {
	arrived, waited, refused, refusedEarly, calls, returns int
	held, left                                             int64
	// rows is the number of rows with a grant or without, of all instances.
	rows int
}

type fleetInstance struct {
	fleet *fleet
	name  string
	set   *Set
	syncs []*fleetSync
}

// fleetSync runs the loop of one shard of an instance.
type fleetSync struct {
	in             *fleetInstance
	shard          *Shard
	view           *keyed.View
	nextAt, readAt time.Duration
	steppedAt      time.Duration
	pauseUntil     time.Duration
}

type fleetRequest struct {
	in       *fleetInstance
	team     string
	tokens   int64
	since    time.Duration
	attempts int
	// waiting is set while the shard counts the request as waiting.
	waiting bool
	// endsAt is the time at which the request is settled; zero while it waits.
	endsAt time.Duration
}

func (fs *fleetSync) Reset(sn keyed.Snapshot) { fs.shard.Reset(fs.in.fleet.now, sn) }

func (fs *fleetSync) Apply(list []keyed.Record) { fs.shard.Apply(fs.in.fleet.now, list) }

func newFleet(tt *testing.T, instances int, seed uint64, ahead, cut bool) *fleet {
	fl := &fleet{
		T: tt, ahead: ahead, rd: rand.New(rand.NewPCG(seed, 2)), now: time.Millisecond, totals: map[string]int64{}, spent: map[string]int64{},
		reserved: map[string]int64{},
	}
	if cut {
		fl.outage = [2]time.Duration{14 * time.Second, 22 * time.Second}
	}
	for team := range fleetTeams {
		need := fleetUsual * fleetLength.Seconds() * fleetFactor(team) * 4400
		fl.totals[fleetTeam(team)] = max(1_200_000, int64(need*3/2))
	}
	for range fleetShards {
		fl.topics = append(fl.topics, &memTopic{unreachable: map[int]bool{}})
	}
	for ix := range instances {
		in := &fleetInstance{fleet: fl, name: fmt.Sprint("instance-", ix)}
		stamp := func() Stamp { return Stamp{Wall: time.UnixMilli(0).Add(fl.now), Boot: fl.now} }
		in.set = NewSet(fleetShards, Config{Instance: in.name, Incarnation: int64(ix + 1), FirstStart: true, DiscoverySpan: 2 * time.Second}, fl.now, stamp)
		in.set.SetTotals(fl.totals)
		for part, sh := range in.set.Shards() {
			fs := &fleetSync{in: in, shard: sh, nextAt: time.Duration(fl.rd.IntN(100)) * time.Millisecond}
			fs.view = keyed.NewView(topicClient{topic: fl.topics[part]}, fs)
			in.syncs = append(in.syncs, fs)
		}
		fl.instances = append(fl.instances, in)
	}
	return fl
}

func fleetTeam(ix int) string { return fmt.Sprint("team-", ix) }

func fleetFactor(team int) float64 {
	if team < len(fleetHot) {
		return fleetHot[team]
	}
	return 1
}

func (fl *fleet) cut() bool { return fl.now >= fl.outage[0] && fl.now < fl.outage[1] }

// run runs the fleet and returns the tally.
func (fl *fleet) run() fleetTally {
	callers := make([][]int, fleetTeams)
	for team := range callers {
		callers[team] = fl.rd.Perm(len(fl.instances))[:fleetCallers]
	}
	for fl.now < fleetLength {
		fl.now += fleetTick
		for _, to := range fl.topics {
			to.unreachable[0] = fl.cut()
		}
		for ix := range fl.instances {
			// The instances take turns in a random order, so that no instance always appends first.
			for _, fs := range fl.instances[(ix+int(fl.now/fleetTick)*7)%len(fl.instances)].syncs {
				fs.turn()
			}
		}
		fl.arrivals(callers)
		fl.serve()
		for team, total := range fl.totals {
			if fl.spent[team]+fl.reserved[team] > total {
				fl.Fatalf("team %s: %d tokens spent and %d reserved of %d", team, fl.spent[team], fl.reserved[team], total)
			}
		}
	}
	for _, in := range fl.instances {
		for team, total := range fl.totals {
			sh := in.set.Shard(team)
			if ac := sh.account(team); !sh.isAssigned(team, fl.now) {
				fl.held += max(0, ac.limit(fl.now, 0)-ac.used())
			}
			if in == fl.instances[0] {
				fl.left += total - fl.spent[team] - fl.reserved[team]
			}
		}
		for _, sh := range in.set.Shards() {
			for _, rows := range sh.rows {
				if _, ok := rows[in.name]; ok {
					fl.rows++
				}
			}
		}
	}
	return fl.fleetTally
}

// arrivals adds the requests that arrive in this tick.
func (fl *fleet) arrivals(callers [][]int) {
	if fl.now < fleetReadyAt {
		return
	}
	for team, list := range callers {
		rate := fleetUsual
		if fl.now >= fleetHotAt {
			rate *= fleetFactor(team)
		}
		if fl.rd.Float64() >= rate*fleetTick.Seconds() {
			continue
		}
		// Half of the callers use the first instance, a quarter the second and so on.
		at := 0
		for at < len(list)-1 && fl.rd.IntN(2) == 0 {
			at++
		}
		fl.arrived++
		fl.requests = append(fl.requests, &fleetRequest{in: fl.instances[list[at]], team: fleetTeam(team), tokens: replaySize(fl.rd), since: fl.now})
	}
}

// serve settles the requests that end, and lets the waiting ones try again.
func (fl *fleet) serve() {
	fl.requests = slices.DeleteFunc(fl.requests, func(rq *fleetRequest) bool {
		sh := rq.in.set.Shard(rq.team)
		switch {
		case rq.endsAt > fl.now:
			return false
		case rq.endsAt > 0:
			cost := rq.tokens * replayCostShare / 100
			sh.Settle(fl.now, rq.team, rq.tokens, cost)
			fl.reserved[rq.team] -= rq.tokens
			fl.spent[rq.team] += cost
			return true
		case rq.reserve():
			fl.reserved[rq.team] += rq.tokens
			rq.endsAt = fl.now + 500*time.Millisecond + time.Duration(fl.rd.IntN(2000))*time.Millisecond
			return false
		case fl.now-rq.since < fleetWait:
			return false
		}
		if fl.totals[rq.team]-fl.spent[rq.team]-fl.reserved[rq.team] >= rq.tokens {
			fl.refused++
			if fl.now < 3*time.Second {
				fl.refusedEarly++
			}
		}
		return true
	})
}

// reserve tries to reserve the tokens of the request, and borrows them otherwise.
func (rq *fleetRequest) reserve() bool {
	fl, sh := rq.in.fleet, rq.in.set.Shard(rq.team)
	result := sh.Reserve(fl.now, rq.team, rq.tokens)
	if result != Reserved {
		if rq.since == fl.now {
			fl.waited++
			sh.AddWaiter(fl.now, rq.team, rq.tokens)
			rq.waiting = true
			rq.in.syncOf(sh).turn()
		}
		if rq.attempts < 3 && (result != OverCeiling || fl.cut() || fl.now-rq.since >= 60*time.Millisecond) {
			rq.attempts++
			names, want := sh.Lenders(fl.now, rq.team, rq.tokens, fl.rd.Float64)
			got := rq.in.call(rq.team, names, want, want, (*Shard).Lend)
			sh.Receive(rq.team, got)
			if got < want {
				sh.RecordShortfall(fl.now, rq.team)
			}
		}
		result = sh.Reserve(fl.now, rq.team, rq.tokens)
	}
	if rq.waiting && (result == Reserved || fl.now-rq.since >= fleetWait) {
		sh.RemoveWaiter(rq.team, rq.tokens)
		rq.waiting = false
	}
	if fl.ahead {
		rq.in.borrowAhead(sh)
	}
	return result == Reserved
}

// borrowAhead carries out the loans ahead that are due at a shard.
func (in *fleetInstance) borrowAhead(sh *Shard) {
	fl := in.fleet
	select {
	case <-sh.Ahead():
	default:
	}
	for _, loan := range sh.TakeAhead(fl.now, fl.rd.Float64) {
		got := in.call(loan.Team, loan.Lenders, loan.Tokens, loan.Enough(), (*Shard).LendAhead)
		sh.Receive(loan.Team, got)
		sh.FinishAhead(fl.now, loan, got)
	}
}

// call asks up to four of the named instances in turn for tokens, until it has received enough, and returns the number received.
func (in *fleetInstance) call(team string, names []string, want, enough int64, lend func(*Shard, time.Duration, string, int64) (int64, bool)) int64 {
	fl, got := in.fleet, int64(0)
	for _, name := range names[:min(4, len(names))] {
		if got >= enough {
			break
		}
		fl.calls++
		peer := fl.named(name).set.Shard(team)
		lent, capped := lend(peer, fl.now, team, want-got)
		got += lent
		if capped && !fl.cut() {
			rest := want - got
			peer.AddWaiter(fl.now, team, rest)
			fl.named(name).syncOf(peer).turn()
			peer.RemoveWaiter(team, rest)
			lent, _ = lend(peer, fl.now, team, rest)
			got += lent
		}
	}
	return got
}

func (fl *fleet) named(name string) *fleetInstance {
	return fl.instances[slices.IndexFunc(fl.instances, func(in *fleetInstance) bool { return in.name == name })]
}

func (in *fleetInstance) syncOf(sh *Shard) *fleetSync {
	return in.syncs[slices.IndexFunc(in.syncs, func(fs *fleetSync) bool { return fs.shard == sh })]
}

// turn runs a step of the loop if it is due, and returns surplus tokens.
func (fs *fleetSync) turn() {
	fl := fs.in.fleet
	urgent := false
	select {
	case <-fs.shard.Urgent():
		urgent = true
	default:
	}
	if fl.now < fs.pauseUntil || (fl.now < fs.nextAt && !urgent) {
		if urgent {
			fs.nextAt = fs.pauseUntil
		}
		return
	}
	fs.nextAt, fs.pauseUntil = fl.now+500*time.Millisecond, fl.now+60*time.Millisecond
	known := min(len(fl.instances), int(fl.now/fleetAnnounce))
	names := make([]string, 0, known)
	for _, in := range fl.instances[:known] {
		names = append(names, in.name)
	}
	if !slices.Contains(names, fs.in.name) {
		names = append(names, fs.in.name)
	}
	fs.shard.SetMembers(names)
	fs.step()
	for _, su := range fs.shard.ReleaseSurpluses(fl.now, fl.cut(), func(string) bool { return false }) {
		fl.returns++
		fl.named(su.Holder).set.Shard(su.Team).Receive(su.Team, su.Tokens)
	}
}

func (fs *fleetSync) step() {
	fl := fs.in.fleet
	interval := 3 * time.Second
	if fs.shard.HasRow() {
		interval = time.Second
	}
	if fs.view.Loaded() && fl.now-fs.readAt < interval && !fs.shard.Due(fl.now) && !fs.shard.ReadWanted(fl.now, fs.readAt) {
		return
	}
	if fs.view.Poll(context.Background(), 0) != nil {
		fs.nextAt = fl.now + 200*time.Millisecond
		return
	}
	fs.readAt = fl.now
	ba, err := fs.shard.Build(fl.now)
	if err != nil {
		fl.Fatal(err)
	}
	if ba.Empty() {
		return
	}
	// Of several appends in the same tick only one succeeds, as in a store that takes 4 ms for each.
	to := fl.topics[slices.Index(fs.in.syncs, fs)]
	if to.appendedAt == fl.now {
		to.nextFault = faultRefused
	}
	switch err := fs.view.Append(context.Background(), ba.Records); {
	case err == nil:
		to.appendedAt = fl.now
		fs.shard.Confirm(fl.now, ba)
	case eris.Is(err, keyed.ErrConflict), eris.Is(err, keyed.ErrRefused):
		fs.shard.Discard(ba)
		limit := 300
		if fs.shard.Waiting() {
			limit = 30
		}
		fs.nextAt = fl.now + time.Duration(fl.rd.IntN(limit))*time.Millisecond
		fs.pauseUntil = fs.nextAt
	}
}

// TestFleetBalances guards against refusals for lack of tokens that other instances hold, and against a loan for nearly every request, when
// several teams send 3 to 8 times their usual and the callers of a team use few instances. Spending must stay within the totals.
func TestFleetBalances(tt *testing.T) {
	cases := []struct {
		instances  int
		cut        bool
		maxRefused float64
		maxCalls   float64
	}{
		{30, false, 0.01, 0.3},
		{30, true, 0.01, 0.3},
		{75, false, 0.01, 0.3},
		{75, true, 0.01, 0.3},
	}
	for _, tc := range cases {
		tt.Run(fmt.Sprintf("%d instances, outage %t", tc.instances, tc.cut), func(tt *testing.T) {
			for seed := range uint64(2) {
				before := newFleet(tt, tc.instances, seed, false, tc.cut).run()
				ta := newFleet(tt, tc.instances, seed, true, tc.cut).run()
				tt.Logf("without loans ahead %+v, with them %+v", before, ta)
				if share := float64(ta.refused) / float64(ta.arrived); share > tc.maxRefused {
					tt.Errorf("seed %d: %d of %d requests refused although the fleet had their tokens", seed, ta.refused, ta.arrived)
				}
				if calls := float64(ta.calls) / float64(ta.arrived); calls > tc.maxCalls {
					tt.Errorf("seed %d: %d calls to borrow for %d requests", seed, ta.calls, ta.arrived)
				}
			}
		})
	}
}
