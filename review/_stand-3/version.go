package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	streams      = 24
	streamEvents = 90
	streamPause  = 100 * time.Millisecond
	streamMillis = 12_000
	// maxMixed is the number of streams of two versions that the rule allows.
	maxMixed = 2
	// versionRunners is the number of runners; one of them, a quarter, is down at a time.
	versionRunners = 4
	// crashTime is the time for which a crashed runner is down, betweenCrashes the time until the next one crashes, and outage the time for which the
	// store is down.
	crashTime      = time.Second
	betweenCrashes = 400 * time.Millisecond
	outage         = 6 * time.Second
	// retries is the number of times that a caller takes a stream up again.
	retries = 1
)

// versionCase runs streams at runners of one version. While the store is away, the runners crash one after the other, and each is back under its ID with a newer
// version.
func versionCase(wo *world) (bool, error) {
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, stand.Manifest{
		Version: 1, Host: host, TimeoutMs: streamMillis, TargetMs: 800, Model: "model", Plain: "plain", Stride: 4, Team: team, Key: key, Prepaid: 10_000_000,
		Routes: []stand.Route{{Name: "review", Kind: "streaming", Service: "model", Sends: 2, Resume: true}},
	}.Encode())
	var runners []*runner
	for ix := range versionRunners {
		ru := &runner{
			world: wo, id: fmt.Sprint("runner-", ix+1), service: "model", zone: fmt.Sprint("zone-", ix%2+1), slots: 64, events: streamEvents, pause: streamPause,
		}
		if err := ru.start("v1"); err != nil {
			return false, err
		}
		runners = append(runners, ru)
	}
	if err := wo.startNodes(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	results := make([]string, streams)
	for ix := range streams {
		group.Go(func() { results[ix] = wo.callStream(fmt.Sprint("stream-", ix+1), ix) })
	}
	time.Sleep(time.Second)
	if wo.trouble {
		wo.setAway(true)
		time.AfterFunc(outage, func() { wo.setAway(false) })
		for _, ru := range runners {
			ru.crash()
			time.Sleep(crashTime)
			if err := ru.start("v2"); err != nil {
				return false, err
			}
			time.Sleep(betweenCrashes)
		}
	}
	group.Wait()
	mixed := 0
	for ix, text := range results {
		versions := versionsOf(text)
		wo.log("stream-%d holds events of the versions %v, %d events", ix+1, versions, strings.Count(text, "data:"))
		if len(versions) > 1 {
			mixed++
		}
	}
	wo.log("%d streams hold events of two versions; the rule allows %d", mixed, maxMixed)
	return mixed > maxMixed, nil
}

// callStream sends a request for a stream, and takes the stream up again twice if it breaks off, each time at another instance.
func (wo *world) callStream(id string, first int) string {
	text, began := "", ""
	deadline := time.Now().Add(streamMillis * time.Millisecond)
	for try := range 1 + retries {
		left := time.Until(deadline)
		if left <= 0 {
			return text
		}
		no := wo.nodes[(first+try)%len(wo.nodes)]
		attempt := fmt.Sprintf("%s-%d", id, try+1)
		got, complete, wait := wo.askStream(no, attempt, began, lastEvent(text), left)
		if began == "" && lastEvent(got) > 0 {
			began = attempt
		}
		text += got
		if complete {
			return text
		}
		time.Sleep(min(wait, left/3))
	}
	return text
}

// askStream sends one request and returns the complete events that came, whether the stream ended regularly, and when to try again.
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
	wo.log("%s is answered with %d, %d events, error %v, Retry-After %q", id, rs.StatusCode, strings.Count(string(data), "data:"), err, rs.Header.Get("Retry-After"))
	if rs.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
		return "", false, time.Duration(seconds * float64(time.Second))
	}
	text = string(data)
	if end := strings.LastIndex(text, "\n\n"); err != nil && end >= 0 {
		text = text[:end+2]
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
