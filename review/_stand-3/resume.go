package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	streams      = 36
	streamEvents = 100
	streamPause  = 100 * time.Millisecond
	streamMillis = 12_000
	// beforeLoss is the time from the beginning of the streams until the store goes away, and resumeCopyAge the age of the copy.
	beforeLoss    = 800 * time.Millisecond
	resumeCopyAge = 4 * time.Second
	// stableTime is stable_ms of the site, with a margin.
	stableTime = 3200 * time.Millisecond
	// maxTries bounds the requests for one stream, and firstWait is the wait before the second one; it doubles with each further one.
	maxTries  = 8
	firstWait = time.Second
	// newStreams is the number of streams that begin after that.
	newStreams = 36
	// minResumed is the number of streams from which on the rule judges.
	minResumed = 12
)

// resumption counts what became of the streams that were taken up again, and of new ones, at instances in touch.
type resumption struct {
	mu sync.Mutex
	// since is the time from which on the instances are in touch again.
	since                         time.Time
	resumed, wentOn, asked, began map[string]bool
}

// resumeCase kills all instances when the store comes back from a copy. Requesters take up the streams that broke off.
func resumeCase(wo *world) (bool, error) {
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, stand.Manifest{
		Version: 1, Host: host, TimeoutMs: streamMillis, TargetMs: 800, Model: "model", Plain: "plain", Stride: 4, Team: team, Key: key, Prepaid: 50_000_000,
		Routes: []stand.Route{{Name: "review", Kind: "streaming", Service: "model", Sends: 2, Resume: true}},
	}.Encode())
	for ix := range 4 {
		ru := &runner{
			world: wo, id: fmt.Sprint("runner-", ix+1), service: "model", zone: fmt.Sprint("zone-", ix%2+1), slots: 64, events: streamEvents, pause: streamPause,
		}
		if err := ru.start("v1"); err != nil {
			return false, err
		}
	}
	if err := wo.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	re := &resumption{resumed: map[string]bool{}, wentOn: map[string]bool{}, asked: map[string]bool{}, began: map[string]bool{}}
	var group sync.WaitGroup
	for ix := range streams {
		group.Go(func() { wo.callStream(re, fmt.Sprint("stream-", ix+1), ix) })
	}
	time.Sleep(beforeLoss)
	if wo.trouble {
		if err := wo.loseAll(os.Getenv("PARTS") != "kill"); err != nil {
			return false, err
		}
		re.mu.Lock()
		re.since = time.Now().Add(stableTime)
		re.mu.Unlock()
		time.Sleep(stableTime)
	}
	for ix := range newStreams {
		group.Go(func() { wo.callStream(re, fmt.Sprint("new-", ix+1), ix) })
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	wo.log("at instances in touch: %d streams were taken up again and %d of them went on; %d new streams were asked for and %d began",
		len(re.resumed), len(re.wentOn), len(re.asked), len(re.began))
	if len(re.resumed) < minResumed || len(re.asked) == 0 {
		return false, nil
	}
	return 2*len(re.wentOn)*len(re.asked) < len(re.began)*len(re.resumed), nil
}

// loseAll kills all instances and starts them again. If the store takes part, it goes away meanwhile and comes back from a copy.
func (wo *world) loseAll(store bool) error {
	if store {
		wo.setAway(true)
	}
	for _, no := range wo.nodes {
		no.signal(syscall.SIGKILL)
	}
	for _, no := range wo.nodes {
		no.kill()
	}
	time.Sleep(storeAway)
	if store {
		lost := wo.store.Restore(resumeCopyAge)
		wo.log("the store comes back from a copy that is %s old", resumeCopyAge)
		wo.setAway(false)
		wo.store.PutAgain(lost)
	}
	for _, no := range wo.nodes {
		if err := no.start(); err != nil {
			return err
		}
	}
	return nil
}

// callStream asks for a stream, and takes it up again if it breaks off.
func (wo *world) callStream(re *resumption, id string, first int) {
	text, began, wait := "", "", firstWait
	deadline := time.Now().Add(streamMillis * time.Millisecond)
	for try := range maxTries {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		no := wo.nodes[(first+try)%len(wo.nodes)]
		attempt := fmt.Sprintf("%s-%d", id, try+1)
		last := lastEvent(text)
		sent := time.Now()
		got, complete, after := wo.askStream(no, attempt, began, last, left)
		re.count(id, sent, last > 0, lastEvent(got) > 0)
		if began == "" && lastEvent(got) > 0 {
			began = attempt
		}
		text += got
		if complete {
			return
		}
		if after == 0 {
			after, wait = wait, 2*wait
		}
		time.Sleep(min(after, time.Until(deadline)/3))
	}
}

// count counts one request for a stream at an instance in touch.
func (re *resumption) count(id string, sent time.Time, resumes, events bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if sent.Before(re.since) {
		return
	}
	if resumes {
		re.resumed[id] = true
		re.wentOn[id] = re.wentOn[id] || events
		if !events {
			delete(re.wentOn, id)
		}
		return
	}
	re.asked[id] = true
	if events {
		re.began[id] = true
	}
}

// askStream sends one request and returns the complete events that came, whether the stream ended regularly, and when to try again, zero if no answer said so.
func (wo *world) askStream(no *node, id, began string, last int, left time.Duration) (text string, complete bool, wait time.Duration) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+no.callers+"/review/x", strings.NewReader("dossier of "+id))
	if err != nil {
		return "", false, 0
	}
	rq.Host = host
	stand.Call{ID: id, Key: key, PatienceMs: int(left.Milliseconds()), Prompt: 400, Output: streamEvents * 4, Parts: []string{"aa", fmt.Sprintf("%x", id)}}.Set(rq.Header)
	if last > 0 {
		rq.Header.Set(stand.HeaderLastEvent, strconv.Itoa(last))
		rq.Header.Set(stand.HeaderResumes, began)
	}
	wo.log("%s is sent to %s, last event %d, resumes %q", id, no.name, last, began)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: left}
	rs, err := client.Do(rq)
	if err != nil {
		wo.log("%s: no answer: %v", id, err)
		return "", false, 0
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	events := strings.Count(string(data), "data:")
	if rs.StatusCode != http.StatusOK {
		wo.log("%s is answered with %d, Retry-After %q: %s", id, rs.StatusCode, rs.Header.Get("Retry-After"), strings.TrimSpace(string(data)))
		seconds, _ := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
		return "", false, time.Duration(seconds * float64(time.Second))
	}
	wo.log("%s is answered with 200, %d events, error %v", id, events, err)
	text = string(data)
	if end := strings.LastIndex(text, "\n\n"); err != nil {
		text = text[:end+min(2, 2*(end+1))]
	}
	return text, err == nil, 0
}

// lastEvent returns the number of the last event of a stream, or zero.
func lastEvent(text string) int {
	last := 0
	for _, line := range strings.Split(text, "\n") {
		if num, ok := strings.CutPrefix(line, "id: "); ok {
			last, _ = strconv.Atoi(num)
		}
	}
	return last
}
