package matrix

import (
	"sync"

	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// moment is something that a stand-in saw, and which incarnation caused it (-1 for none).
type moment struct {
	incarnation int64
	before      bool
	stream      string
	entry       record.Entry
	endpoint    string
	event       int
	ran         bool
}

// step is a moment at which faults are brought about.
type step struct {
	name  string
	match func(mo moment) bool
}

func batchWith(before bool, has func(re record.Record) bool) func(mo moment) bool {
	return func(mo moment) bool {
		if mo.ran || mo.before != before || mo.entry.Batch == nil {
			return false
		}
		for _, re := range mo.entry.Batch.Records {
			if has(re) {
				return true
			}
		}
		return false
	}
}

func runEvent(event int) func(mo moment) bool {
	return func(mo moment) bool { return mo.ran && mo.event == event }
}

func hasBill(re record.Record) bool { return re.Settle != nil && len(re.Settle.Bills) > 0 }

func isClaim(re record.Record) bool { return re.Claim != nil }

func isIntent(re record.Record) bool { return re.Intent != nil }

const midEvent = 8

var steps = []step{
	{"claim", batchWith(true, isClaim)},
	{"claim read-back", batchWith(false, isClaim)},
	{"reserve", func(mo moment) bool { return mo.ran && mo.event == 0 }},
	{"intent", batchWith(true, isIntent)},
	{"intent read-back", batchWith(false, isIntent)},
	{"dispatch of a service call", func(mo moment) bool { return mo.ran && mo.event == 0 && isService(mo.endpoint) }},
	{"service call ran", func(mo moment) bool { return mo.ran && mo.event == fakes.EventEnd && isService(mo.endpoint) }},
	{"first byte", runEvent(1)},
	{"mid-stream", runEvent(midEvent)},
	{"last byte", func(mo moment) bool { return mo.ran && mo.event == fakes.EventEnd && !isService(mo.endpoint) }},
	{"settle", batchWith(true, hasBill)},
	{"outcome", batchWith(true, func(re record.Record) bool { return re.Outcome != nil })},
	{"return", batchWith(true, func(re record.Record) bool { return re.Return != nil })},
	{"checkpoint", func(mo moment) bool { return mo.before && mo.stream == oplog.CheckpointStream }},
	{"ticket publish", func(mo moment) bool { return mo.before && mo.entry.Ticket != nil }},
	{"ticket apply", func(mo moment) bool { return !mo.ran && !mo.before && mo.entry.Ticket != nil }},
	{"drain", func(mo moment) bool { return mo.event == drainEvent }},
}

// drainEvent marks the moment at which an instance was told to stop.
const drainEvent = -2

func isService(endpoint string) bool { return len(endpoint) > 8 && endpoint[:8] == "payments" }

// trigger fires once, at the first moment that a step matches.
type trigger struct {
	mu    sync.Mutex
	step  step
	fire  func(mo moment)
	armed bool
	fired bool
}

func (tr *trigger) see(mo moment) {
	tr.mu.Lock()
	hit := tr.armed && !tr.fired && tr.step.match(mo)
	if hit {
		tr.fired = true
		tr.fire(mo)
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

func (tr *trigger) Appending(stream string, data []byte) { tr.append(true, stream, data) }

func (tr *trigger) Appended(stream string, data []byte) { tr.append(false, stream, data) }

func (tr *trigger) append(before bool, stream string, data []byte) {
	mo := moment{incarnation: -1, before: before, stream: stream}
	if en, err := record.DecodeEntry(data); err == nil && stream == oplog.MainStream {
		mo.entry = en
		if en.Batch != nil {
			mo.incarnation = en.Batch.Incarnation
		}
	}
	tr.see(mo)
}

func (tr *trigger) Ran(endpoint string, fencing int64, event int) {
	tr.see(moment{incarnation: fencing, endpoint: endpoint, event: event, ran: true})
}
