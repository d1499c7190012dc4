package emul

import (
	"container/list"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/roster"
)

// RunnerConfig describes the capacity and the speed of a model runner.
type RunnerConfig struct {
	// Slots is the maximum number of concurrent requests.
	Slots int
	// KVCapacityTokens is the size of the prefix cache in prompt tokens.
	KVCapacityTokens int64
	// Step is the constant part of the time that one step takes. The time for prefill and StepPerRequest are added to it.
	Step time.Duration
	// StepPerRequest is added to the duration of a step for each request that generates output.
	StepPerRequest time.Duration
	// PrefillTokensPerMs is the speed of prefill in tokens per millisecond.
	PrefillTokensPerMs float64
	// PrefillChunk is the maximum number of tokens prefilled in one step.
	PrefillChunk int64
	// CopyTokensPerMs is the speed at which the runner copies a cached prompt prefix from another runner, in tokens per millisecond.
	CopyTokensPerMs float64
}

// job is one request at a runner.
type job struct {
	request place.Request
	// remainingPrefill is the number of prompt tokens still to prefill.
	remainingPrefill int64
	// outputTokens is the number of tokens still to generate.
	outputTokens int64
	// source is the runner from whose cache shared parts are copied, or nil.
	source *runner
	// copyDoneAt is the time at which the copy is complete.
	copyDoneAt time.Duration
	// prepared is set once prepare has set remainingPrefill and copyDoneAt.
	prepared bool
	// onFirstToken is called at the first token, onDone at the last one; neither is called once the request is canceled.
	onFirstToken func(now time.Duration)
	onDone       func(now time.Duration)
	canceled     bool
	// onAbort is called if the runner ends the request because it falls over.
	onAbort func(now time.Duration)
}

// runner is one simulated model runner.
type runner struct {
	config   RunnerConfig
	endpoint *roster.Endpoint
	clock    *clock
	// waiting holds the requests whose prefill has not started, in order of arrival.
	waiting []*job
	// prefilling is the request in prefill, or nil.
	prefilling *job
	// running holds the requests that generate output.
	running []*job
	cache   prefixCache
	// inStep is set while a step is in progress. It is cleared when the runner has nothing to prefill or to generate.
	inStep bool
	// brittle is the state of a runner that can fall over.
	brittle brittleRunner
	// arrivals are the times at which requests arrived.
	arrivals []time.Duration
	// prefillTokens and repeatedPrefillTokens are this runner's share of Result.PrefillTokens and Result.RepeatedPrefillTokens.
	prefillTokens         int64
	repeatedPrefillTokens int64
	// prefilledParts holds the IDs of the shared parts that any runner has prefilled; all runners use the same map.
	prefilledParts map[uint64]bool
	// unevenness says how long work takes at the runner with the index.
	unevenness Unevenness
	index      int
}

func newRunner(config RunnerConfig, en *roster.Endpoint, cl *clock, prefilledParts map[uint64]bool) *runner {
	return &runner{config: config, endpoint: en, clock: cl, cache: newPrefixCache(config.KVCapacityTokens), prefilledParts: prefilledParts}
}

// accept queues a request; source is the runner from whose cache shared parts should be copied, or nil.
func (ru *runner) accept(jo *job, source *runner) {
	ru.arrivals = append(ru.arrivals, ru.clock.now)
	jo.source = source
	jo.remainingPrefill = max(1, jo.request.Prompt-ru.cache.cachedTokens(jo.request.Parts))
	ru.waiting = append(ru.waiting, jo)
	ru.wake()
}

// prepare starts the copy of cached tokens from the source of the next request. It also determines how many of the request's tokens must be
// prefilled: those in neither cache.
func (ru *runner) prepare(jo *job) {
	cached := ru.cache.cachedTokens(jo.request.Parts)
	if jo.source != nil {
		if more := jo.source.cache.cachedTokens(jo.request.Parts) - cached; more > 0 {
			cached += more
			jo.copyDoneAt = ru.clock.now + time.Duration(float64(more)/ru.config.CopyTokensPerMs*float64(time.Millisecond))
		}
	}
	jo.prepared = true
	jo.remainingPrefill = max(1, jo.request.Prompt-cached)
	ru.recordPrefill(jo, cached)
}

// recordPrefill counts the prompt tokens that the runner must prefill and, among them, the tokens of parts that some runner has prefilled
// before. The last part of a prompt is never shared, so the second count leaves it out. cached is the number of leading prompt tokens that
// need no prefill.
func (ru *runner) recordPrefill(jo *job, cached int64) {
	ru.prefillTokens += jo.remainingPrefill
	sum := int64(0)
	for ix, pa := range jo.request.Parts {
		sum += pa.Tokens
		if ix == len(jo.request.Parts)-1 || sum <= cached {
			continue
		}
		if ru.prefilledParts[pa.ID] {
			ru.repeatedPrefillTokens += pa.Tokens
		}
		ru.prefilledParts[pa.ID] = true
	}
}

// backlog returns the number of tokens still to prefill, for the waiting requests and the one in prefill.
func (ru *runner) backlog() int64 {
	sum := int64(0)
	for _, jo := range ru.waiting {
		sum += jo.remainingPrefill
	}
	if ru.prefilling != nil {
		sum += ru.prefilling.remainingPrefill
	}
	return sum
}

// load returns the load that a runner sends to the instances.
func (ru *runner) load() place.Load {
	busy := len(ru.running)
	if ru.prefilling != nil {
		busy++
	}
	lo := place.Load{Running: busy, Waiting: len(ru.waiting), Slots: ru.config.Slots}
	if ru.unevenness.Reported {
		lo.WorkPercent = int(100 * ru.unevenness.factor(ru.index, ru.clock.now))
	}
	return lo
}

// wake starts the steps of an idle runner; it does nothing if the runner is not idle.
func (ru *runner) wake() {
	if !ru.inStep {
		ru.inStep = true
		ru.step()
	}
}

// step starts one step and schedules its end. A step prefills one chunk of a prompt and generates one token for every running request.
func (ru *runner) step() {
	ru.running = slices.DeleteFunc(ru.running, func(jo *job) bool { return jo.canceled })
	ru.waiting = slices.DeleteFunc(ru.waiting, func(jo *job) bool { return jo.canceled })
	if ru.prefilling != nil && ru.prefilling.canceled {
		ru.prefilling = nil
	}
	if ru.prefilling == nil && len(ru.waiting) > 0 && !ru.waiting[0].prepared {
		ru.prepare(ru.waiting[0])
	}
	if ru.prefilling == nil && len(ru.waiting) > 0 && len(ru.running) < ru.config.Slots && ru.waiting[0].copyDoneAt <= ru.clock.now {
		ru.prefilling, ru.waiting = ru.waiting[0], ru.waiting[1:]
	}
	if ru.prefilling == nil && len(ru.running) == 0 {
		ru.inStep = false
		if len(ru.waiting) > 0 {
			ru.clock.at(max(ru.clock.now, ru.waiting[0].copyDoneAt), ru.wake)
		}
		return
	}
	duration := ru.config.Step + time.Duration(len(ru.running))*ru.config.StepPerRequest
	chunk := int64(0)
	if ru.prefilling != nil {
		chunk = min(ru.config.PrefillChunk, ru.prefilling.remainingPrefill)
		duration += time.Duration(float64(chunk) / ru.config.PrefillTokensPerMs * float64(time.Millisecond))
	}
	duration = time.Duration(float64(duration) * ru.unevenness.factor(ru.index, ru.clock.now))
	ru.clock.at(ru.clock.now+duration, func() { ru.endStep(chunk) })
}

// endStep applies the results of a step that prefilled chunk tokens, and starts the next step.
func (ru *runner) endStep(chunk int64) {
	now := ru.clock.now
	active := ru.running[:0]
	for _, jo := range ru.running {
		jo.outputTokens--
		if jo.outputTokens <= 0 && !jo.canceled {
			jo.onDone(now)
			continue
		}
		active = append(active, jo)
	}
	ru.running = active
	if jo := ru.prefilling; jo != nil {
		jo.remainingPrefill -= chunk
		if jo.remainingPrefill <= 0 {
			ru.prefilling = nil
			ru.cache.add(jo.request.Parts)
			if !jo.canceled {
				jo.onFirstToken(now)
				ru.running = append(ru.running, jo)
			}
		}
	}
	ru.step()
}

// prefixCache is a runner's LRU cache of prompt parts.
type prefixCache struct {
	// capacity is the maximum number of tokens in the cache.
	capacity int64
	// tokens is the number of tokens in all cached parts.
	tokens int64
	// parts holds the elements of recency by the ID of their part.
	parts map[uint64]*list.Element
	// recency lists the cached parts, the most recently used first.
	recency *list.List
}

func newPrefixCache(capacity int64) prefixCache {
	return prefixCache{capacity: capacity, parts: map[uint64]*list.Element{}, recency: list.New()}
}

// cachedTokens returns the number of leading prompt tokens that are cached: it adds up the parts up to the first one that is not cached. It
// marks these parts as recently used.
func (pc *prefixCache) cachedTokens(parts []place.Part) int64 {
	sum := int64(0)
	for _, pa := range parts {
		el, ok := pc.parts[pa.ID]
		if !ok {
			break
		}
		pc.recency.MoveToFront(el)
		sum += pa.Tokens
	}
	return sum
}

// add adds parts, then evicts the least recently used parts until the cache is within its capacity.
func (pc *prefixCache) add(parts []place.Part) {
	for _, pa := range parts {
		if el, ok := pc.parts[pa.ID]; ok {
			pc.recency.MoveToFront(el)
			continue
		}
		pc.parts[pa.ID] = pc.recency.PushFront(pa)
		pc.tokens += pa.Tokens
	}
	for pc.tokens > pc.capacity {
		el := pc.recency.Back()
		pa := el.Value.(place.Part)
		pc.recency.Remove(el)
		delete(pc.parts, pa.ID)
		pc.tokens -= pa.Tokens
	}
}
