package fakes

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/internal/plat"
	"github.com/clementineweir/clementineweir/pkg/oplog"
)

// Errors of the log service.
var (
	errDown          = eris.New("the log service is down")
	errResponseLost  = eris.New("the response to the append was lost")
	errAppendRate    = eris.New("the log service's rate limit of appends is exceeded")
	errEntryTooLarge = eris.New("the log entry exceeds the size limit of 4 MiB")
)

// maxEntryBytes is the maximum size of an entry.
const maxEntryBytes = 4 << 20

// LogFaults are the faults injected into the log service.
type LogFaults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is added to the duration of every call.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of appends, counted from now, that take effect but return an error. In JSON it is called loseAnswers.
	LoseResponses int `json:"loseAnswers"`
	// AppendsPerSecond is the rate limit of appends; zero means no limit.
	AppendsPerSecond int `json:"appendsPerSecond"`
	// Retain is the number of newest entries that each stream retains; zero means all.
	Retain int `json:"retain"`
}

// Log is an in-memory log service; it is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	// changed is closed and replaced at each append.
	changed chan struct{}
	// appends is the number of appends that took effect.
	appends int64
	// windowStart is the start of the current one-second window of the rate limit, windowAppends the number of appends in the window.
	windowStart   time.Time
	windowAppends int
	probe         LogProbe
}

// LogProbe observes the appends to a Log.
type LogProbe interface {
	// BeforeAppend is called before each append, also before one that will fail.
	BeforeAppend(stream string, data []byte)
	// AfterAppend is called after each append, also after one that failed, unless the service was down.
	AfterAppend(stream string, data []byte)
}

// stream is one append-only stream of entries.
type stream struct {
	// first is the offset of the first retained entry.
	first   int64
	entries [][]byte
}

// NewLog returns an empty log service.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetFaults replaces all faults.
func (lo *Log) SetFaults(fa LogFaults) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.faults = fa
	for _, st := range lo.streams {
		st.trim(fa.Retain)
	}
}

// SetProbe sets the probe that observes appends.
func (lo *Log) SetProbe(pr LogProbe) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.probe = pr
}

func (lo *Log) currentProbe() LogProbe {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.probe
}

// Appends returns the number of appends that took effect.
func (lo *Log) Appends() int64 {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.appends
}

// Append adds one entry to the named stream and returns the entry's offset.
func (lo *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	pr := lo.currentProbe()
	if pr != nil {
		pr.BeforeAppend(name, data)
	}
	if err := lo.applyFaults(ctx); err != nil {
		return 0, err
	}
	offset, err := lo.add(name, data)
	if pr != nil {
		pr.AfterAppend(name, data)
	}
	return offset, err
}

func (lo *Log) add(name string, data []byte) (int64, error) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if len(data) > maxEntryBytes {
		return 0, errEntryTooLarge
	}
	if !lo.allowAppend() {
		return 0, errAppendRate
	}
	st := lo.stream(name)
	offset := st.first + int64(len(st.entries))
	st.entries = append(st.entries, append([]byte(nil), data...))
	st.trim(lo.faults.Retain)
	lo.appends++
	close(lo.changed)
	lo.changed = make(chan struct{})
	if lo.faults.LoseResponses > 0 {
		lo.faults.LoseResponses--
		return 0, errResponseLost
	}
	return offset, nil
}

// Read returns a page of entries. If there is none yet, it waits for one, at most for the request's Wait (long polling).
func (lo *Log) Read(ctx context.Context, rr oplog.ReadRequest) (oplog.Page, error) {
	if err := lo.applyFaults(ctx); err != nil {
		return oplog.Page{}, err
	}
	ti := time.NewTimer(rr.Wait)
	defer ti.Stop()
	for {
		pg, changed, err := lo.page(rr)
		if err != nil || len(pg.Entries) > 0 || rr.Wait == 0 || pg.First > rr.From {
			return pg, err
		}
		select {
		case <-changed:
		case <-ti.C:
			return pg, nil
		case <-ctx.Done():
			return oplog.Page{}, ctx.Err()
		}
	}
}

func (lo *Log) page(rr oplog.ReadRequest) (oplog.Page, <-chan struct{}, error) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.faults.Down {
		return oplog.Page{}, nil, errDown
	}
	st := lo.stream(rr.Stream)
	pg := oplog.Page{First: st.first, Next: st.first + int64(len(st.entries)), From: rr.From}
	if rr.From < pg.First || rr.From >= pg.Next {
		return pg, lo.changed, nil
	}
	size := 0
	for _, data := range st.entries[rr.From-st.first:] {
		if size += len(data); size > rr.MaxBytes && len(pg.Entries) > 0 {
			break
		}
		pg.Entries = append(pg.Entries, data)
	}
	return pg, lo.changed, nil
}

// applyFaults applies the faults that affect every call: it waits for Delay and returns an error if the service is down.
func (lo *Log) applyFaults(ctx context.Context) error {
	lo.mu.Lock()
	fa := lo.faults
	lo.mu.Unlock()
	if fa.Delay > 0 {
		ti := time.NewTimer(fa.Delay)
		defer ti.Stop()
		select {
		case <-ti.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if fa.Down {
		return errDown
	}
	return nil
}

// allowAppend counts an append and reports whether it is within the rate limit.
func (lo *Log) allowAppend() bool {
	if lo.faults.AppendsPerSecond == 0 {
		return true
	}
	if now := time.Now(); now.Sub(lo.windowStart) >= time.Second {
		lo.windowStart = now
		lo.windowAppends = 0
	}
	lo.windowAppends++
	return lo.windowAppends <= lo.faults.AppendsPerSecond
}

func (lo *Log) stream(name string) *stream {
	st, ok := lo.streams[name]
	if !ok {
		st = &stream{}
		lo.streams[name] = st
	}
	return st
}

// trim discards the oldest entries beyond the newest retain ones; zero retains all.
func (st *stream) trim(retain int) {
	if retain == 0 || len(st.entries) <= retain {
		return
	}
	cut := len(st.entries) - retain
	st.first += int64(cut)
	st.entries = append([][]byte(nil), st.entries[cut:]...)
}

// Register adds the HTTP routes of the log service.
func (lo *Log) Register(ec *echo.Echo) {
	ec.POST("/v1/streams/:stream/entries", lo.handleAppend)
	ec.GET("/v1/streams/:stream/entries", lo.handleRead)
	ec.POST("/control/log", lo.handleControl)
}

func (lo *Log) handleAppend(ct echo.Context) error {
	data, err := io.ReadAll(io.LimitReader(ct.Request().Body, maxEntryBytes+1))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	offset, err := lo.Append(ct.Request().Context(), ct.Param("stream"), data)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return ct.JSON(http.StatusOK, plat.AppendResponse{Offset: offset})
}

func (lo *Log) handleRead(ct echo.Context) error {
	from, err := strconv.ParseInt(ct.QueryParam("from"), 10, 64)
	if err != nil || from < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "from must be an offset")
	}
	size, _ := strconv.Atoi(ct.QueryParam("maxBytes"))
	wait, _ := strconv.Atoi(ct.QueryParam("waitMillis"))
	pg, err := lo.Read(ct.Request().Context(), oplog.ReadRequest{
		Stream: ct.Param("stream"), From: from, MaxBytes: size, Wait: time.Duration(wait) * time.Millisecond,
	})
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return ct.JSON(http.StatusOK, plat.PageResponse(pg))
}

func (lo *Log) handleControl(ct echo.Context) error {
	var fa LogFaults
	if err := ct.Bind(&fa); err != nil {
		return err
	}
	lo.SetFaults(fa)
	return ct.NoContent(http.StatusNoContent)
}
