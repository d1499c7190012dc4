package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// Headers that the router sends to endpoints.
const (
	headerRequestID      = "X-Request-ID"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Priority"
	headerFencing        = "X-Fencing"
)

// RunProbe observes the requests that endpoints run.
type RunProbe interface {
	// RunEvent is called when a request arrives (event 0), when its Nth token is produced (event N) and when it has run (EventEnd). fencing
	// is the fencing token of the request.
	RunEvent(endpoint string, fencing int64, event int)
}

// EventEnd is the event that RunEvent gets when a request has run. It is negative because numbers from 0 on stand for the arrival and the
// tokens.
const EventEnd = -1

// fencingToken returns the fencing token of a request: the number of the incarnation that sent it, or 0.
func fencingToken(rq *http.Request) int64 {
	num, _ := strconv.ParseInt(rq.Header.Get(headerFencing), 10, 64)
	return num
}

// RunnerConfig describes a model runner.
type RunnerConfig struct {
	// Name identifies the endpoint; RunProbe.RunEvent gets it as its argument endpoint.
	Name string
	// Models are the names of the models that the runner serves; requests are not checked against them.
	Models []string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// TokenDelay is the time to generate one output token.
	TokenDelay time.Duration
	// PrefillPerBlock is the prefill time of a prompt block that is not cached.
	PrefillPerBlock time.Duration
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag is the age of the load that the runner returns.
	ReportLag time.Duration
	// RestartAfter is the time from a crash until the runner serves again.
	RestartAfter time.Duration
}

// RunnerFaults are the faults injected into a runner.
type RunnerFaults struct {
	// CrashOn crashes the runner when it runs a request whose prompt contains this text; empty means never.
	CrashOn string `json:"crashOn"`
	// SilentAfter is the number of events that the runner sends on a response's connection before it falls silent; the run continues. Zero
	// means never.
	SilentAfter int `json:"silentAfter"`
	// DropAfter is the number of events that the runner sends on a response's connection before it closes it; zero means never.
	DropAfter int `json:"dropAfter"`
	// FaultyResponses is the maximum number of responses that SilentAfter and DropAfter affect; zero means no limit. In JSON it is called
	// faultyAnswers.
	FaultyResponses int `json:"faultyAnswers"`
	// Stall blocks every run before its first token.
	Stall bool `json:"stall"`
	// Refuse rejects every request.
	Refuse bool `json:"refuse"`
	// Leaving rejects every request, and the returned load says that the runner is leaving (draining).
	Leaving bool `json:"leaving"`
}

// RunRecord describes one request that a runner has accepted.
type RunRecord struct {
	// ID is the request ID.
	ID string `json:"id"`
	// Key is the caller's idempotency key, or empty.
	Key string `json:"key"`
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int `json:"promptTokens"`
	// CompletionTokens is the number of tokens produced so far.
	CompletionTokens int `json:"completionTokens"`
	// Complete is false if the request was aborted or canceled, or still runs.
	Complete bool `json:"whole"`
}

// Runner is a stand-in for a model runner; its completions are derived from the prompt.
type Runner struct {
	config RunnerConfig
	mu     sync.Mutex
	faults RunnerFaults
	// faultyResponses counts the requests accepted since the faults were set. It is kept only if RunnerFaults.FaultyResponses is not zero.
	faultyResponses int
	// runs holds the requests by ID, without those from before the last crash.
	runs map[string]*generation
	// history holds all requests in order of arrival.
	history []*generation
	slots   *slotQueue
	cache   *blockCache
	// downUntil is the end of the restart after the last crash.
	downUntil time.Time
	// crashes is the number of crashes.
	crashes int
	// loadSamples are the loads at past calls, the oldest first; handleLoad returns the first.
	loadSamples []loadSample
	probe       RunProbe
}

// loadSample is the load at a point in time.
type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// NewRunner returns an idle runner.
func NewRunner(config RunnerConfig) *Runner {
	return &Runner{
		config: config, runs: map[string]*generation{},
		slots: newSlotQueue(config.Slots), cache: newBlockCache(config.CacheBlocks),
	}
}

// SetFaults replaces all faults and restarts the count for FaultyResponses.
func (ru *Runner) SetFaults(fa RunnerFaults) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.faults = fa
	ru.faultyResponses = 0
}

// SetProbe sets the probe that observes runs.
func (ru *Runner) SetProbe(pr RunProbe) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.probe = pr
}

func (ru *Runner) notifyProbe(fencing int64, event int) {
	ru.mu.Lock()
	pr := ru.probe
	ru.mu.Unlock()
	if pr != nil {
		pr.RunEvent(ru.config.Name, fencing, event)
	}
}

// Crash aborts every run, clears the prefix cache and aborts all connections until the runner has restarted.
func (ru *Runner) Crash() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.crashes++
	ru.downUntil = time.Now().Add(ru.config.RestartAfter)
	for _, ge := range ru.runs {
		ge.abort()
	}
	ru.runs = map[string]*generation{}
	ru.cache.clear()
}

// Crashes returns the number of crashes.
func (ru *Runner) Crashes() int {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.crashes
}

// Runs returns all accepted requests in order of arrival.
func (ru *Runner) Runs() []RunRecord {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	list := make([]RunRecord, 0, len(ru.history))
	for _, ge := range ru.history {
		list = append(list, ge.record())
	}
	return list
}

// Handler returns the HTTP handler.
func (ru *Runner) Handler() http.Handler {
	ec := echo.New()
	ec.HideBanner = true
	ec.Use(ru.abortWhenDown, repeatRequestID)
	ec.POST("/v1/chat/completions", ru.handleCompletion)
	ec.POST("/v1/completions", ru.handleCompletion)
	ec.GET("/v1/streams/:id", ru.handleResume)
	ec.POST("/v1/streams/:id/cancel", ru.handleCancel)
	ec.GET("/v1/load", ru.handleLoad)
	ec.GET("/v1/runs", func(ct echo.Context) error { return ct.JSON(http.StatusOK, ru.Runs()) })
	ec.POST("/control", ru.handleControl)
	return ec
}

// repeatRequestID sets the ID of the request in the response.
func repeatRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ct echo.Context) error {
		if id := ct.Request().Header.Get(headerRequestID); id != "" {
			ct.Response().Header().Set(headerRequestID, id)
		}
		return next(ct)
	}
}

func (ru *Runner) abortWhenDown(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ct echo.Context) error {
		ru.mu.Lock()
		down := time.Now().Before(ru.downUntil)
		ru.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		return next(ct)
	}
}

type completionRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (cr completionRequest) promptText() string {
	var sb strings.Builder
	sb.WriteString(cr.Prompt)
	for _, me := range cr.Messages {
		sb.WriteString(me.Content)
	}
	return sb.String()
}

func (cr completionRequest) maxTokens() int { return max(cr.MaxTokens, cr.MaxCompletionTokens) }

func (ru *Runner) handleCompletion(ct echo.Context) error {
	data, err := io.ReadAll(ct.Request().Body)
	if err != nil {
		return err
	}
	var cr completionRequest
	if err := json.Unmarshal(data, &cr); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	ge, fa := ru.start(ct, cr)
	if ge == nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the runner does not accept requests: the fault refuse or leaving is set")
	}
	if cr.Stream {
		return ge.sendEvents(ct, 0, fa)
	}
	return ge.sendComplete(ct, fa)
}

// start accepts a request and starts its generation, and returns the faults that apply to the response. If the runner refuses, the
// generation is nil.
func (ru *Runner) start(ct echo.Context, cr completionRequest) (*generation, RunnerFaults) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.faults.Refuse || ru.faults.Leaving {
		return nil, ru.faults
	}
	fa := ru.faults
	if fa.FaultyResponses > 0 {
		if ru.faultyResponses >= fa.FaultyResponses {
			fa.SilentAfter = 0
			fa.DropAfter = 0
		}
		ru.faultyResponses++
	}
	ge := newGeneration(ru, ct.Request(), cr)
	ru.runs[ge.id] = ge
	ru.history = append(ru.history, ge)
	go ge.run()
	return ge, fa
}

func (ru *Runner) findRun(id string) (*generation, bool) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ge, ok := ru.runs[id]
	return ge, ok
}

func (ru *Runner) isCrashText(text string) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.faults.CrashOn != "" && strings.Contains(text, ru.faults.CrashOn)
}

func (ru *Runner) isStalled() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.faults.Stall
}

func (ru *Runner) handleResume(ct echo.Context) error {
	ge, ok := ru.findRun(ct.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "unknown stream")
	}
	from, _ := strconv.Atoi(ct.QueryParam("from"))
	if ge.request.Stream {
		return ge.sendEvents(ct, from, RunnerFaults{})
	}
	return ge.sendComplete(ct, RunnerFaults{})
}

func (ru *Runner) handleCancel(ct echo.Context) error {
	ge, ok := ru.findRun(ct.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "unknown stream")
	}
	ge.cancel()
	return ct.JSON(http.StatusOK, ge.usage())
}

// LoadReport is the load that an endpoint returns to the router.
type LoadReport struct {
	// Running is the number of requests that have a slot.
	Running int `json:"running"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// Leaving is true if the endpoint is leaving (draining).
	Leaving bool `json:"leaving"`
}

func (ru *Runner) handleLoad(ct echo.Context) error {
	running, queued := ru.slots.load()
	ru.mu.Lock()
	defer ru.mu.Unlock()
	now := time.Now()
	ru.loadSamples = append(ru.loadSamples, loadSample{at: now, running: running, queued: queued})
	for len(ru.loadSamples) > 1 && now.Sub(ru.loadSamples[1].at) >= ru.config.ReportLag {
		ru.loadSamples = ru.loadSamples[1:]
	}
	sa := ru.loadSamples[0]
	return ct.JSON(http.StatusOK, LoadReport{Running: sa.running, Queued: sa.queued, Leaving: ru.faults.Leaving})
}

func (ru *Runner) handleControl(ct echo.Context) error {
	var rq struct {
		RunnerFaults
		Crash bool `json:"crash"`
	}
	if err := ct.Bind(&rq); err != nil {
		return err
	}
	ru.SetFaults(rq.RunnerFaults)
	if rq.Crash {
		ru.Crash()
	}
	return ct.NoContent(http.StatusNoContent)
}
