package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The requests of the case silent.
const (
	silentHost = "grants.example"
	silentKept = "key-kept"
	silentGone = "key-gone"
	silentStep = 20 * time.Millisecond
	// silentDelay is the time from the beginning of a read of the manifest to the silence.
	silentDelay = 100 * time.Millisecond
)

func silentManifest(version int, keys []string) map[string]any {
	return map[string]any{
		"version": version, "limits": limits(),
		"routes": []any{
			map[string]any{
				"name": "status", "host": silentHost, "path_prefix": "/status/", "route_type": "safe", "timeout_ms": 1000, "slo_ms": 100,
				"priority": 2, "service": "app", "max_attempts": 2, "anonymous": false,
			},
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}},
		"tenants":  []any{map[string]any{"name": "team-1", "api_keys": keys, "priority": 1, "prepaid": 10_000_000}},
	}
}

func init() { cases["silent"] = playSilent }

// playSilent lets the open channels of all instances to the store go silent for good, while new ones work. Then a key is taken away.
func playSilent(fl *fleet, trouble bool) (bool, error) {
	fl.putManifest(silentManifest(1, []string{silentKept, silentGone}))
	for ix := range 3 {
		ru := &runner{
			id: fmt.Sprintf("i-app-%d", ix), service: "app", zone: fmt.Sprintf("zone-%c", 'a'+ix), version: "1", slots: 6, record: fl.record,
			work: func(*http.Request) time.Duration { return 5 * time.Millisecond },
		}
		if err := fl.addRunner(ru); err != nil {
			return false, err
		}
	}
	storeAddress, err := fl.serve(fl.store)
	if err != nil {
		return false, err
	}
	var proxies []*proxy
	for ix := range 4 {
		pr, err := newProxy(storeAddress)
		if err != nil {
			return false, err
		}
		proxies = append(proxies, pr)
		if _, err := fl.addNode(fmt.Sprintf("edge-%d", ix), fmt.Sprintf("zone-%c", 'a'+ix%3), pr.address); err != nil {
			return false, err
		}
	}
	if err := fl.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableTime + time.Second)
	// The channels go silent soon after one instance has begun to read the manifest, which it does every two seconds.
	select {
	case <-proxies[0].reads:
	default:
	}
	select {
	case <-proxies[0].reads:
	case <-time.After(readyTimeout):
		return false, fmt.Errorf("%w: the manifest is not read", errHarness)
	}
	time.Sleep(silentDelay)
	silenced := time.Now()
	if trouble {
		for ix, pr := range proxies {
			fl.record.addAt(silenced, "%d open channels between edge-%d and the store go silent", pr.silence(), ix)
		}
	}
	time.Sleep(300 * time.Millisecond)
	confirmed := fl.putManifest(silentManifest(2, []string{silentKept}))
	fl.record.addAt(confirmed, "the store has accepted version 2, without the key %s", silentGone)
	// A request counts from config_apply_ms after the confirmation on, once the channels were sound for stable_ms.
	from := confirmed.Add(configApply)
	if at := silenced.Add(stableTime); at.After(from) {
		from = at
	}
	until := silenced.Add(12 * time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	broken, kept := 0, 0
	for _, no := range fl.nodes {
		group.Go(func() {
			last := ""
			for count := 0; time.Now().Before(until); count++ {
				ca := call{id: fmt.Sprintf("%s-%d", no.name, count), host: silentHost, path: "/status/1", key: silentGone, millis: 1000, method: http.MethodGet}
				an := once(no.callers, ca)
				other := once(no.callers, call{id: ca.id + "-kept", host: silentHost, path: "/status/1", key: silentKept, millis: 1000, method: http.MethodGet})
				mu.Lock()
				if an.status == http.StatusOK && an.sentAt.After(from) {
					broken++
					fl.record.addAt(an.sentAt, "%s sent to %s with the key taken away, %.3f s after the confirmation and %.3f s after the silence: %s",
						ca.id, no.name, an.sentAt.Sub(confirmed).Seconds(), an.sentAt.Sub(silenced).Seconds(), an)
				}
				if other.status == http.StatusOK {
					kept++
				}
				if now := fmt.Sprint(an.status); now != last {
					last = now
					fl.record.addAt(an.sentAt, "%s answers requests with the key taken away by %s from %.3f s after the silence on", no.name, now, an.sentAt.Sub(silenced).Seconds())
				}
				mu.Unlock()
				time.Sleep(silentStep)
			}
		})
	}
	group.Wait()
	fl.record.add("%d requests with the key that was taken away ran too late, %d with the other key were served", broken, kept)
	fmt.Printf("%d requests with the key that was taken away ran too late, %d with the other key were served\n", broken, kept)
	if kept == 0 {
		return false, fmt.Errorf("%w: no request was served", errHarness)
	}
	return broken > 0, nil
}
