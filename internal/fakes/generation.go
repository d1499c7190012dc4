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
	defaultAnswerTokens = 16
	bytesPerToken       = 4
	stallPoll           = 100 * time.Millisecond
	// wholeWait is how long an unfinished whole answer is waited for before the caller is told to ask again.
	wholeWait = 2 * time.Second
)

var answerLength = regexp.MustCompile(`answer=(\d+)`)

// Words returns the tokens with which a runner answers a prompt.
func Words(prompt string, bound int) []string {
	sum := sha256.Sum256([]byte(prompt))
	word := hex.EncodeToString(sum[:4])
	count := defaultAnswerTokens
	if ma := answerLength.FindStringSubmatch(prompt); ma != nil {
		count, _ = strconv.Atoi(ma[1])
	}
	if bound > 0 {
		count = min(count, bound)
	}
	words := make([]string, count)
	for ix := range words {
		words[ix] = fmt.Sprintf("%s.%d ", word, ix)
	}
	return words
}

// generation is one answer in the making; its events are kept so that a stream can be resumed.
type generation struct {
	runner   *Runner
	id       string
	key      string
	path     string
	priority int
	fencing  int64
	request  completionRequest
	text     string
	words    []string
	mu       sync.Mutex
	changed  chan struct{}
	events   [][]byte
	produced int
	done     bool
	aborted  bool
	canceled bool
}

func newGeneration(ru *Runner, rq *http.Request, cr completionRequest) *generation {
	priority, _ := strconv.Atoi(rq.Header.Get(headerPriority))
	text := cr.text()
	return &generation{
		runner: ru, id: rq.Header.Get(headerID), key: rq.Header.Get(headerKey), path: rq.URL.Path,
		priority: priority, fencing: fencingOf(rq), request: cr, text: text, words: Words(text, cr.bound()), changed: make(chan struct{}),
	}
}

func (ge *generation) run() {
	ge.runner.tell(ge.fencing, 0)
	sw := ge.runner.slots.acquire(ge.priority)
	defer ge.runner.slots.release(sw)
	if !ge.awaitSlot(sw) {
		return
	}
	time.Sleep(time.Duration(ge.runner.cache.use(ge.text)) * ge.runner.config.PrefillPerBlock)
	for ge.runner.stalled() && !ge.ended() {
		time.Sleep(stallPoll)
	}
	if ge.runner.crashesOn(ge.text) {
		ge.runner.Crash()
		return
	}
	for ix, word := range ge.words {
		time.Sleep(ge.runner.config.TokenDelay)
		if !ge.produce(ge.chunk(word, ix)) {
			return
		}
		ge.runner.tell(ge.fencing, ix+1)
	}
	ge.runner.tell(ge.fencing, EventEnd)
	ge.complete()
}

func (ge *generation) awaitSlot(sw *slotWaiter) bool {
	for {
		select {
		case <-sw.ready:
			return !ge.ended()
		case <-ge.wait():
			if ge.ended() {
				return false
			}
		}
	}
}

func (ge *generation) wait() <-chan struct{} {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return ge.changed
}

func (ge *generation) ended() bool {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return ge.done || ge.aborted || ge.canceled
}

func (ge *generation) produce(event []byte) bool {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	if ge.aborted || ge.canceled {
		return false
	}
	ge.events = append(ge.events, event)
	ge.produced++
	ge.signal()
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
	ge.signal()
}

func (ge *generation) abort() {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.aborted = true
	ge.signal()
}

func (ge *generation) cancel() {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.canceled = true
	ge.signal()
}

func (ge *generation) signal() {
	close(ge.changed)
	ge.changed = make(chan struct{})
}

func (ge *generation) count() RunCount {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return RunCount{
		ID: ge.id, Key: ge.key, PromptTokens: promptTokens(ge.text), CompletionTokens: ge.produced, Whole: ge.done,
	}
}

// usageBody is the usage figure of the OpenAI-compatible interface.
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
	prompt := promptTokens(ge.text)
	return usageBody{PromptTokens: prompt, CompletionTokens: ge.produced, TotalTokens: prompt + ge.produced}
}

func promptTokens(text string) int { return len(text)/bytesPerToken + 1 }

func (ge *generation) chat() bool { return strings.HasPrefix(ge.path, "/v1/chat/") }

func (ge *generation) object() string {
	if ge.chat() {
		return "chat.completion"
	}
	return "text_completion"
}

func (ge *generation) chunk(word string, index int) []byte {
	if !ge.chat() {
		return fmt.Appendf(nil, `data: {"id":"cmpl-%s","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`+"\n\n", ge.id, ge.request.Model, word)
	}
	role := ""
	if index == 0 {
		role = `"role":"assistant",`
	}
	return fmt.Appendf(nil, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{%s"content":%q},"finish_reason":null}]}`+"\n\n", ge.id, ge.request.Model, role, word)
}

func (ge *generation) finalEvent() []byte {
	if !ge.chat() {
		return fmt.Appendf(nil, `data: {"id":"cmpl-%s","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":"","finish_reason":"stop"}]}`+"\n\n", ge.id, ge.request.Model)
	}
	return fmt.Appendf(nil, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n", ge.id, ge.request.Model)
}

func (ge *generation) usageEvent() []byte {
	usage, _ := json.Marshal(ge.usageLocked())
	return fmt.Appendf(nil, `data: {"id":"chatcmpl-%s","object":"%s.chunk","created":1,"model":%q,"choices":[],"usage":%s}`+"\n\n", ge.id, ge.object(), ge.request.Model, usage)
}

// stream sends the events from an index on, as they are produced.
func (ge *generation) stream(ct echo.Context, from int, fa RunnerFaults) error {
	rs := ct.Response()
	rs.Header().Set("Content-Type", "text/event-stream")
	rs.WriteHeader(http.StatusOK)
	rs.Flush()
	for sent := from; ; {
		events, done, changed := ge.since(sent)
		for _, ev := range events {
			ge.misbehave(ct, sent-from, fa)
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

func (ge *generation) misbehave(ct echo.Context, sent int, fa RunnerFaults) {
	if fa.DropAfter > 0 && sent >= fa.DropAfter {
		panic(http.ErrAbortHandler)
	}
	if fa.SilentAfter > 0 && sent >= fa.SilentAfter {
		<-ct.Request().Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// since returns the events from an index on; it ends the connection of a run that was aborted.
func (ge *generation) since(from int) ([][]byte, bool, <-chan struct{}) {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	if ge.aborted || ge.canceled {
		panic(http.ErrAbortHandler)
	}
	from = min(from, len(ge.events))
	return ge.events[from:], ge.done, ge.changed
}

// whole sends the answer once it is complete, or 202 where that takes long.
func (ge *generation) whole(ct echo.Context, fa RunnerFaults) error {
	first := ct.Request().Method == http.MethodPost
	ti := time.NewTimer(wholeWait)
	defer ti.Stop()
	for {
		_, done, changed := ge.since(0)
		if done {
			if first {
				ge.misbehave(ct, 1, fa)
			}
			return ct.JSONBlob(http.StatusOK, ge.body())
		}
		select {
		case <-ct.Request().Context().Done():
			return nil
		case <-ti.C:
			if !first {
				return ct.NoContent(http.StatusAccepted)
			}
		case <-changed:
		}
	}
}

func (ge *generation) body() []byte {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	text, _ := json.Marshal(strings.Join(ge.words, ""))
	usage, _ := json.Marshal(ge.usageLocked())
	if !ge.chat() {
		return fmt.Appendf(nil, `{"id":"cmpl-%s","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":%s,"finish_reason":"stop"}],"usage":%s}`, ge.id, ge.request.Model, text, usage)
	}
	return fmt.Appendf(nil, `{"id":"chatcmpl-%s","object":"chat.completion","created":1,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}],"usage":%s}`, ge.id, ge.request.Model, text, usage)
}
