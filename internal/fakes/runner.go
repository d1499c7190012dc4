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

// Header names that the router sends to endpoints.
const (
	headerID       = "X-Request-ID"
	headerKey      = "Idempotency-Key"
	headerPriority = "X-Priority"
	headerFencing  = "X-Fencing"
)

// RunProbe is told of runs: Event 0 is the dispatch, 1 the first token, and -1 the end.
type RunProbe interface {
	Ran(endpoint string, fencing int64, event int)
}

// EventEnd is the event of a run that has produced everything.
const EventEnd = -1

func fencingOf(rq *http.Request) int64 {
	num, _ := strconv.ParseInt(rq.Header.Get(headerFencing), 10, 64)
	return num
}

// RunnerConfig describes a model runner.
type RunnerConfig struct {
	Name   string
	Models []string
	Slots  int
	// TokenDelay is the time between tokens of one answer.
	TokenDelay time.Duration
	// PrefillPerBlock is the time for each prompt block that is not cached.
	PrefillPerBlock time.Duration
	CacheBlocks     int
	// ReportLag is the age of the load that is reported.
	ReportLag time.Duration
	// RestartAfter is the time that a crash takes.
	RestartAfter time.Duration
}

// RunnerFaults says how a runner misbehaves.
type RunnerFaults struct {
	// CrashOn crashes the runner when a prompt contains the text.
	CrashOn string `json:"crashOn"`
	// SilentAfter makes an answer's connection go silent after that many events, while the run goes on.
	SilentAfter int `json:"silentAfter"`
	// DropAfter closes an answer's connection after that many events.
	DropAfter int `json:"dropAfter"`
	// FaultyAnswers limits SilentAfter and DropAfter to that many answers; zero sets no limit.
	FaultyAnswers int `json:"faultyAnswers"`
	// Stall holds every run before its first token.
	Stall   bool `json:"stall"`
	Refuse  bool `json:"refuse"`
	Leaving bool `json:"leaving"`
}

// RunCount is what a runner ran for one request.
type RunCount struct {
	ID               string `json:"id"`
	Key              string `json:"key"`
	PromptTokens     int    `json:"promptTokens"`
	CompletionTokens int    `json:"completionTokens"`
	Whole            bool   `json:"whole"`
}

// Runner is a model runner that answers with text derived from the prompt.
type Runner struct {
	config  RunnerConfig
	mu      sync.Mutex
	faults  RunnerFaults
	faulty  int
	runs    map[string]*generation
	history []*generation
	slots   *slotQueue
	cache   *blockCache
	down    time.Time
	lagged  []loadSample
	probe   RunProbe
}

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

// SetFaults replaces the faults.
func (ru *Runner) SetFaults(fa RunnerFaults) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.faults = fa
	ru.faulty = 0
}

// SetProbe sets who is told of runs.
func (ru *Runner) SetProbe(pr RunProbe) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.probe = pr
}

func (ru *Runner) tell(fencing int64, event int) {
	ru.mu.Lock()
	pr := ru.probe
	ru.mu.Unlock()
	if pr != nil {
		pr.Ran(ru.config.Name, fencing, event)
	}
}

// Crash ends every run and refuses connections until the runner has restarted.
func (ru *Runner) Crash() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.down = time.Now().Add(ru.config.RestartAfter)
	for _, ge := range ru.runs {
		ge.abort()
	}
	ru.runs = map[string]*generation{}
	ru.cache.clear()
}

// Runs returns what was run, in order of arrival.
func (ru *Runner) Runs() []RunCount {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	list := make([]RunCount, 0, len(ru.history))
	for _, ge := range ru.history {
		list = append(list, ge.count())
	}
	return list
}

// Handler returns the HTTP interface.
func (ru *Runner) Handler() http.Handler {
	ec := echo.New()
	ec.HideBanner = true
	ec.Use(ru.dieWhenDown)
	ec.POST("/v1/chat/completions", ru.handleCompletion)
	ec.POST("/v1/completions", ru.handleCompletion)
	ec.GET("/v1/streams/:id", ru.handleResume)
	ec.POST("/v1/streams/:id/cancel", ru.handleCancel)
	ec.GET("/v1/load", ru.handleLoad)
	ec.GET("/v1/runs", func(ct echo.Context) error { return ct.JSON(http.StatusOK, ru.Runs()) })
	ec.POST("/control", ru.handleControl)
	return ec
}

func (ru *Runner) dieWhenDown(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ct echo.Context) error {
		ru.mu.Lock()
		down := time.Now().Before(ru.down)
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

func (cr completionRequest) text() string {
	var sb strings.Builder
	sb.WriteString(cr.Prompt)
	for _, me := range cr.Messages {
		sb.WriteString(me.Content)
	}
	return sb.String()
}

func (cr completionRequest) bound() int { return max(cr.MaxTokens, cr.MaxCompletionTokens) }

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
		return echo.NewHTTPError(http.StatusServiceUnavailable, "this runner takes no requests")
	}
	if cr.Stream {
		return ge.stream(ct, 0, fa)
	}
	return ge.whole(ct, fa)
}

func (ru *Runner) start(ct echo.Context, cr completionRequest) (*generation, RunnerFaults) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.faults.Refuse || ru.faults.Leaving {
		return nil, ru.faults
	}
	fa := ru.faults
	if fa.FaultyAnswers > 0 {
		if ru.faulty >= fa.FaultyAnswers {
			fa.SilentAfter = 0
			fa.DropAfter = 0
		}
		ru.faulty++
	}
	ge := newGeneration(ru, ct.Request(), cr)
	ru.runs[ge.id] = ge
	ru.history = append(ru.history, ge)
	go ge.run()
	return ge, fa
}

func (ru *Runner) find(id string) (*generation, bool) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ge, ok := ru.runs[id]
	return ge, ok
}

func (ru *Runner) crashesOn(text string) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.faults.CrashOn != "" && strings.Contains(text, ru.faults.CrashOn)
}

func (ru *Runner) stalled() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.faults.Stall
}

func (ru *Runner) handleResume(ct echo.Context) error {
	ge, ok := ru.find(ct.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "unknown stream")
	}
	from, _ := strconv.Atoi(ct.QueryParam("from"))
	if ge.request.Stream {
		return ge.stream(ct, from, RunnerFaults{})
	}
	return ge.whole(ct, RunnerFaults{})
}

func (ru *Runner) handleCancel(ct echo.Context) error {
	ge, ok := ru.find(ct.Param("id"))
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "unknown stream")
	}
	ge.cancel()
	return ct.JSON(http.StatusOK, ge.usage())
}

// LoadReport is the load of a runner.
type LoadReport struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving"`
}

func (ru *Runner) handleLoad(ct echo.Context) error {
	running, queued := ru.slots.load()
	ru.mu.Lock()
	defer ru.mu.Unlock()
	now := time.Now()
	ru.lagged = append(ru.lagged, loadSample{at: now, running: running, queued: queued})
	for len(ru.lagged) > 1 && now.Sub(ru.lagged[1].at) >= ru.config.ReportLag {
		ru.lagged = ru.lagged[1:]
	}
	sa := ru.lagged[0]
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
