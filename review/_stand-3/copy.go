package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	copyPrepaid = 600_000
	// copyPrompt, copyOutput and copyStride are the tokens of a request's prompt, of its answer, and of an event.
	copyPrompt, copyOutput, copyStride = 4000, 8, 4
	// copyInterval is the time between two requests of all callers.
	copyInterval = 30 * time.Millisecond
	// untilLoss is the time from the first request until all instances lose power, and copyAge the age of the copy from which the store comes back.
	untilLoss = 6900 * time.Millisecond
	copyAge   = 7 * time.Second
	// storeAway is the time for which the store is away, and afterLoss that for which requests are sent after it.
	storeAway = 500 * time.Millisecond
	afterLoss = 15 * time.Second
)

// copyCase lets a team spend nearly all that it has prepaid. Then the store comes back from a copy, and all instances lose power at that moment.
func copyCase(wo *world) (bool, error) {
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, stand.Manifest{
		Version: 1, Host: host, TimeoutMs: 10_000, TargetMs: 800, Model: "model", Plain: "plain", Stride: copyStride, Team: team, Key: key, Prepaid: copyPrepaid,
		Routes: []stand.Route{{Name: "review", Kind: "streaming", Service: "model", Sends: 2, Resume: true}},
	}.Encode())
	for ix := range 4 {
		ru := &runner{
			world: wo, id: fmt.Sprint("runner-", ix+1), service: "model", zone: fmt.Sprint("zone-", ix%2+1), slots: 64, events: copyOutput / copyStride, pause: time.Millisecond,
		}
		if err := ru.start("v1"); err != nil {
			return false, err
		}
	}
	if err := wo.startNodes(3); err != nil {
		return false, err
	}
	age := copyAge
	if text := os.Getenv("COPY_AGE"); text != "" {
		age, _ = time.ParseDuration(text)
	}
	time.Sleep(9 * time.Second)
	sp := &spender{world: wo, ended: make(chan struct{})}
	go sp.run()
	time.Sleep(untilLoss)
	wo.log("%d tokens were delivered so far, %d were prepaid", sp.tokens.Load(), copyPrepaid)
	if wo.trouble {
		wo.setAway(true)
		for _, no := range wo.nodes {
			no.signal(syscall.SIGKILL)
		}
		for _, no := range wo.nodes {
			no.kill()
		}
		lost := wo.store.Restore(age)
		wo.log("the store comes back from a copy that is %s old", age)
		time.Sleep(storeAway)
		wo.setAway(false)
		wo.store.PutAgain(lost)
		for _, no := range wo.nodes {
			if err := no.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(afterLoss)
	close(sp.ended)
	sp.group.Wait()
	wo.log("%d tokens were delivered, %d were prepaid; answers: %s", sp.tokens.Load(), copyPrepaid, sp.summary())
	return sp.tokens.Load() > copyPrepaid, nil
}

// spender sends requests for streams at a steady rate and counts the tokens of those that were answered whole.
type spender struct {
	world    *world
	ended    chan struct{}
	group    sync.WaitGroup
	tokens   atomic.Int64
	mu       sync.Mutex
	statuses map[int]int
}

func (sp *spender) run() {
	ti := time.NewTicker(copyInterval)
	defer ti.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}, Timeout: 5 * time.Second}
	for number := 1; ; number++ {
		select {
		case <-sp.ended:
			return
		case <-ti.C:
		}
		no := sp.world.nodes[number%len(sp.world.nodes)]
		id := fmt.Sprint("request-", number)
		sp.group.Go(func() { sp.send(client, no, id) })
	}
}

// send sends one request.
func (sp *spender) send(client *http.Client, no *node, id string) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+no.callers+"/review/x", strings.NewReader("dossier of "+id))
	if err != nil {
		return
	}
	rq.Host = host
	stand.Call{ID: id, Key: key, PatienceMs: 5000, Prompt: copyPrompt, Output: copyOutput}.Set(rq.Header)
	// A long part that all requests share, and a short one of its own.
	rq.Header.Set("Prefix-Hash", fmt.Sprintf("aa:%d,%x:100", copyPrompt-100, id))
	rs, err := client.Do(rq)
	if err != nil {
		sp.count(0)
		return
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	sp.count(rs.StatusCode)
	events := strings.Count(string(data), "data:")
	if rs.StatusCode != http.StatusOK || err != nil {
		sp.world.log("%s to %s: %d, %s", id, no.name, rs.StatusCode, strings.TrimSpace(string(data)))
		return
	}
	total := sp.tokens.Add(copyPrompt + int64(events)*copyStride)
	sp.world.log("%s to %s: 200, %d prompt tokens, %d events; %d tokens in all", id, no.name, copyPrompt, events, total)
}

func (sp *spender) count(status int) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.statuses == nil {
		sp.statuses = map[int]int{}
	}
	sp.statuses[status]++
}

// summary returns the number of answers by status; 0 stands for none.
func (sp *spender) summary() string {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	var list []string
	for status, count := range sp.statuses {
		list = append(list, strconv.Itoa(status)+" x "+strconv.Itoa(count))
	}
	return strings.Join(list, ", ")
}
