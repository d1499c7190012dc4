package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// The case version: a runner crashes while the store is down, and starts again under its id with another software version.
const (
	versionHost     = "dossier.example"
	versionKey      = "key-1"
	versionRunners  = 6
	versionSubjects = 16
	versionEvents   = 60
	// versionPause is the time between the beginnings of two streams.
	versionPause   = 40 * time.Millisecond
	versionAway    = 4500 * time.Millisecond
	versionDown    = time.Second
	versionSilence = 1400 * time.Millisecond
	// versionMixed is the number of streams with events of two versions that the rule allows.
	versionMixed = 2
)

func init() { cases["version"] = playVersion }

func playVersion(fl *fleet, trouble bool) (bool, error) {
	fl.putManifest(map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "dossier", "host": versionHost, "path_prefix": "/dossier/", "route_type": "streaming", "timeout_ms": 12000, "slo_ms": 800,
			"priority": 0, "service": "llm", "max_attempts": 2, "anonymous": false, "affinity": true, "stream_resume": true, "itl_target_ms": 300,
		}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "runtime": map[string]any{
			"slots": 64, "kv_capacity": 526158, "kv_token_bytes": 163840, "link_mbps": 260000.0, "stride": 7, "models": []any{map[string]any{"name": "m"}},
		}}},
		"tenants": []any{map[string]any{"name": "team-1", "api_keys": []string{versionKey}, "priority": 1, "prepaid": 10_000_000}},
	})
	var away atomic.Bool
	newRunner := func(id, version string) *runner {
		return &runner{
			id: id, service: "llm", zone: "zone-a", version: version, slots: 64, stride: 7, events: 90, first: 35 * time.Millisecond, pause: 100 * time.Millisecond,
			record: fl.record, storeAway: away.Load,
		}
	}
	for ix := range versionRunners {
		if err := fl.addRunner(newRunner(fmt.Sprintf("i-llm-%d", ix), "1")); err != nil {
			return false, err
		}
	}
	storeAddress, err := fl.serve(fl.store)
	if err != nil {
		return false, err
	}
	for ix := range 3 {
		if _, err := fl.addNode(fmt.Sprintf("edge-%d", ix), "zone-a", storeAddress); err != nil {
			return false, err
		}
	}
	if err := fl.waitReady(); err != nil {
		return false, err
	}
	// An instance allows itself few retries in its first ten seconds.
	time.Sleep(12 * time.Second)
	// Prompts on one subject begin with the same part, and instances prefer the same runner for them. The runner with the most subjects crashes, when
	// it is idle.
	subjects := map[*runner][]string{}
	crashing := fl.runners[0]
	for ix := range versionSubjects {
		id, subject := fmt.Sprintf("first-%d", ix), fmt.Sprintf("5c1e07a%x", ix)
		an := once(fl.nodes[ix%len(fl.nodes)].callers, versionCall(id, subject, 1))
		ru := fl.runnerOf(id)
		if an.err != nil || an.status != http.StatusOK || ru == nil {
			return false, fmt.Errorf("%w: a first stream failed: %s", errHarness, an)
		}
		subjects[ru] = append(subjects[ru], subject)
		if len(subjects[ru]) > len(subjects[crashing]) {
			crashing = ru
		}
	}
	fl.record.add("%s is preferred for the subjects %v", crashing.id, subjects[crashing])
	time.Sleep(500 * time.Millisecond)
	var group sync.WaitGroup
	returned := crashing
	if trouble {
		away.Store(true)
		fl.store.SetFault(stand.Refusing)
		fl.record.add("the store is down (503) for %.1f s", versionAway.Seconds())
		group.Go(func() {
			time.Sleep(versionAway)
			fl.store.SetFault(stand.NoFault)
			away.Store(false)
			fl.record.add("the store is back")
			for _, ru := range fl.runners {
				ru.register()
			}
		})
		time.Sleep(200 * time.Millisecond)
		crashing.crash()
		fl.record.add("%s crashes", crashing.id)
		time.Sleep(versionDown)
		returned = newRunner(crashing.id, "2")
		if err := fl.startRunner(returned, crashing.address); err != nil {
			return false, fmt.Errorf("%w: %w", errHarness, err)
		}
		fl.record.add("%s starts again under its id, with version 2 of its software; it cannot reach the store", returned.id)
	} else {
		time.Sleep(200*time.Millisecond + versionDown)
	}
	time.Sleep(300 * time.Millisecond)
	var answers []*answer
	for _, subject := range subjects[crashing] {
		for _, no := range fl.nodes {
			an, id := &answer{}, fmt.Sprintf("stream-%d", len(answers))
			answers = append(answers, an)
			group.Go(func() { *an = once(no.callers, versionCall(id, subject, versionEvents)) })
			time.Sleep(versionPause)
		}
	}
	time.Sleep(300 * time.Millisecond)
	returned.fallSilent(versionSilence)
	fl.record.add("%s is silent for %.1f s and goes on", returned.id, versionSilence.Seconds())
	group.Wait()
	mixed, whole := 0, 0
	for ix, an := range answers {
		first, second := strings.Count(an.body, "version 1"), strings.Count(an.body, "version 2")
		fl.record.add("stream-%d: %s, %d events of version 1 and %d of version 2", ix, an, first, second)
		if first > 0 && second > 0 {
			mixed++
		}
		if an.err == nil && an.status == http.StatusOK {
			whole++
		}
	}
	fl.record.add("streams %d, whole %d, with events of two versions %d", len(answers), whole, mixed)
	fmt.Printf("streams %d, whole %d, with events of two versions %d\n", len(answers), whole, mixed)
	if whole == 0 {
		return false, fmt.Errorf("%w: no stream ended", errHarness)
	}
	return mixed > versionMixed, nil
}

func versionCall(id, subject string, events int) call {
	return call{id: id, host: versionHost, path: "/dossier/1", key: versionKey, millis: 12000, prompt: 2000, output: 7 * events, shared: subject, body: "dossier"}
}

// runnerOf returns the runner that ran a request, or nil.
func (fl *fleet) runnerOf(id string) *runner {
	for _, ru := range fl.runners {
		for _, one := range ru.list() {
			if one.id == id {
				return ru
			}
		}
	}
	return nil
}
