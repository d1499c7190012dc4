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

// runner stands in for an endpoint. It keeps its ID and its address over restarts.
type runner struct {
	world   *world
	id      string
	service string
	zone    string
	address string
	slots   int
	// events is the number of events of a stream, zero for plain responses; pause is the time before each event, work that of a plain response.
	events int
	pause  time.Duration
	work   time.Duration

	mu       sync.Mutex
	version  string
	born     int64
	sequence int64
	state    string
	server   *http.Server
	running  int
	runs     []string
	// clock is by how much the clock of the machine is ahead.
	clock time.Duration
	// beating is closed at the end of the process.
	beating chan struct{}
}

// start starts the runner as a new process with the given software version, and registers it.
func (ru *runner) start(version string) error {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	address := ru.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	li, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ru.address = li.Addr().String()
	ru.version, ru.born, ru.sequence, ru.state, ru.running = version, time.Now().Add(ru.clock).UnixMilli(), 0, "ready", 0
	process := &process{runner: ru, version: version}
	ru.server = &http.Server{Handler: process, ReadHeaderTimeout: 2 * time.Second}
	go func(se *http.Server) { _ = se.Serve(li) }(ru.server)
	ru.beating = make(chan struct{})
	go ru.beat(ru.beating)
	ru.world.log("%s started with version %s at %s, born %d", ru.id, version, ru.address, ru.born)
	return nil
}

// crash ends the process: its connections are reset, and it writes nothing more to the store.
func (ru *runner) crash() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	close(ru.beating)
	_ = ru.server.Close()
	ru.world.log("%s (version %s) crashes", ru.id, ru.version)
}

// beat writes the registration to the store at once and with every heartbeat.
func (ru *runner) beat(ended <-chan struct{}) {
	for {
		ru.register()
		select {
		case <-ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// register writes the registration, unless the store is away.
func (ru *runner) register() {
	ru.mu.Lock()
	ru.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": ru.service, "address": ru.address, "zone": ru.zone, "version": ru.version, "slots": ru.slots, "state": ru.state,
		"cold_remaining_ms": 0, "sequence": ru.sequence, "born": ru.born,
	})
	ru.mu.Unlock()
	ru.world.put(wire.RegistrationTopic, ru.id, data)
}

// process is one process of a runner.
type process struct {
	runner  *runner
	version string
}

// ServeHTTP runs a request.
func (pr *process) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	ru := pr.runner
	id := rq.Header.Get("Attempt-Id")
	he := wr.Header()
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	if id == "" {
		he.Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	he.Set("Attempt-Id", id)
	if want := rq.Header.Get("Expect-Instance"); want != "" && want != ru.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ru.mu.Lock()
	ru.running++
	he.Set("Server-Load", fmt.Sprintf("%d,0,%d", ru.running, ru.slots))
	ru.runs = append(ru.runs, id)
	ru.mu.Unlock()
	defer func() {
		ru.mu.Lock()
		defer ru.mu.Unlock()
		ru.running--
	}()
	last := rq.Header.Get("Last-Event-Id")
	ru.world.log("%s (version %s) runs %s, last event %q, resumes %q, %d bytes", ru.id, pr.version, id, last, rq.Header.Get("Resumes"), len(body))
	if ru.events == 0 {
		pr.answer(wr, rq, id)
		return
	}
	pr.stream(wr, rq, id, last)
}

func (pr *process) answer(wr http.ResponseWriter, rq *http.Request, id string) {
	select {
	case <-rq.Context().Done():
		return
	case <-time.After(pr.runner.work):
	}
	text := "answer to " + id + "\n"
	wr.Header().Set("Server-Signature", stand.Sign(http.StatusOK, id, text))
	wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(wr, text)
}

// stream sends the events after the last one that was received. Each states the version of the software.
func (pr *process) stream(wr http.ResponseWriter, rq *http.Request, id, last string) {
	he := wr.Header()
	he.Set("Content-Type", "text/event-stream")
	he.Set("Server-Signature", stand.Sign(http.StatusOK, id, ""))
	begin, _ := strconv.Atoi(last)
	rc := http.NewResponseController(wr)
	for number := begin + 1; number <= pr.runner.events; number++ {
		select {
		case <-rq.Context().Done():
			return
		case <-time.After(pr.runner.pause):
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s %s\n\n", number, pr.runner.id, pr.version); err != nil || rc.Flush() != nil {
			return
		}
	}
}

// put writes a record to the store as the operator or a runner does, unless the store is away.
func (wo *world) put(topic, name string, data []byte) bool {
	wo.mu.Lock()
	away := wo.away
	wo.mu.Unlock()
	if !away {
		wo.store.Put(topic, name, data)
	}
	return !away
}

// setAway makes the store fall silent, or answer again.
func (wo *world) setAway(away bool) {
	wo.mu.Lock()
	wo.away = away
	wo.mu.Unlock()
	if away {
		wo.log("the store is down")
		wo.store.SetFault(stand.Unresponsive)
		return
	}
	wo.store.SetFault(stand.NoFault)
	wo.log("the store is up")
}
