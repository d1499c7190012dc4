package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// Constants of the case.
const (
	// drainTime is the bound drain_ms, and lingerTime how much longer a runner that leaves goes on serving.
	drainTime, lingerTime = 2 * time.Second, 100 * time.Millisecond
	// machinesCut is the length of the cut of all machines, and leaveAfter the time from its end until a runner leaves.
	machinesCut, leaveAfter = 6 * time.Second, 1500 * time.Millisecond
	// perSecond is the number of requests a second.
	perSecond = 120
	// leavers is the number of runners that leave, one after another.
	leavers = 3
)

// payment is one request that may not be repeated.
type payment struct {
	id     string
	sentAt time.Time
	status int
	err    error
}

// playGone cuts all machines off from the store and from each other; some time after that, a runner leaves whose entry is removed.
func playGone(rec *record, root string, trouble bool) (bool, error) {
	wo, err := newWorld(rec, root, stand.Manifest{
		Version: 1, Host: host, TimeoutMs: 1000, TargetMs: 100, Model: model, Plain: plain, Stride: 7, Team: team, Key: teamKey, Prepaid: 1_000_000,
		Routes: []stand.Route{{Name: "pay", Kind: "unsafe", Service: plain, Sends: 1}},
	}.Encode())
	if err != nil {
		return false, err
	}
	defer wo.close()
	ne, err := newNetwork(wo)
	if err != nil {
		return false, err
	}
	for ix := range 3 {
		if _, err := wo.addRunner(ix, plain, "v1", 0, 60*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	for _, no := range wo.nodes {
		if err := no.start(); err != nil {
			return false, err
		}
	}
	if err := wo.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	var (
		mu    sync.Mutex
		list  []payment
		group sync.WaitGroup
	)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	send := func(num int) {
		pa := payment{id: fmt.Sprintf("%08x", num), sentAt: time.Now()}
		no := wo.nodes[rand.IntN(len(wo.nodes))]
		rq, err := http.NewRequest(http.MethodPost, "http://"+no.callers+"/pay/1", io.NopCloser(strings.NewReader("5")))
		if err != nil {
			return
		}
		rq.Host, rq.ContentLength = host, 1
		rq.Header.Set("Attempt-Id", pa.id)
		rq.Header.Set("X-Api-Key", teamKey)
		rq.Header.Set("Deadline-Ms", "1000")
		rs, err := client.Do(rq)
		pa.err = err
		if err == nil {
			_, pa.err = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
			pa.status = rs.StatusCode
		}
		mu.Lock()
		list = append(list, pa)
		mu.Unlock()
		rec.add("request %s, sent to %s at %.3f s: status %d %v", pa.id, no.name, pa.sentAt.Sub(rec.at).Seconds(), pa.status, pa.err)
	}
	ends := time.Now().Add(leavers * (machinesCut + leaveAfter + 6*time.Second))
	group.Go(func() {
		for num := 0; time.Now().Before(ends); num++ {
			group.Go(func() { send(num) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
		}
	})
	late, lost := 0, 0
	for ix := range leavers {
		if trouble {
			for _, no := range wo.nodes {
				ne.cut(no, true)
			}
			rec.add("all machines are cut off from the store and from each other")
		}
		time.Sleep(machinesCut)
		if trouble {
			for _, no := range wo.nodes {
				ne.cut(no, false)
			}
			rec.add("the machines are no longer cut off")
		}
		time.Sleep(leaveAfter)
		ru := wo.runners[ix]
		wo.store.Put(wire.RegistrationTopic, ru.id, nil)
		removed := time.Now()
		rec.add("the entry of server %s is removed; it serves for %s and then exits", ru.id, drainTime+lingerTime)
		time.Sleep(drainTime + lingerTime)
		ru.crash()
		rec.add("server %s exits", ru.id)
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		for _, pa := range list {
			if pa.sentAt.Sub(removed) <= drainTime || !ru.ran(pa.id) {
				continue
			}
			late++
			if pa.status != http.StatusOK {
				lost++
			}
			rec.add("late: request %s was sent %.3f s after the entry was removed, and reached server %s; status %d", pa.id, pa.sentAt.Sub(removed).Seconds(), ru.id, pa.status)
		}
		mu.Unlock()
		if _, err := wo.addRunner(10+ix, plain, "v1", 0, 60*time.Millisecond, 0); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	group.Wait()
	text := fmt.Sprintf("%d requests reached a server that they were sent to later than %s after its entry was removed; %d of these have run and got no answer of it", late, drainTime, lost)
	rec.add("%s", text)
	fmt.Println(text)
	if dir := os.Getenv("KEEP"); dir != "" {
		for _, no := range wo.nodes {
			_ = os.WriteFile(dir+"/"+no.name+".log", []byte(no.log()), 0o600)
		}
	}
	return late == 0, nil
}

// ran reports whether the runner began to work on a request.
func (ru *runner) ran(id string) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.runs[id] > 0
}
