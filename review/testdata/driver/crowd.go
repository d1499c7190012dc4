package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case crowd: one tenant sends 7.5 times its usual for 6.5 s. Its requests carry bodies close to max_body_bytes.
const (
	crowdHost   = "review.example"
	crowdKey    = "key-1"
	crowdLimit  = 12000
	crowdUsual  = 2.5
	crowdTimes  = 7.5
	crowdLength = 6500 * time.Millisecond
	crowdBody   = 4_000_000
	// crowdLost is the number of lost requests that the rule allows.
	crowdLost = 3
)

func crowdManifest() map[string]any {
	return map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "review", "host": crowdHost, "path_prefix": "/review/", "route_type": "streaming", "timeout_ms": crowdLimit, "slo_ms": 800,
			"priority": 0, "service": "llm", "max_attempts": 2, "anonymous": false, "affinity": true, "stream_resume": true, "itl_target_ms": 300,
		}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "runtime": map[string]any{
			"slots": 64, "kv_capacity": 526158, "kv_token_bytes": 163840, "link_mbps": 260000.0, "stride": 7, "models": []any{map[string]any{"name": "m"}},
		}}},
		"tenants": []any{map[string]any{"name": "team-1", "api_keys": []string{crowdKey}, "priority": 1, "prepaid": 100_000_000}},
	}
}

// memoryOf returns the resident memory of a process in megabytes.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes / 1000
		}
	}
	return 0
}

func init() { cases["crowd"] = playCrowd }

// playCrowd plays the platform's part for the memory limit: a process that exceeds memory_mb is killed.
func playCrowd(fl *fleet, trouble bool) (bool, error) {
	fl.putManifest(crowdManifest())
	for ix := range 9 {
		ru := &runner{
			id: fmt.Sprintf("i-llm-%d", ix), service: "llm", zone: fmt.Sprintf("zone-%c", 'a'+ix%3), version: "1", slots: 64, stride: 7,
			events: 50, first: 900 * time.Millisecond, pause: 80 * time.Millisecond, record: fl.record,
		}
		if err := fl.addRunner(ru); err != nil {
			return false, err
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
	done := make(chan struct{})
	var watch sync.WaitGroup
	peak, killed := 0, time.Time{}
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			now := memoryOf(no.process.Pid)
			peak = max(peak, now)
			if now > memoryMegabytes {
				killed = time.Now()
				no.signal(syscall.SIGKILL)
				fl.record.addAt(killed, "%s holds %d MB, more than memory_mb %d, and is killed", no.name, now, memoryMegabytes)
				return
			}
		}
	})
	rate := crowdUsual
	if trouble {
		rate *= crowdTimes
		fl.record.add("the tenant sends %.2f requests a second, %.1f times its usual, for %.1f s", rate, crowdTimes, crowdLength.Seconds())
	}
	body := strings.Repeat("0123456789abcdef", crowdBody/16)
	count := int(rate * crowdLength.Seconds())
	answers := make([]answer, count)
	var group sync.WaitGroup
	begun := time.Now()
	for ix := range count {
		group.Go(func() {
			at := begun.Add(time.Duration(float64(ix) / rate * float64(time.Second)))
			time.Sleep(time.Until(at.Add(-time.Second)))
			ch, err := open(no.callers)
			if err != nil {
				answers[ix] = answer{sentAt: time.Now(), at: time.Now(), err: err}
				return
			}
			defer ch.close()
			first := ch.do(call{id: fmt.Sprintf("first-%d", ix), host: crowdHost, path: "/review/0", key: "none", millis: 1000, method: http.MethodGet})
			if first.err != nil {
				answers[ix] = first
				return
			}
			time.Sleep(time.Until(at))
			answers[ix] = ch.do(call{
				id: fmt.Sprintf("request-%d", ix), host: crowdHost, path: "/review/1", key: crowdKey, millis: crowdLimit, prompt: 6000, output: 350, body: body,
			})
		})
	}
	group.Wait()
	close(done)
	watch.Wait()
	runs := map[string]run{}
	for _, ru := range fl.runners {
		for _, one := range ru.list() {
			runs[one.id] = one
		}
	}
	served, lost, cut := 0, 0, 0
	for ix, an := range answers {
		id := fmt.Sprintf("request-%d", ix)
		_, ran := runs[id]
		fl.record.addAt(an.sentAt, "requester sends %s with a body of %d bytes", id, crowdBody)
		fl.record.addAt(an.at, "requester got for %s: %s", id, an)
		switch {
		case an.err == nil && an.status == http.StatusOK:
			served++
		case an.err != nil && ran && an.status == 0:
			lost++
			fl.record.add("%s is lost: it was passed on to a sound runner, and its kept channel ended without an answer", id)
		case an.err != nil && ran:
			cut++
		}
	}
	fl.record.add("requests %d, served %d, lost without an answer %d, cut off midway %d, peak memory %d MB, killed %t", count, served, lost, cut, peak, !killed.IsZero())
	fmt.Printf("requests %d, served %d, lost without an answer %d, cut off midway %d, peak memory %d MB, killed %t\n", count, served, lost, cut, peak, !killed.IsZero())
	if served == 0 && !trouble {
		return false, fmt.Errorf("%w: no request was served", errHarness)
	}
	return !killed.IsZero() && lost > crowdLost, nil
}
