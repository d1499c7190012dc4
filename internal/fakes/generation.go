package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// defaultAnswerTokens is the length of a completion whose prompt does not set one.
	defaultAnswerTokens = 16
	bytesPerToken       = 4
	// stallPollInterval is the interval at which a stalled generation checks whether the fault Stall is still set.
	stallPollInterval = 100 * time.Millisecond
	// resumeTimeout is the maximum time that a resumed, non-streamed request waits for the complete response. It then gets status 202.
	resumeTimeout = 2 * time.Second
)

var answerLengthPattern = regexp.MustCompile(`answer=(\d+)`)

// CompletionWords returns the completion of a prompt, one word for each token. The words are derived from the prompt, so a caller can verify
// that it got its own response. The completion has N tokens if the prompt contains "answer=N", otherwise defaultAnswerTokens. A maxTokens
// above zero limits this number.
func CompletionWords(prompt string, maxTokens int) []string {
	sum := sha256.Sum256([]byte(prompt))
	word := hex.EncodeToString(sum[:4])
	count := defaultAnswerTokens
	if ma := answerLengthPattern.FindStringSubmatch(prompt); ma != nil {
		count, _ = strconv.Atoi(ma[1])
	}
	if maxTokens > 0 {
		count = min(count, maxTokens)
	}
	words := make([]string, count)
	for ix := range words {
		words[ix] = fmt.Sprintf("%s.%d ", word, ix)
	}
	return words
}

// generation is the execution of one request. It keeps all events, so a stream can be resumed.
type generation struct {
	runner *Runner
	// id is the request ID, key the idempotency key or empty.
	id       string
	key      string
	path     string
	priority int
	// fencing is the fencing token of the request.
	fencing int64
	request completionRequest
	// prompt is the text of the whole prompt.
	prompt string
	// tokens holds one word for each token of the whole completion, also of those not produced yet.
	tokens []string
	mu     sync.Mutex
	// changed is closed and replaced whenever one of the fields below changes.
	changed chan struct{}
	// events are the events of the stream so far.
	events [][]byte
	// produced is the number of tokens produced so far.
	produced int
	// done is set once all events have been produced.
	done bool
	// aborted is set if the runner crashed.
	aborted bool
	// canceled is set if the request was canceled.
	canceled bool
}

func newGeneration(ru *Runner, rq *http.Request, cr completionRequest) *generation {
	priority, _ := strconv.Atoi(rq.Header.Get(headerPriority))
	text := cr.promptText()
	return &generation{
		runner: ru, id: rq.Header.Get(headerRequestID), key: rq.Header.Get(headerIdempotencyKey), path: rq.URL.Path,
		priority: priority, fencing: fencingToken(rq), request: cr, prompt: text, tokens: CompletionWords(text, cr.maxTokens()),
		changed: make(chan struct{}),
	}
}

// run waits for a slot, simulates prefill and then produces one token after another.
func (ge *generation) run() {
	ge.runner.notifyProbe(ge.fencing, 0)
	sw := ge.runner.slots.acquire(ge.priority)
	defer ge.runner.slots.release(sw)
	if !ge.awaitSlot(sw) {
		return
	}
	time.Sleep(time.Duration(ge.runner.cache.use(ge.prompt)) * ge.runner.config.PrefillPerBlock)
	for ge.runner.isStalled() && !ge.ended() {
		time.Sleep(stallPollInterval)
	}
	if ge.runner.isCrashText(ge.prompt) {
		ge.runner.Crash()
		return
	}
	for ix, word := range ge.tokens {
		time.Sleep(ge.runner.config.TokenDelay)
		if !ge.produce(ge.chunk(word, ix)) {
			return
		}
		ge.runner.notifyProbe(ge.fencing, ix+1)
	}
	ge.runner.notifyProbe(ge.fencing, EventEnd)
	ge.complete()
}

// awaitSlot waits for a slot; it returns false if the generation ends before it has one.
func (ge *generation) awaitSlot(sw *slotWaiter) bool {
	for {
		select {
		case <-sw.ready:
			return !ge.ended()
		case <-ge.nextChange():
			if ge.ended() {
				return false
			}
		}
	}
}

// nextChange returns a channel that is closed when the generation's state changes next.
func (ge *generation) nextChange() <-chan struct{} {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return ge.changed
}

func (ge *generation) ended() bool {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return ge.done || ge.aborted || ge.canceled
}

// produce adds the event of one token; it returns false if the generation was aborted or canceled.
func (ge *generation) produce(event []byte) bool {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	if ge.aborted || ge.canceled {
		return false
	}
	ge.events = append(ge.events, event)
	ge.produced++
	ge.broadcast()
	return true
}

func (ge *generation) complete() {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	if ge.aborted || ge.canceled {
		return
	}
	ge.events = append(ge.events, ge.finalEvent())
	if ge.request.StreamOptions.IncludeUsage {
		ge.events = append(ge.events, ge.usageEvent())
	}
	ge.events = append(ge.events, []byte("data: [DONE]\n\n"))
	ge.done = true
	ge.broadcast()
}

func (ge *generation) abort() {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.aborted = true
	ge.broadcast()
}

func (ge *generation) cancel() {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.canceled = true
	ge.broadcast()
}

func (ge *generation) broadcast() {
	close(ge.changed)
	ge.changed = make(chan struct{})
}

func (ge *generation) record() RunRecord {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return RunRecord{
		ID: ge.id, Key: ge.key, PromptTokens: promptTokens(ge.prompt), CompletionTokens: ge.produced, Complete: ge.done,
	}
}

// usageBody is the usage object of the OpenAI-compatible interface.
type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (ge *generation) usage() usageBody {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return ge.usageLocked()
}

func (ge *generation) usageLocked() usageBody {
	prompt := promptTokens(ge.prompt)
	return usageBody{PromptTokens: prompt, CompletionTokens: ge.produced, TotalTokens: prompt + ge.produced}
}

func promptTokens(text string) int { return len(text)/bytesPerToken + 1 }

func (ge *generation) isChat() bool { return strings.HasPrefix(ge.path, "/v1/chat/") }

func (ge *generation) object() string {
	if ge.isChat() {
		return "chat.completion"
	}
	return "text_completion"
}

func (ge *generation) chunk(word string, index int) []byte {
	if !ge.isChat() {
		return fmt.Appendf(nil, `data: {"id":"cmpl-%s","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`+"\n\n", ge.id, ge.request.Model, word)
	}
	role := ""
	if index == 0 {
		role = `"role":"assistant",`
	}
	return fmt.Appendf(nil, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{%s"content":%q},"finish_reason":null}]}`+"\n\n", ge.id, ge.request.Model, role, word)
}

func (ge *generation) finalEvent() []byte {
	if !ge.isChat() {
		return fmt.Appendf(nil, `data: {"id":"cmpl-%s","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":"","finish_reason":"stop"}]}`+"\n\n", ge.id, ge.request.Model)
	}
	return fmt.Appendf(nil, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n", ge.id, ge.request.Model)
}

func (ge *generation) usageEvent() []byte {
	usage, _ := json.Marshal(ge.usageLocked())
	return fmt.Appendf(nil, `data: {"id":"chatcmpl-%s","object":"%s.chunk","created":1,"model":%q,"choices":[],"usage":%s}`+"\n\n", ge.id, ge.object(), ge.request.Model, usage)
}

// sendEvents sends the events from the index from onwards, as they are produced.
func (ge *generation) sendEvents(ct echo.Context, from int, fa RunnerFaults) error {
	rs := ct.Response()
	rs.Header().Set("Content-Type", "text/event-stream")
	rs.WriteHeader(http.StatusOK)
	rs.Flush()
	for sent := from; ; {
		events, done, changed := ge.eventsFrom(sent)
		for _, ev := range events {
			ge.injectFault(ct, sent-from, fa)
			if _, err := rs.Write(ev); err != nil {
				return nil
			}
			rs.Flush()
			sent++
		}
		if done {
			return nil
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-ct.Request().Context().Done():
			return nil
		case <-changed:
		}
	}
}

// injectFault drops the connection, or stops sending on it, if the faults say so after the given number of events sent on it.
func (ge *generation) injectFault(ct echo.Context, sent int, fa RunnerFaults) {
	if fa.DropAfter > 0 && sent >= fa.DropAfter {
		panic(http.ErrAbortHandler)
	}
	if fa.SilentAfter > 0 && sent >= fa.SilentAfter {
		<-ct.Request().Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// eventsFrom returns the events from the index from onwards, whether the generation is complete, and a channel that is closed at the next
// change. It aborts the caller's connection if the generation was aborted or canceled.
func (ge *generation) eventsFrom(from int) ([][]byte, bool, <-chan struct{}) {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	if ge.aborted || ge.canceled {
		panic(http.ErrAbortHandler)
	}
	from = min(from, len(ge.events))
	return ge.events[from:], ge.done, ge.changed
}

// sendComplete sends the non-streamed response once the generation is complete. A resumed request (GET) waits for at most resumeTimeout, and
// then gets status 202.
func (ge *generation) sendComplete(ct echo.Context, fa RunnerFaults) error {
	isFirst := ct.Request().Method == http.MethodPost
	ti := time.NewTimer(resumeTimeout)
	defer ti.Stop()
	for {
		_, done, changed := ge.eventsFrom(0)
		if done {
			if isFirst {
				ge.injectFault(ct, 1, fa)
			}
			return ct.JSONBlob(http.StatusOK, ge.body())
		}
		select {
		case <-ct.Request().Context().Done():
			return nil
		case <-ti.C:
			if !isFirst {
				return ct.NoContent(http.StatusAccepted)
			}
		case <-changed:
		}
	}
}

func (ge *generation) body() []byte {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	text, _ := json.Marshal(strings.Join(ge.tokens, ""))
	usage, _ := json.Marshal(ge.usageLocked())
	if !ge.isChat() {
		return fmt.Appendf(nil, `{"id":"cmpl-%s","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":%s,"finish_reason":"stop"}],"usage":%s}`, ge.id, ge.request.Model, text, usage)
	}
	return fmt.Appendf(nil, `{"id":"chatcmpl-%s","object":"chat.completion","created":1,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}],"usage":%s}`, ge.id, ge.request.Model, text, usage)
}
