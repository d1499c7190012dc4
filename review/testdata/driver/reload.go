package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case reload: the settings state a shorter grace_s, and then the platform stops an instance.
const (
	reloadHost     = "payments.example"
	reloadKey      = "key-1"
	reloadLimit    = 1000
	reloadWork     = 850 * time.Millisecond
	reloadGrace    = 4
	reloadChannels = 6
	// reloadSendAfter is the time from SIGTERM to the requests.
	reloadSendAfter = 3300 * time.Millisecond
)

func reloadManifest() map[string]any {
	return map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{
			map[string]any{
				"name": "payment", "host": reloadHost, "path_prefix": "/payment/", "route_type": "unsafe", "timeout_ms": reloadLimit, "slo_ms": 100,
				"priority": 2, "service": "app", "max_attempts": 1, "anonymous": false,
			},
			map[string]any{
				"name": "query", "host": reloadHost, "path_prefix": "/query/", "route_type": "streaming", "timeout_ms": 12000, "slo_ms": 600,
				"priority": 1, "service": "llm", "max_attempts": 1, "anonymous": false, "affinity": true, "stream_resume": false, "itl_target_ms": 300,
			},
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "runtime": map[string]any{
				"slots": 64, "kv_capacity": 526158, "kv_token_bytes": 163840, "link_mbps": 260000.0, "stride": 7, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"tenants": []any{map[string]any{"name": "team-1", "api_keys": []string{reloadKey}, "priority": 1, "prepaid": 10_000_000}},
	}
}

func init() { cases["reload"] = playReload }

// playReload changes grace_s in the settings of all instances, sends one of them SIGHUP, and stops that one: SIGTERM, and SIGKILL after the new grace_s.
// Without the disruption, the same stop is made with settings that had the value from the start.
func playReload(fl *fleet, trouble bool) (bool, error) {
	fl.putManifest(reloadManifest())
	for ix := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+ix)
		for _, ru := range []*runner{
			{id: fmt.Sprintf("i-app-%d", ix), service: "app", zone: zone, version: "1", slots: 6, work: func(rq *http.Request) time.Duration {
				if strings.Contains(rq.RequestURI, "short") {
					return 15 * time.Millisecond
				}
				return reloadWork
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
	if !trouble {
		fl.grace = reloadGrace
	}
	for ix := range 3 {
		if _, err := fl.addNode(fmt.Sprintf("edge-%d", ix), fmt.Sprintf("zone-%c", 'a'+ix), storeAddress); err != nil {
			return false, err
		}
	}
	if err := fl.waitReady(); err != nil {
		return false, err
	}
	if trouble {
		for _, no := range fl.nodes {
			text, err := os.ReadFile(no.settings)
			if err != nil {
				return false, err
			}
			text = bytes.Replace(text, fmt.Appendf(nil, "grace = %ds", graceSeconds), fmt.Appendf(nil, "grace = %ds", reloadGrace), 1)
			if err := os.WriteFile(no.settings+".new", text, 0o600); err != nil {
				return false, err
			}
			if err := os.Rename(no.settings+".new", no.settings); err != nil {
				return false, err
			}
			fl.record.add("%s has new settings with grace_s %d instead of %d", no.name, reloadGrace, graceSeconds)
		}
		// One of three instances gets the signal; the others have changed settings without one.
		fl.nodes[0].signal(syscall.SIGHUP)
		fl.record.add("%s got SIGHUP", fl.nodes[0].name)
	}
	time.Sleep(2 * stableTime)
	no := fl.nodes[0]
	var channels []*channel
	for ix := range reloadChannels {
		ch, err := open(no.callers)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errHarness, err)
		}
		defer ch.close()
		an := ch.do(call{id: fmt.Sprintf("first-%d", ix), host: reloadHost, path: "/payment/short", key: reloadKey, millis: reloadLimit, body: "payment"})
		fl.record.add("first request on channel %d: %s", ix, an)
		if an.err != nil || an.status != http.StatusOK {
			return false, fmt.Errorf("%w: the first request on a channel failed: %s", errHarness, an)
		}
		channels = append(channels, ch)
	}
	var group sync.WaitGroup
	group.Go(func() {
		an := once(no.callers, call{id: "stream", host: reloadHost, path: "/query/1", key: reloadKey, millis: 12000, prompt: 600, output: 700, body: "prompt"})
		fl.record.add("the stream: %s", an)
	})
	time.Sleep(500 * time.Millisecond)
	term := time.Now()
	no.signal(syscall.SIGTERM)
	fl.record.addAt(term, "SIGTERM to %s", no.name)
	group.Go(func() {
		time.Sleep(time.Until(term.Add(reloadGrace * time.Second)))
		if no.running() {
			no.signal(syscall.SIGKILL)
			fl.record.add("%s still runs %d s after the SIGTERM and gets SIGKILL", no.name, reloadGrace)
		}
	})
	time.Sleep(time.Until(term.Add(reloadSendAfter)))
	answers := make([]answer, len(channels))
	for ix, ch := range channels {
		group.Go(func() {
			answers[ix] = ch.do(call{id: fmt.Sprintf("request-%d", ix), host: reloadHost, path: "/payment/long", key: reloadKey, millis: reloadLimit, body: "payment"})
		})
	}
	group.Wait()
	lost := fl.countLost(answers, term, reloadLimit*time.Millisecond)
	fmt.Printf("requests %d, lost %d\n", len(answers), lost)
	return lost > 0, nil
}
