package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// run is one request that a runner began to work on.
type run struct {
	id      string
	runner  string
	team    string
	began   time.Time
	ended   time.Time
	gone    bool
	version string
}

// runner is a sound stand-in for a runner, as the users' pages describe one.
type runner struct {
	id      string
	service string
	zone    string
	version string
	slots   int
	// stride is the number of tokens in an event.
	stride int
	// work returns how long the runner works on a request of a plain service.
	work func(rq *http.Request) time.Duration
	// events is the number of events of a stream, zero for a plain service, and pause the time before each; first is the time before the first one if it differs.
	events int
	pause  time.Duration
	first  time.Duration

	record  *record
	store   *stand.Store
	address string
	born    int64
	server  *http.Server

	running atomic.Int64
	// storeAway reports whether the runner does not reach the store.
	storeAway func() bool

	mu       sync.Mutex
	draining bool
	// stopped is set when the process has ended, and silentUntil is the time until which the runner sends nothing.
	stopped     bool
	silentUntil time.Time
	sequence    int64
	runs        []*run
}

// register writes the runner's entry to the store.
func (ru *runner) register() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.stopped || (ru.storeAway != nil && ru.storeAway()) {
		return
	}
	ru.sequence++
	state := "ready"
	if ru.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": ru.service, "address": ru.address, "zone": ru.zone, "version": ru.version, "slots": ru.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": ru.sequence, "born": ru.born,
	})
	ru.store.Put(serversTopic, ru.id, data)
}

func (ru *runner) list() []run {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	out := make([]run, 0, len(ru.runs))
	for _, one := range ru.runs {
		out = append(out, *one)
	}
	return out
}

func signature(status int, id, body string) string {
	ha := fnv.New64a()
	_, _ = io.WriteString(ha, body)
	return fmt.Sprintf("%d.%s.%x", status, id, ha.Sum64())
}

// ServeHTTP answers one request.
func (ru *runner) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	if rq.Method == http.MethodOptions {
		wr.WriteHeader(http.StatusNoContent)
		return
	}
	id := rq.Header.Get("Attempt-Id")
	he := wr.Header()
	he.Set("Attempt-Id", id)
	he.Set("Server-Load", fmt.Sprintf("%d,0,%d", ru.running.Load(), ru.slots))
	if id == "" {
		he.Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := rq.Header.Get("Expect-Instance"); want != "" && want != ru.id {
		he.Set("Instance-Id", ru.id)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if ru.running.Add(1) > int64(ru.slots) {
		ru.running.Add(-1)
		he.Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer ru.running.Add(-1)
	one := &run{id: id, runner: ru.id, team: rq.Header.Get("Tenant"), began: time.Now(), version: ru.version}
	ru.mu.Lock()
	ru.runs = append(ru.runs, one)
	ru.mu.Unlock()
	ru.record.add("runner %s runs %s %s, tenant %q, Deadline-Ms %s", ru.id, id, rq.RequestURI, one.team, rq.Header.Get("Deadline-Ms"))
	if ru.events > 0 {
		ru.stream(wr, rq, one)
	} else {
		ru.plain(wr, rq, one)
	}
	ru.mu.Lock()
	one.ended = time.Now()
	ru.mu.Unlock()
}

func (ru *runner) plain(wr http.ResponseWriter, rq *http.Request, one *run) {
	select {
	case <-time.After(ru.work(rq)):
	case <-rq.Context().Done():
		ru.mu.Lock()
		one.gone = true
		ru.mu.Unlock()
		ru.record.add("runner %s: the channel of %s was closed while the runner was at work", ru.id, one.id)
		return
	}
	body := strings.Repeat("answer to "+one.id+" ", 20)
	wr.Header().Set("Server-Signature", signature(http.StatusOK, one.id, body))
	wr.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(wr, body)
	ru.record.add("runner %s has answered %s", ru.id, one.id)
}

func (ru *runner) stream(wr http.ResponseWriter, rq *http.Request, one *run) {
	he := wr.Header()
	he.Set("Content-Type", "text/event-stream")
	he.Set("Server-Signature", signature(http.StatusOK, one.id, ""))
	last, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	rc := http.NewResponseController(wr)
	wait := cmp.Or(ru.first, ru.pause)
	for number := last + 1; number <= ru.length(rq); number++ {
		select {
		case <-time.After(wait):
		case <-rq.Context().Done():
			ru.mu.Lock()
			one.gone = true
			ru.mu.Unlock()
			return
		}
		wait = ru.pause
		time.Sleep(time.Until(ru.silence()))
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s %d version %s\n\n", number, one.id, number, ru.version); err != nil || rc.Flush() != nil {
			return
		}
	}
}

// silence returns the time until which the runner sends nothing.
func (ru *runner) silence() time.Time {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.silentUntil
}

// fallSilent lets the runner send nothing for a while, and then go on.
func (ru *runner) fallSilent(span time.Duration) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.silentUntil = time.Now().Add(span)
}

// crash ends the process of the runner: its channels break, and new ones are refused.
func (ru *runner) crash() {
	ru.mu.Lock()
	ru.stopped = true
	ru.mu.Unlock()
	_ = ru.server.Close()
}

// length returns the number of events of a stream: those of the output tokens that the request allows, but at most events.
func (ru *runner) length(rq *http.Request) int {
	_, output, _ := strings.Cut(rq.Header.Get("Token-Count"), ",")
	tokens, err := strconv.Atoi(output)
	if err != nil || ru.stride <= 0 {
		return ru.events
	}
	return min(ru.events, (tokens+ru.stride-1)/ru.stride)
}
