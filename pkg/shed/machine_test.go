package shed

import (
	"math/rand/v2"
	"time"
)

const (
	tick = 100 * time.Microsecond
	// quotaPeriod is the period of the processor quota of a machine.
	quotaPeriod = 100 * time.Millisecond
	// probeInterval is the sleep between two probes.
	probeInterval = 40 * time.Millisecond
	// stepCost is the processor time of each of the requestSteps steps of a request, and refusalCost that of a refusal.
	stepCost    = 600 * time.Microsecond
	refusalCost = 300 * time.Microsecond
)

// job is a request, or the marker of the probe (number zero), in the queue of a machine.
type job struct {
	number   int
	class    int
	start    time.Duration
	timeLeft time.Duration
	left     time.Duration
	steps    int
	decided  bool
}

// tally counts what happened to the requests of one class.
type tally struct{ arrived, refused, inTime, late int }

// machine simulates an instance with a share of a core, a run queue, and a probe that wakes up at intervals and puts a marker into the queue.
type machine struct {
	shedder *Shedder
	share   float64
	now     time.Duration
	used    time.Duration
	budget  time.Duration
	frozen  time.Duration
	queue   []*job
	probeAt time.Duration
	// marker is the marker of the probe while it waits in the queue, and markerLag how long the last one waited.
	marker    *job
	markerLag time.Duration
	random    *rand.Rand
	number    int
	tallies   [classes]tally
	begins    int
	maxLag    time.Duration
	on        bool
	// noise is the time for which other processes of the machine keep this one waiting in each quota period.
	noise time.Duration
}

func newMachine(share float64, seed uint64) *machine {
	return &machine{share: share, random: rand.New(rand.NewPCG(seed, 1)), shedder: New(Config{Cores: share, Seed: seed}), probeAt: probeInterval}
}

// run simulates a span with a number of new requests a second.
func (ma *machine) run(span time.Duration, perSecond float64) {
	for ends := ma.now + span; ma.now < ends; ma.now += tick {
		if ma.random.Float64() < perSecond*tick.Seconds() {
			ma.arrive(Request{Rank: ma.random.IntN(3), TimeLeft: time.Second})
		}
		if ma.now%quotaPeriod == 0 {
			ma.budget = time.Duration(ma.share * float64(quotaPeriod))
		}
		if ma.now >= ma.frozen && ma.now%quotaPeriod >= ma.noise {
			ma.probe()
			ma.work()
		}
	}
}

// probe runs the probe if it is due and the quota allows it.
func (ma *machine) probe() {
	if ma.now < ma.probeAt || ma.budget <= 0 {
		return
	}
	lag := max(ma.now-ma.probeAt, ma.markerLag)
	if ma.marker != nil {
		lag = max(lag, ma.now-ma.marker.start)
	} else {
		ma.marker = &job{start: ma.now}
		ma.queue = append(ma.queue, ma.marker)
	}
	ma.markerLag = 0
	ma.maxLag = max(ma.maxLag, lag)
	ma.shedder.RecordCPU(ma.now, ma.used)
	ma.shedder.RecordLag(ma.now, lag)
	if on := ma.shedder.State(ma.now).Shedding; on != ma.on {
		ma.on = on
		if on {
			ma.begins++
		}
	}
	ma.probeAt = ma.now + probeInterval
}

func (ma *machine) arrive(rq Request) {
	ma.number++
	cl := classOf(rq)
	ma.tallies[cl].arrived++
	ma.queue = append(ma.queue, &job{number: ma.number, class: cl, start: ma.now, timeLeft: rq.TimeLeft, left: refusalCost, steps: requestSteps})
}

// work runs the head of the queue for one tick, if the quota allows it.
func (ma *machine) work() {
	for len(ma.queue) > 0 && ma.budget > 0 {
		jo := ma.queue[0]
		if jo.left > 0 {
			ma.budget -= tick
			ma.used += tick
			jo.left -= tick
			if jo.left > 0 {
				return
			}
		}
		ma.queue = ma.queue[1:]
		ma.finish(jo)
		if jo.number > 0 {
			return
		}
	}
}

// finish ends one step of a job.
func (ma *machine) finish(jo *job) {
	ta := &ma.tallies[jo.class]
	switch {
	case jo.number == 0:
		ma.marker, ma.markerLag = nil, ma.now-jo.start
	case !jo.decided:
		jo.decided = true
		if !ma.shedder.Admit(ma.now, Request{Rank: jo.class - 1, TimeLeft: jo.timeLeft - (ma.now - jo.start), Resumed: jo.class == 0}).Admitted {
			ta.refused++
			return
		}
		ma.shedder.Begin(ma.now)
		jo.left = stepCost - refusalCost
		ma.queue = append(ma.queue, jo)
	case jo.steps > 1:
		jo.steps--
		jo.left = stepCost
		ma.queue = append(ma.queue, jo)
	default:
		ma.shedder.End(ma.now)
		if ma.now-jo.start <= jo.timeLeft/2 {
			ta.inTime++
		} else {
			ta.late++
		}
	}
}

// reset clears the counts and returns the former sum and the classes.
func (ma *machine) reset() (sum tally, list [classes]tally) {
	for _, ta := range ma.tallies {
		sum.arrived += ta.arrived
		sum.refused += ta.refused
		sum.inTime += ta.inTime
		sum.late += ta.late
	}
	list = ma.tallies
	ma.tallies = [classes]tally{}
	return sum, list
}

// capacity returns the requests a second that the machine can serve.
func (ma *machine) capacity() float64 {
	return ma.share / (requestSteps * stepCost).Seconds()
}
