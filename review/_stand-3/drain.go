package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	drainRunners = 3
	// clockStep is by how much the clock of the first runner's machine is ahead until it jumps back.
	clockStep = 2 * time.Second
	// upTime is the time from the start of the first runner until it crashes, and downTime the time until it is back.
	upTime   = 400 * time.Millisecond
	downTime = time.Second
	// calmTime is the time without trouble before the runner drains, longer than stable_ms.
	calmTime = 6 * time.Second
	// drainTime is drain_ms of the site, and serveTime the time for which the runner serves on after it has reported that it drains.
	drainTime = 2 * time.Second
	serveTime = 8 * time.Second
	// payInterval is the time between two requests of all callers.
	payInterval = 25 * time.Millisecond
)

// drainCase lets a runner restart under its ID when the clock of its machine has jumped back. Later the runner drains.
func drainCase(wo *world) (bool, error) {
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, stand.Manifest{
		Version: 1, Host: host, TimeoutMs: 1000, TargetMs: 100, Model: "model", Plain: "plain", Stride: 4, Team: team, Key: key, Prepaid: 1_000_000,
		Routes: []stand.Route{{Name: "pay", Kind: "unsafe", Service: "plain", Sends: 1}},
	}.Encode())
	var runners []*runner
	for ix := range drainRunners {
		ru := &runner{world: wo, id: fmt.Sprint("runner-", ix+1), service: "plain", zone: fmt.Sprint("zone-", ix%2+1), slots: 6, work: 15 * time.Millisecond}
		if ix > 0 {
			if err := ru.start("v1"); err != nil {
				return false, err
			}
		}
		runners = append(runners, ru)
	}
	if err := wo.startNodes(2); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	first := runners[0]
	if wo.trouble {
		first.clock = clockStep
	}
	if err := first.start("v1"); err != nil {
		return false, err
	}
	time.Sleep(upTime)
	first.crash()
	first.clock = 0
	wo.log("the clock of runner-1's machine is right")
	time.Sleep(downTime)
	if err := first.start("v1"); err != nil {
		return false, err
	}
	pa := &payer{world: wo, ended: make(chan struct{}), sent: map[string]time.Time{}}
	go pa.run()
	time.Sleep(calmTime)
	first.drain()
	drainedAt := time.Now()
	time.Sleep(serveTime)
	first.crash()
	time.Sleep(time.Second)
	close(pa.ended)
	pa.group.Wait()
	return pa.late(first, drainedAt) > 0, nil
}

// drain reports in the store that the runner is draining; the store accepts that at once.
func (ru *runner) drain() {
	ru.mu.Lock()
	ru.state = "draining"
	ru.mu.Unlock()
	ru.register()
	ru.world.log("%s has reported that it is draining", ru.id)
}

// payer sends unsafe requests at a steady rate.
type payer struct {
	world *world
	ended chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	// sent are the times at which the requests were sent.
	sent map[string]time.Time
}

func (pa *payer) run() {
	ti := time.NewTicker(payInterval)
	defer ti.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}, Timeout: 2 * time.Second}
	for number := 1; ; number++ {
		select {
		case <-pa.ended:
			return
		case <-ti.C:
		}
		no := pa.world.nodes[number%len(pa.world.nodes)]
		id := fmt.Sprint("pay-", number)
		pa.group.Go(func() { pa.send(client, no, id) })
	}
}

func (pa *payer) send(client *http.Client, no *node, id string) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+no.callers+"/pay/x", strings.NewReader("5 for "+id))
	if err != nil {
		return
	}
	rq.Host, rq.GetBody = host, nil
	stand.Call{ID: id, Key: key, PatienceMs: 1000}.Set(rq.Header)
	pa.mu.Lock()
	pa.sent[id] = time.Now()
	pa.mu.Unlock()
	rs, err := client.Do(rq)
	if err != nil {
		pa.world.log("%s to %s: no answer: %v", id, no.name, err)
		return
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	pa.world.log("%s to %s: %d, error %v: %s", id, no.name, rs.StatusCode, err, strings.TrimSpace(string(data)))
}

// late returns the number of requests that were sent later than drainTime after the runner had reported that it drains, and that reached it.
func (pa *payer) late(ru *runner, drainedAt time.Time) int {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	pa.mu.Lock()
	defer pa.mu.Unlock()
	late, latest := 0, time.Duration(0)
	for _, id := range ru.runs {
		if after := pa.sent[id].Sub(drainedAt); after > drainTime {
			late++
			latest = max(latest, after)
		}
	}
	pa.world.log("%d requests that were sent later than %s after the report reached %s, the last one %s after it", late, drainTime, ru.id, latest)
	return late
}
