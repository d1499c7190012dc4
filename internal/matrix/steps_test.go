package matrix

import (
	"sync"

	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// observation is an append or an event of a run, as seen by a stand-in.
type observation struct {
	// incarnation is the number of the incarnation that caused the observation, or -1 if it is unknown.
	incarnation int64
	// before is true if an append is observed before it takes effect, and false if it is observed afterwards.
	before bool
	// stream and entry are the stream and the entry of an append; only entries of the main stream are decoded.
	stream string
	entry  record.Entry
	// endpoint and event are the parameters of fakes.RunProbe.RunEvent; event can also be drainEvent.
	endpoint string
	event    int
	// isRun is set for an event of a run.
	isRun bool
}

// step selects the observations at which faults are injected.
type step struct {
	name  string
	match func(ob observation) bool
}

// batchWith matches the append of a batch that contains a record for which has returns true. It matches before the append takes effect if
// before is true, and afterwards if it is false.
func batchWith(before bool, has func(re record.Record) bool) func(ob observation) bool {
	return func(ob observation) bool {
		if ob.isRun || ob.before != before || ob.entry.Batch == nil {
			return false
		}
		for _, re := range ob.entry.Batch.Records {
			if has(re) {
				return true
			}
		}
		return false
	}
}

// runEvent matches the given event of a run at any endpoint.
func runEvent(event int) func(ob observation) bool {
	return func(ob observation) bool { return ob.isRun && ob.event == event }
}

func hasBill(re record.Record) bool { return re.Settle != nil && len(re.Settle.Bills) > 0 }

func isClaim(re record.Record) bool { return re.Claim != nil }

func isIntent(re record.Record) bool { return re.Intent != nil }

// midStreamEvent is the number of the token that counts as the middle of a stream.
const midStreamEvent = 8

var steps = []step{
	{"claim", batchWith(true, isClaim)},
	{"claim read-back", batchWith(false, isClaim)},
	{"reserve", func(ob observation) bool { return ob.isRun && ob.event == 0 }},
	{"intent", batchWith(true, isIntent)},
	{"intent read-back", batchWith(false, isIntent)},
	{"dispatch of a service call", func(ob observation) bool { return ob.isRun && ob.event == 0 && isService(ob.endpoint) }},
	{"service call ran", func(ob observation) bool { return ob.isRun && ob.event == fakes.EventEnd && isService(ob.endpoint) }},
	{"first byte", runEvent(1)},
	{"mid-stream", runEvent(midStreamEvent)},
	{"last byte", func(ob observation) bool { return ob.isRun && ob.event == fakes.EventEnd && !isService(ob.endpoint) }},
	{"settle", batchWith(true, hasBill)},
	{"outcome", batchWith(true, func(re record.Record) bool { return re.Outcome != nil })},
	{"return", batchWith(true, func(re record.Record) bool { return re.Return != nil })},
	{"checkpoint", func(ob observation) bool { return ob.before && ob.stream == oplog.CheckpointStream }},
	{"ticket publish", func(ob observation) bool { return ob.before && ob.entry.Ticket != nil }},
	{"ticket apply", func(ob observation) bool { return !ob.isRun && !ob.before && ob.entry.Ticket != nil }},
	{"drain", func(ob observation) bool { return ob.event == drainEvent }},
}

// drainEvent is the event that drainOne observes at an instance whose grace period is over.
const drainEvent = -2

func isService(endpoint string) bool { return len(endpoint) > 8 && endpoint[:8] == "payments" }

// trigger calls fire once: at the first observation that matches the step while the trigger is armed.
type trigger struct {
	mu    sync.Mutex
	step  step
	fire  func(ob observation)
	armed bool
	fired bool
}

func (tr *trigger) observe(ob observation) {
	tr.mu.Lock()
	hit := tr.armed && !tr.fired && tr.step.match(ob)
	if hit {
		tr.fired = true
		tr.fire(ob)
	}
	tr.mu.Unlock()
}

func (tr *trigger) arm() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.armed = true
}

func (tr *trigger) disarm() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.armed = false
}

func (tr *trigger) wasFired() bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.fired
}

func (tr *trigger) BeforeAppend(stream string, data []byte) { tr.append(true, stream, data) }

func (tr *trigger) AfterAppend(stream string, data []byte) { tr.append(false, stream, data) }

func (tr *trigger) append(before bool, stream string, data []byte) {
	ob := observation{incarnation: -1, before: before, stream: stream}
	if en, err := record.DecodeEntry(data); err == nil && stream == oplog.MainStream {
		ob.entry = en
		if en.Batch != nil {
			ob.incarnation = en.Batch.Incarnation
		}
	}
	tr.observe(ob)
}

func (tr *trigger) RunEvent(endpoint string, fencing int64, event int) {
	tr.observe(observation{incarnation: fencing, endpoint: endpoint, event: event, isRun: true})
}
