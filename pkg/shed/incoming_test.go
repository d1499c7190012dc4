package shed

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// linkRate is the rate of the simulated link, and packetBytes what it carries at a time.
	linkRate    = 10e6 / 8
	packetBytes = 1500
	linkTick    = time.Millisecond
	// endpointTime is the time from the arrival of a request until its response is sent.
	endpointTime = 50 * time.Millisecond
)

// transfer is a request or a response on its way to the instance.
type transfer struct {
	request  bool
	sentAt   time.Duration
	timeLeft time.Duration
	// start is the time at which the caller sent the request.
	start time.Duration
	bytes int
}

// receiver simulates an instance with enough processor time behind a link whose incoming direction carries linkRate. Requests arrive whether or not they are
// refused; responses only for those that are admitted.
type receiver struct {
	shedder          *Shedder
	random           *rand.Rand
	now              time.Duration
	budget           float64
	queue, responses []transfer
	request, reply   int
	tally            tally
	reasons          map[string]int
	// throttled is true if the process has a quota that it uses up in the first quarter of each period, so that it reads nothing in the rest. unread are the
	// bytes that wait for it, by source.
	throttled bool
	unread    [sources]int
	probeAt   time.Duration
	// full and unnoticed are the number of ticks in which a byte waited 100 ms at least, and of those without a delay.
	full, unnoticed int
}

func newReceiver(request, reply int, seed uint64) *receiver {
	return &receiver{
		shedder: New(Config{LinkBytesPerSecond: linkRate, Seed: seed}), random: rand.New(rand.NewPCG(seed, 1)), request: request, reply: reply,
		reasons: map[string]int{},
	}
}

// run simulates a span in which the requests and all their responses would take the given share of the link.
func (re *receiver) run(span time.Duration, share float64) {
	perSecond := share * linkRate / float64(re.request+re.reply)
	for ends := re.now + span; re.now < ends; re.now += linkTick {
		if re.random.Float64() < perSecond*linkTick.Seconds() {
			// A plain request or a stream, of half or one and a half the mean size.
			timeLeft := []time.Duration{time.Second, 4 * time.Second}[re.random.IntN(2)]
			size := re.request/2 + re.random.IntN(2)*re.request
			re.queue = append(re.queue, transfer{request: true, sentAt: re.now, start: re.now, timeLeft: timeLeft, bytes: size})
		}
		for len(re.responses) > 0 && re.responses[0].sentAt <= re.now {
			re.queue, re.responses = append(re.queue, re.responses[0]), re.responses[1:]
		}
		re.carry()
		if !re.throttled || re.now%quotaPeriod < quotaPeriod/4 {
			re.process()
		}
		if len(re.queue) > 0 && re.now-re.queue[0].sentAt >= linkLimit {
			re.full++
			if re.shedder.Delay(re.now) == 0 {
				re.unnoticed++
			}
		}
	}
}

// process reads what has arrived, and runs the probe if it is due.
func (re *receiver) process() {
	for from, count := range re.unread {
		re.shedder.RecordRead(Source(from), count)
	}
	re.unread = [sources]int{}
	if re.now >= re.probeAt {
		re.shedder.RecordLag(re.now, 0)
		re.probeAt = re.now + probeInterval
	}
}

// carry carries what the link can in a tick.
func (re *receiver) carry() {
	re.budget = min(packetBytes, re.budget+linkRate*linkTick.Seconds())
	for len(re.queue) > 0 && re.budget > 0 {
		tr := &re.queue[0]
		if tr.request && re.now-tr.start > tr.timeLeft {
			// The caller has given up.
			re.queue = re.queue[1:]
			continue
		}
		count := min(packetBytes, tr.bytes)
		tr.bytes -= count
		re.budget -= float64(count)
		from := Endpoints
		if tr.request {
			from = Callers
		}
		re.unread[from] += count
		if tr.bytes == 0 {
			re.queue = re.queue[1:]
			re.arrive(*tr)
		}
	}
}

// arrive handles a complete request or response.
func (re *receiver) arrive(tr transfer) {
	if !tr.request {
		re.shedder.End(re.now)
		if re.now-tr.start <= tr.timeLeft/2 {
			re.tally.inTime++
		} else {
			re.tally.late++
		}
		return
	}
	re.tally.arrived++
	ve := re.shedder.Admit(re.now, Request{Rank: 2, TimeLeft: tr.timeLeft})
	if !ve.Admitted {
		re.tally.refused++
		re.reasons[ve.Reason]++
		return
	}
	re.shedder.Begin(re.now)
	re.responses = append(re.responses, transfer{sentAt: re.now + endpointTime, start: tr.start, timeLeft: tr.timeLeft, bytes: re.reply})
}

// TestFloodedDownlink guards against an instance with an idle processor behind a small link that takes more requests than their bodies and their responses can
// get to it, serves them all late, and counts the delay against endpoints.
func TestFloodedDownlink(tt *testing.T) {
	cases := []struct {
		name           string
		request, reply int
		// inTime is the least part, in time, of the requests that the link can carry the responses of.
		inTime float64
		// least and most are the bounds of the refused part.
		least, most float64
	}{
		{"mostly responses", 1000, 6500, 0.7, 0.6, 0.95},
		{"requests that exceed the link by themselves", 6500, 1000, 0, 0.5, 0.8},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			re := newReceiver(tc.request, tc.reply, 1)
			re.run(5*time.Second, 0.3)
			if re.tally.refused > 0 {
				tt.Errorf("refused %d requests before the flood", re.tally.refused)
			}
			re.run(5*time.Second, 3)
			early := re.tally
			re.tally = tally{}
			const span = 20 * time.Second
			re.run(span, 3)
			can := (linkRate*span.Seconds() - float64(re.tally.arrived*tc.request)) / float64(tc.reply)
			tt.Logf("the first 5 s: %+v, then: %+v of %.0f, reasons %v; full in %d ms, unnoticed in %d", early, re.tally, can, re.reasons, re.full, re.unnoticed)
			if float64(re.tally.inTime) < tc.inTime*can {
				tt.Errorf("served %d in time, the link can carry the responses of %.0f", re.tally.inTime, can)
			}
			if part := float64(re.tally.refused) / float64(re.tally.arrived); part < tc.least || part > tc.most {
				tt.Errorf("refused %.2f of the requests, want %.2f to %.2f", part, tc.least, tc.most)
			}
			if re.reasons[Incoming] == 0 || len(re.reasons) > 1 {
				tt.Errorf("reasons %v, want %q only", re.reasons, Incoming)
			}
			if re.unnoticed > re.full/20 {
				tt.Errorf("of %d ms in which bytes were late, the delay was not noticed in %d", re.full, re.unnoticed)
			}
			re.run(10*time.Second, 0.3)
			re.tally = tally{}
			re.run(10*time.Second, 0.3)
			if _, elsewhere := re.shedder.Elsewhere(time.Second); re.tally.refused > 0 || elsewhere {
				tt.Errorf("refused %d requests after the flood, sends callers elsewhere: %t", re.tally.refused, elsewhere)
			}
		})
	}
}

// TestUsedDownlink guards against refusals by an instance whose link is well used but not full, or full for a moment only.
func TestUsedDownlink(tt *testing.T) {
	cases := []struct {
		name         string
		request      int
		throttled    bool
		usual, burst float64
	}{
		{"0.7 of the rate", 6500, false, 0.7, 0.7},
		{"0.7 of the rate in large parts", 12_000, false, 0.7, 0.7},
		{"0.7 of the rate, read by a process with a quota", 6500, true, 0.7, 0.7},
		{"bursts of three times the rate", 6500, false, 0.3, 3},
		{"bursts of the rate", 6500, true, 0.5, 1},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			for seed := range uint64(10) {
				re := newReceiver(tc.request, 1000, seed)
				re.throttled = tc.throttled
				for range 6 {
					re.run(5*time.Second, tc.usual)
					re.run(240*time.Millisecond, tc.burst)
				}
				re.run(5*time.Second, tc.usual)
				if re.tally.refused > 0 {
					tt.Errorf("seed %d: refused %d of %d requests: %v", seed, re.tally.refused, re.tally.arrived, re.reasons)
				}
			}
		})
	}
}

// TestUnknownDownlink guards against an instance that refuses requests for what it reads although the rate of its link is not known.
func TestUnknownDownlink(tt *testing.T) {
	re := newReceiver(6500, 1000, 1)
	re.shedder = New(Config{})
	re.run(20*time.Second, 3)
	if delay := re.shedder.Delay(re.now); re.tally.refused > 0 || delay > 0 {
		tt.Errorf("refused %d requests, delay %s", re.tally.refused, delay)
	}
}
