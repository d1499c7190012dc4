package emul

import (
	"container/list"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// RunnerConfig is the speed and the size of a model runner.
type RunnerConfig struct {
	// Slots is how many requests run at once, Memory how many tokens of prompts are kept.
	Slots  int
	Memory int64
	// Step is the time of one step without any work, StepPerRequest what each running request adds.
	Step           time.Duration
	StepPerRequest time.Duration
	// TokensPerMs is how many prompt tokens are read in a millisecond, Chunk how many at most in one step.
	TokensPerMs     float64
	Chunk           int64
	CopyTokensPerMs float64
}

// job is one request at a runner.
type job struct {
	request place.Request
	// unread are the prompt tokens still to read, output the tokens still to make.
	unread int64
	output int64
	// source is a runner from which shared parts are copied, or nil; readyAt is when the copy has arrived.
	source  *runner
	readyAt time.Duration
	begun   bool
	// first and done are called at the first token and at the end; both may be nil for a request that was left.
	first func(now time.Duration)
	done  func(now time.Duration)
	left  bool
}

// runner is one emulated model runner.
type runner struct {
	config   RunnerConfig
	endpoint *roster.Endpoint
	clock    *clock
	waiting  []*job
	reading  *job
	running  []*job
	memory   memory
	stepping bool
	// read and readAgain are prompt tokens, the latter shared ones that some runner had read before.
	read      int64
	readAgain int64
	known     map[uint64]bool
}

func newRunner(config RunnerConfig, en *roster.Endpoint, cl *clock, known map[uint64]bool) *runner {
	return &runner{config: config, endpoint: en, clock: cl, memory: newMemory(config.Memory), known: known}
}

// accept takes a request; source is the runner that it should copy shared parts from, or nil.
func (ru *runner) accept(jo *job, source *runner) {
	jo.source = source
	jo.unread = max(1, jo.request.Prompt-ru.memory.held(jo.request.Parts))
	ru.waiting = append(ru.waiting, jo)
	ru.wake()
}

// begin finds out what the next request has to read, and starts the copy of what another runner holds by now.
func (ru *runner) begin(jo *job) {
	held := ru.memory.held(jo.request.Parts)
	if jo.source != nil {
		if more := jo.source.memory.held(jo.request.Parts) - held; more > 0 {
			held += more
			jo.readyAt = ru.clock.now + time.Duration(float64(more)/ru.config.CopyTokensPerMs*float64(time.Millisecond))
		}
	}
	jo.begun = true
	jo.unread = max(1, jo.request.Prompt-held)
	ru.noteRead(jo, held)
}

// noteRead counts what is read, and what of it some runner had read before.
func (ru *runner) noteRead(jo *job, held int64) {
	ru.read += jo.unread
	sum := int64(0)
	for ix, pa := range jo.request.Parts {
		sum += pa.Tokens
		if ix == len(jo.request.Parts)-1 || sum <= held {
			continue
		}
		if ru.known[pa.ID] {
			ru.readAgain += pa.Tokens
		}
		ru.known[pa.ID] = true
	}
}

// backlog returns the unread tokens of all that waits or is read.
func (ru *runner) backlog() int64 {
	sum := int64(0)
	for _, jo := range ru.waiting {
		sum += jo.unread
	}
	if ru.reading != nil {
		sum += ru.reading.unread
	}
	return sum
}

func (ru *runner) load() place.Load {
	busy := len(ru.running)
	if ru.reading != nil {
		busy++
	}
	return place.Load{Running: busy, Waiting: len(ru.waiting), Slots: ru.config.Slots}
}

func (ru *runner) wake() {
	if !ru.stepping {
		ru.stepping = true
		ru.step()
	}
}

// step reads one chunk and makes one token for every running request.
func (ru *runner) step() {
	ru.running = slices.DeleteFunc(ru.running, func(jo *job) bool { return jo.left })
	ru.waiting = slices.DeleteFunc(ru.waiting, func(jo *job) bool { return jo.left })
	if ru.reading != nil && ru.reading.left {
		ru.reading = nil
	}
	if ru.reading == nil && len(ru.waiting) > 0 && !ru.waiting[0].begun {
		ru.begin(ru.waiting[0])
	}
	if ru.reading == nil && len(ru.waiting) > 0 && len(ru.running) < ru.config.Slots && ru.waiting[0].readyAt <= ru.clock.now {
		ru.reading, ru.waiting = ru.waiting[0], ru.waiting[1:]
	}
	if ru.reading == nil && len(ru.running) == 0 {
		ru.stepping = false
		if len(ru.waiting) > 0 {
			ru.clock.at(max(ru.clock.now, ru.waiting[0].readyAt), ru.wake)
		}
		return
	}
	length := ru.config.Step + time.Duration(len(ru.running))*ru.config.StepPerRequest
	chunk := int64(0)
	if ru.reading != nil {
		chunk = min(ru.config.Chunk, ru.reading.unread)
		length += time.Duration(float64(chunk) / ru.config.TokensPerMs * float64(time.Millisecond))
	}
	ru.clock.at(ru.clock.now+length, func() { ru.endStep(chunk) })
}

func (ru *runner) endStep(chunk int64) {
	now := ru.clock.now
	kept := ru.running[:0]
	for _, jo := range ru.running {
		jo.output--
		if jo.output <= 0 && !jo.left {
			jo.done(now)
			continue
		}
		kept = append(kept, jo)
	}
	ru.running = kept
	if jo := ru.reading; jo != nil {
		jo.unread -= chunk
		if jo.unread <= 0 {
			ru.reading = nil
			ru.memory.add(jo.request.Parts)
			if !jo.left {
				jo.first(now)
				ru.running = append(ru.running, jo)
			}
		}
	}
	ru.step()
}

// memory keeps the least recently used parts of prompts out.
type memory struct {
	capacity int64
	tokens   int64
	parts    map[uint64]*list.Element
	order    *list.List
}

func newMemory(capacity int64) memory {
	return memory{capacity: capacity, parts: map[uint64]*list.Element{}, order: list.New()}
}

// held returns the tokens of the leading parts that are kept.
func (me *memory) held(parts []place.Part) int64 {
	sum := int64(0)
	for _, pa := range parts {
		el, ok := me.parts[pa.ID]
		if !ok {
			break
		}
		me.order.MoveToFront(el)
		sum += pa.Tokens
	}
	return sum
}

func (me *memory) add(parts []place.Part) {
	for _, pa := range parts {
		if el, ok := me.parts[pa.ID]; ok {
			me.order.MoveToFront(el)
			continue
		}
		me.parts[pa.ID] = me.order.PushFront(pa)
		me.tokens += pa.Tokens
	}
	for me.tokens > me.capacity {
		el := me.order.Back()
		pa := el.Value.(place.Part)
		me.order.Remove(el)
		delete(me.parts, pa.ID)
		me.tokens -= pa.Tokens
	}
}
