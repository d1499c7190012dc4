package shed

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After delay of a refusal. The retry reaches another instance, so nothing has to become free
	// first; the spread keeps retries from arriving together.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 200 * time.Millisecond
	// retryShare is the part, one in so many, of the remaining time up to which callers honor Retry-After.
	retryShare = 3
	// lateShare is the part, one in so many, of the remaining time that a request may lose at this instance. Latency targets are a sixth to a twelfth of
	// the deadlines.
	lateShare = 8
	// requestSteps is the number of times that a request waits to be scheduled: to read it, to send it, to read the response and to relay it.
	requestSteps = 4
)

// The reasons of a refusal.
const (
	// Processor means that the process has used up its share of the processor.
	Processor = "processor"
	// Link means that more bytes were written than the link carries.
	Link = "link"
	// Writes means that most requests wait for writes to their callers.
	Writes = "writes"
	// Incoming means that as many bytes arrive as the link carries, so that others wait in front of it.
	Incoming = "incoming"
)

// Config holds the limits of the machine.
type Config struct {
	// Cores is the processor time that the process may use, in cores. If it is zero, lag never counts as overload.
	Cores float64
	// LinkBytesPerSecond is the rate of the link in each direction, or zero if it is not known.
	LinkBytesPerSecond float64
	// Seed is the seed of the random choice of the requests that are refused.
	Seed uint64
}

// Request holds the properties of a request that decide whether it is refused.
type Request struct {
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// TimeLeft is the time until the deadline of the response.
	TimeLeft time.Duration
	// Resumed reports whether the request resumes a stream; such requests are refused last.
	Resumed bool
}

// Verdict is the decision on one request.
type Verdict struct {
	// Admitted reports whether the request may be served here.
	Admitted bool
	// Reason is Processor, Link, Writes or Incoming for a refusal, and empty otherwise.
	Reason string
	// RetryAfter is the delay after which the caller of a refused request should retry.
	RetryAfter time.Duration
	// Lag is the delay of this instance when it decided.
	Lag time.Duration
	// Level is the share of all requests that was refused when it decided.
	Level float64
}

// State is the state of a shedder.
type State struct {
	// Shedding reports whether requests are refused.
	Shedding bool
	// Reason is what is used up; it stays set after shedding has ended.
	Reason string
	// Level is the share of the requests that is refused.
	Level float64
	// Lag is how late the probe ran, as the median of the last few times.
	Lag time.Duration
	// Busy is the part of its processor time that the process used in the last few hundred ms.
	Busy float64
	// Incoming is the part of the incoming direction of the link that was used in the last few hundred ms, or zero if its rate is not known.
	Incoming float64
	// InFlight is the number of requests that were admitted and have not ended.
	InFlight int
	// Arrivals and Completions are the requests a second that arrived and that ended.
	Arrivals    float64
	Completions float64
}

// Shedder decides for one instance; it is safe for concurrent use.
type Shedder struct {
	mu          sync.Mutex
	config      Config
	random      *rand.Rand
	lag         lagMeter
	processor   processorMeter
	link        linkMeter
	incoming    incomingMeter
	arrivals    [classes]rate
	completions rate
	inFlight    int
	controller  controller
}

// New returns a shedder that admits all requests.
func New(config Config) *Shedder {
	return &Shedder{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
}

// RecordLag records how late the periodic probe ran, and adjusts the share of the requests that is refused.
func (sh *Shedder) RecordLag(now, lag time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.lag.record(now, lag)
	sh.incoming.record(now, sh.config.LinkBytesPerSecond)
	sh.controller.update(now, sh.measure(now))
}

// RecordCPU records the processor time that the process has used since its start.
func (sh *Shedder) RecordCPU(now, used time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.processor.record(now, used)
}

// RecordWrite records that a number of bytes was written to the link, and for how long the write blocked.
func (sh *Shedder) RecordWrite(now time.Duration, bytes int, blocked time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.link.record(now, bytes, blocked, sh.config.LinkBytesPerSecond)
}

// RecordRead records that a number of bytes was read from the link. It only counts, so that it can be called for every read.
func (sh *Shedder) RecordRead(from Source, bytes int) { sh.incoming.read[from].Add(int64(bytes)) }

// Begin records that an admitted request begins.
func (sh *Shedder) Begin(time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.inFlight++
}

// End records that an admitted request has ended.
func (sh *Shedder) End(now time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.inFlight--
	sh.completions.add(now, 1)
}

// Admit decides whether a new request is served here.
func (sh *Shedder) Admit(now time.Duration, rq Request) Verdict {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	cl := classOf(rq)
	sh.arrivals[cl].add(now, 1)
	co := &sh.controller
	if !co.shedding || !sh.late(now, rq) || sh.random.Float64() >= sh.refusedShare(now, cl) {
		return Verdict{Admitted: true}
	}
	return Verdict{Reason: co.reason, Lag: sh.lag.median(), Level: co.level, RetryAfter: sh.retryAfter(rq.TimeLeft)}
}

// retryAfter returns a random delay for a caller with the given time left.
func (sh *Shedder) retryAfter(timeLeft time.Duration) time.Duration {
	latest := max(0, min(maxRetryAfter, timeLeft/retryShare))
	earliest := min(minRetryAfter, latest)
	return earliest + time.Duration(sh.random.Int64N(int64(latest-earliest)+1))
}

// Elsewhere reports whether a request that seems to have no chance here should be retried at another instance, and after which delay. While this instance is
// at a limit, its own delay makes endpoints seem late, and its backlog is one of requests that it has not got on with.
func (sh *Shedder) Elsewhere(timeLeft time.Duration) (time.Duration, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.controller.shedding && sh.controller.pressedFor == 0 && !sh.incoming.full() {
		return 0, false
	}
	return sh.retryAfter(timeLeft), true
}

// Delay returns by how much this instance delays what it sends and reads now: its lag, and the queues of its link.
func (sh *Shedder) Delay(now time.Duration) time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.lag.current(now) + sh.link.delay(now, sh.config.LinkBytesPerSecond) + sh.incoming.delay()
}

// late reports whether the request would lose so much time at this instance that it should be retried elsewhere. While requests are refused, the lag counts as
// at least lagLimit: it is lower only because of the refusals.
func (sh *Shedder) late(now time.Duration, rq Request) bool {
	delay := requestSteps*max(lagLimit, sh.lag.peak) + sh.link.delay(now, sh.config.LinkBytesPerSecond) + sh.link.meanBlocked(now) + sh.incoming.peak
	return delay > rq.TimeLeft/lateShare
}

// Lag returns the present delay of this instance: how late the probe ran, or is by now.
func (sh *Shedder) Lag(now time.Duration) time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.lag.current(now)
}

// State returns the state of the shedder.
func (sh *Shedder) State(now time.Duration) State {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return State{
		Shedding: sh.controller.shedding, Reason: sh.controller.reason, Level: sh.controller.level, Lag: sh.lag.median(),
		Busy: sh.busy(), Incoming: sh.incoming.used, InFlight: sh.inFlight, Arrivals: sh.arrivalRate(now), Completions: sh.completions.perSecond(now),
	}
}

// busy returns the used part of the processor time, or zero if the limit is not known.
func (sh *Shedder) busy() float64 {
	if sh.config.Cores <= 0 {
		return 0
	}
	return sh.processor.cores() / sh.config.Cores
}
