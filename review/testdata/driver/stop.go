package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The requests of the case stop: plain requests that are not idempotent, of a kind with a time limit of some seconds.
const (
	stopHost     = "archive.example"
	stopKey      = "key-1"
	stopLimit    = 3000
	stopWork     = 2000 * time.Millisecond
	stopChannels = 6
	// stopSendAfter is the time from SIGTERM to the requests.
	stopSendAfter = 6200 * time.Millisecond
)

func init() { cases["stop"] = playStop }

// playStop stops one of three instances with SIGTERM. Requesters that keep channels to it send requests while it drains.
func playStop(fl *fleet, trouble bool) (bool, error) {
	fl.putManifest(map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{
			map[string]any{
				"name": "checkout", "host": stopHost, "path_prefix": "/checkout/", "route_type": "unsafe", "timeout_ms": stopLimit, "slo_ms": 300,
				"priority": 2, "service": "app", "max_attempts": 1, "anonymous": false,
			},
			map[string]any{
				"name": "query", "host": stopHost, "path_prefix": "/query/", "route_type": "streaming", "timeout_ms": 12000, "slo_ms": 600,
				"priority": 1, "service": "llm", "max_attempts": 1, "anonymous": false, "affinity": true, "stream_resume": false, "itl_target_ms": 300,
			},
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "runtime": map[string]any{
				"slots": 64, "kv_capacity": 526158, "kv_token_bytes": 163840, "link_mbps": 260000.0, "stride": 7, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"tenants": []any{map[string]any{"name": "team-1", "api_keys": []string{stopKey}, "priority": 1, "prepaid": 10_000_000}},
	})
	for ix := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+ix)
		for _, ru := range []*runner{
			{id: fmt.Sprintf("i-app-%d", ix), service: "app", zone: zone, version: "1", slots: 6, work: func(rq *http.Request) time.Duration {
				if strings.Contains(rq.RequestURI, "short") {
					return 15 * time.Millisecond
				}
				return stopWork
			}, record: fl.record},
			{id: fmt.Sprintf("i-llm-%d", ix), service: "llm", zone: zone, version: "1", slots: 64, stride: 7, events: 100, pause: 100 * time.Millisecond, record: fl.record},
		} {
			if err := fl.addRunner(ru); err != nil {
				return false, err
			}
		}
	}
	storeAddress, err := fl.serve(fl.store)
	if err != nil {
		return false, err
	}
	for ix := range 3 {
		if _, err := fl.addNode(fmt.Sprintf("edge-%d", ix), fmt.Sprintf("zone-%c", 'a'+ix), storeAddress); err != nil {
			return false, err
		}
	}
	if err := fl.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	no := fl.nodes[0]

	// The channels have each carried a request, and are idle for less than four fifths of idle_timeout_ms then.
	var channels []*channel
	for ix := range stopChannels {
		ch, err := open(no.callers)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errHarness, err)
		}
		defer ch.close()
		an := ch.do(call{id: fmt.Sprintf("first-%d", ix), host: stopHost, path: "/checkout/short", key: stopKey, millis: stopLimit, body: "sheet"})
		fl.record.add("first request on channel %d: %s", ix, an)
		if an.err != nil || an.status != http.StatusOK {
			return false, fmt.Errorf("%w: the first request on a channel failed: %s", errHarness, an)
		}
		channels = append(channels, ch)
	}
	// A stream that is under way at the SIGTERM.
	var group sync.WaitGroup
	group.Go(func() {
		an := once(no.callers, call{id: "stream", host: stopHost, path: "/query/1", key: stopKey, millis: 12000, prompt: 600, output: 700, body: "prompt"})
		fl.record.add("the stream: %s", an)
	})
	time.Sleep(500 * time.Millisecond)
	term := time.Now()
	if trouble {
		no.signal(syscall.SIGTERM)
		fl.record.addAt(term, "SIGTERM to %s", no.name)
	}
	time.Sleep(time.Until(term.Add(stopSendAfter)))
	answers := make([]answer, len(channels))
	for ix, ch := range channels {
		group.Go(func() {
			answers[ix] = ch.do(call{id: fmt.Sprintf("request-%d", ix), host: stopHost, path: "/checkout/long", key: stopKey, millis: stopLimit, body: "sheet"})
		})
	}
	group.Wait()
	lost, answered := fl.countLost(answers, term, stopLimit*time.Millisecond), 0
	for _, an := range answers {
		if an.err == nil && an.status == http.StatusOK {
			answered++
		}
	}
	fmt.Printf("requests %d, answered %d, lost %d\n", len(answers), answered, lost)
	if !trouble && answered != len(answers) {
		return false, fmt.Errorf("%w: %d of %d requests were answered without the disruption", errHarness, answered, len(answers))
	}
	return lost > 0, nil
}
