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

// Errors of the stand-in.
var (
	errDown  = eris.New("the log service is down")
	errLost  = eris.New("the answer was lost")
	errRate  = eris.New("the append rate is exceeded")
	errLarge = eris.New("the entry is too large")
)

const maxEntryBytes = 4 << 20

// LogFaults says how the log service misbehaves.
type LogFaults struct {
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers makes that many appends fail after they took effect.
	LoseAnswers int `json:"loseAnswers"`
	// AppendsPerSecond limits the appends; zero sets no limit.
	AppendsPerSecond int `json:"appendsPerSecond"`
	// Retain is the number of entries kept in a stream; zero keeps all.
	Retain int `json:"retain"`
}

// Log is a log service in memory; it is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	changed chan struct{}
	appends int64
	window  time.Time
	inWin   int
	probe   LogProbe
}

// LogProbe is told of appends before and after they take effect.
type LogProbe interface {
	Appending(stream string, data []byte)
	Appended(stream string, data []byte)
}

type stream struct {
	first   int64
	entries [][]byte
}

// NewLog returns an empty log service.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (lo *Log) SetFaults(fa LogFaults) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.faults = fa
	for _, st := range lo.streams {
		st.trim(fa.Retain)
	}
}

// SetProbe sets who is told of appends.
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

// Appends returns how many appends took effect.
func (lo *Log) Appends() int64 {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.appends
}

// Append adds one entry.
func (lo *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	pr := lo.currentProbe()
	if pr != nil {
		pr.Appending(name, data)
	}
	if err := lo.pass(ctx); err != nil {
		return 0, err
	}
	offset, err := lo.add(name, data)
	if pr != nil {
		pr.Appended(name, data)
	}
	return offset, err
}

func (lo *Log) add(name string, data []byte) (int64, error) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if len(data) > maxEntryBytes {
		return 0, errLarge
	}
	if !lo.allow() {
		return 0, errRate
	}
	st := lo.stream(name)
	offset := st.first + int64(len(st.entries))
	st.entries = append(st.entries, append([]byte(nil), data...))
	st.trim(lo.faults.Retain)
	lo.appends++
	close(lo.changed)
	lo.changed = make(chan struct{})
	if lo.faults.LoseAnswers > 0 {
		lo.faults.LoseAnswers--
		return 0, errLost
	}
	return offset, nil
}

// Read returns a page, waiting for the first entry as the request asks.
func (lo *Log) Read(ctx context.Context, rr oplog.ReadRequest) (oplog.Page, error) {
	if err := lo.pass(ctx); err != nil {
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

// pass applies the faults that hold for every call.
func (lo *Log) pass(ctx context.Context) error {
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

func (lo *Log) allow() bool {
	if lo.faults.AppendsPerSecond == 0 {
		return true
	}
	if now := time.Now(); now.Sub(lo.window) >= time.Second {
		lo.window = now
		lo.inWin = 0
	}
	lo.inWin++
	return lo.inWin <= lo.faults.AppendsPerSecond
}

func (lo *Log) stream(name string) *stream {
	st, ok := lo.streams[name]
	if !ok {
		st = &stream{}
		lo.streams[name] = st
	}
	return st
}

func (st *stream) trim(retain int) {
	if retain == 0 || len(st.entries) <= retain {
		return
	}
	cut := len(st.entries) - retain
	st.first += int64(cut)
	st.entries = append([][]byte(nil), st.entries[cut:]...)
}

// Register adds the HTTP interface of the log service.
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
