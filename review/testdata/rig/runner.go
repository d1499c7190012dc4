package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// runner stands in for one server. Each start is a new process with a new value of born, under the same ID and address. It writes its entry at its start: a
// heartbeat that changes the sequence alone leaves the entry as it is.
type runner struct {
	world       *world
	id, service string
	zone        string
	address     string
	slots       int
	events      int
	gap         time.Duration
	// firstEvent is the time until the first event.
	firstEvent time.Duration

	mu       sync.Mutex
	version  string
	born     int64
	sequence int64
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	runs     map[string]int
	begun    int
}

func (wo *world) addRunner(ix int, service, version string, events int, firstEvent, gap time.Duration) (*runner, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ru := &runner{
		world: wo, id: fmt.Sprintf("i-%s-%d", service, ix+1), service: service, zone: zones[ix%len(zones)], address: address, slots: 64, events: events, gap: gap,
		firstEvent: firstEvent, runs: map[string]int{},
	}
	wo.runners = append(wo.runners, ru)
	return ru, ru.start(version)
}

// start starts a new process of the runner, which registers as soon as it accepts requests.
func (ru *runner) start(version string) error {
	li, err := net.Listen("tcp", ru.address)
	if err != nil {
		return err
	}
	ru.mu.Lock()
	ru.version, ru.born, ru.sequence, ru.running = version, time.Now().UnixMilli(), 0, 0
	ru.listener, ru.conns = li, map[net.Conn]bool{}
	born := ru.born
	ru.mu.Unlock()
	se := &http.Server{ReadHeaderTimeout: 5 * time.Second, DisableGeneralOptionsHandler: true, ConnState: func(nc net.Conn, state http.ConnState) {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		switch {
		case ru.born != born || ru.listener == nil:
			reset(nc)
		case state == http.StateNew:
			ru.conns[nc] = true
		case state == http.StateClosed:
			delete(ru.conns, nc)
		}
	}}
	se.Handler = http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) { ru.serve(wr, rq, version) })
	go func() { _ = se.Serve(li) }()
	ru.register("ready")
	return nil
}

// register writes the runner's entry.
func (ru *runner) register(state string) {
	ru.mu.Lock()
	ru.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": ru.service, "address": ru.address, "zone": ru.zone, "version": ru.version, "slots": ru.slots, "state": state, "cold_remaining_ms": 0,
		"sequence": ru.sequence, "born": ru.born,
	})
	ru.mu.Unlock()
	ru.world.store.Put(wire.RegistrationTopic, ru.id, data)
}

// crash ends the process: all its connections are reset.
func (ru *runner) crash() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.listener == nil {
		return
	}
	_ = ru.listener.Close()
	ru.listener = nil
	for nc := range ru.conns {
		reset(nc)
	}
}

func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

func (ru *runner) serve(wr http.ResponseWriter, rq *http.Request, version string) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	he := wr.Header()
	id := rq.Header.Get("Attempt-Id")
	if id == "" {
		he.Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	he.Set("Attempt-Id", id)
	if want := rq.Header.Get("Expect-Instance"); want != "" && want != ru.id {
		he.Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ru.mu.Lock()
	he.Set("Server-Load", fmt.Sprintf("%d,0,%d", ru.running, ru.slots))
	if ru.running >= ru.slots {
		ru.mu.Unlock()
		he.Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ru.running++
	ru.runs[id]++
	ru.begun++
	ru.mu.Unlock()
	defer func() {
		ru.mu.Lock()
		ru.running--
		ru.mu.Unlock()
	}()
	_ = body
	if ru.events == 0 {
		time.Sleep(ru.firstEvent)
		text := stand.ResponseBody(id)
		he.Set("Server-Signature", stand.Sign(http.StatusOK, id, text))
		he.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(wr, text)
		return
	}
	last, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	ru.world.rec.add("server %s %s runs %s (Resumes %q, Last-Event-Id %q)", ru.id, version, id, rq.Header.Get("Resumes"), rq.Header.Get("Last-Event-Id"))
	he.Set("Content-Type", "text/event-stream")
	he.Set("Server-Signature", stand.Sign(http.StatusOK, id, ""))
	rc := http.NewResponseController(wr)
	pause := ru.firstEvent
	for num := last + 1; num <= ru.events; num++ {
		select {
		case <-rq.Context().Done():
			return
		case <-time.After(pause):
		}
		pause = ru.gap
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s %s %s\n\n", num, version, ru.id, id); err != nil || rc.Flush() != nil {
			return
		}
	}
}
