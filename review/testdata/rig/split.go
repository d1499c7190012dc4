package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// minResumed is the number of streams from which on LOST judges the share that goes on.
	minResumed = 12
	// splitEvents is the number of events of each stream.
	splitEvents = 55
)

// splitServices are the services among which the route is split; in each, two software versions serve side by side.
var splitServices = []string{"model-a", "model-b", "model-c"}

// splitManifest returns a manifest whose only route is split among the services in equal parts.
func splitManifest() []byte {
	backends, services := []any{}, []any{}
	for _, name := range splitServices {
		backends = append(backends, map[string]any{"service": name, "weight": 10})
		services = append(services, map[string]any{
			"name": name, "max_connections": 360, "runtime": map[string]any{"slots": 64, "kv_capacity": 526_158, "stride": 7},
		})
	}
	data, _ := json.Marshal(map[string]any{
		"version": 1, "services": services,
		"routes": []any{map[string]any{
			"name": "review", "host": host, "path_prefix": "/review/", "route_type": "streaming", "timeout_ms": 12_000, "slo_ms": 800, "priority": 0,
			"backends": backends, "max_attempts": 2, "anonymous": false, "affinity": true, "stream_resume": true, "itl_target_ms": 300,
		}},
		"limits":  map[string]any{"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
		"tenants": []any{map[string]any{"name": team, "api_keys": []string{teamKey}, "priority": 1, "prepaid": 100_000_000}},
	})
	return data
}

// playSplit kills one machine after another, so that the requesters of its streams take them up again at the others.
func playSplit(rec *record, root string, trouble bool) (bool, error) {
	splitServices = splitServices[:int(envFloat("SERVICES", float64(len(splitServices))))]
	wo, err := newWorld(rec, root, splitManifest())
	if err != nil {
		return false, err
	}
	defer wo.close()
	for sx, service := range splitServices {
		for ix := range 4 {
			// Services are built from different software, so that their versions differ, too.
			version := fmt.Sprintf("%d.%d", sx+1, ix%splitVersions())
			if _, err := wo.addRunner(ix, service, version, splitEvents, 100*time.Millisecond, 25*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	for ix := range firstNodes {
		if err := wo.addNode(ix); err != nil {
			return false, err
		}
	}
	if err := wo.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	cr := newCrowd(wo, "/review/1", splitEvents, 600)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cr.run(40, 32*time.Second)
	}()
	if trouble {
		for ix := range 3 {
			time.Sleep(6 * time.Second)
			rec.add("%s is killed", wo.nodes[ix].name)
			if err := wo.nodes[ix].disturb(); err != nil {
				return false, err
			}
			rec.add("%s is started again", wo.nodes[ix].name)
		}
	}
	<-done
	began, resumed, wentOn := 0, 0, 0
	for _, tries := range cr.list {
		if tries[0].lastEvent > 0 {
			began++
		}
		for _, an := range tries[1:] {
			resumed++
			if an.status == http.StatusOK && len(an.events) > 0 {
				wentOn++
			}
		}
	}
	text := fmt.Sprintf("%d of %d new streams began; %d of %d that were taken up again went on", began, len(cr.list), wentOn, resumed)
	rec.add("%s", text)
	fmt.Println(text)
	if dir := os.Getenv("KEEP"); dir != "" {
		for _, no := range wo.nodes {
			_ = os.WriteFile(dir+"/"+no.name+".log", []byte(no.log()), 0o600)
		}
	}
	broke := resumed >= minResumed && 2*wentOn*len(cr.list) < resumed*began
	return !broke, nil
}

// splitVersions returns the number of software versions in each service.
func splitVersions() int {
	if os.Getenv("VERSIONS") == "1" {
		return 1
	}
	return 2
}
