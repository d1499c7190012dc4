package main

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

func envFloat(name string, def float64) float64 {
	if val, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return val
	}
	return def
}

func secs(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }

// playInPlace replaces the software of the runners one after another: each crashes and starts again under its ID with another version.
func playInPlace(rec *record, root string, trouble bool) (bool, error) {
	nodes, count, events := int(envFloat("NODES", 4)), int(envFloat("RUNNERS", 9)), 40
	wo, err := newWorld(rec, root, stand.Manifest{
		Version: 1, Host: host, TimeoutMs: 12_000, TargetMs: 800, Model: model, Plain: plain, Stride: 7, Team: team, Key: teamKey, Prepaid: 1 << 40,
		Routes: []stand.Route{{Name: "review", Kind: "streaming", Service: model, Sends: 2, Resume: true}},
	}.Encode())
	if err != nil {
		return false, err
	}
	defer wo.close()
	for ix := range count {
		if _, err := wo.addRunner(ix, model, "v1", events, secs(envFloat("FIRST", .1)), secs(envFloat("GAP", .025))); err != nil {
			return false, err
		}
	}
	for ix := range nodes {
		if err := wo.addNode(ix); err != nil {
			return false, err
		}
	}
	if err := wo.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	cr := newCrowd(wo, "/review/1", events, int(envFloat("PROMPT", 600)))
	done := make(chan struct{})
	go func() {
		defer close(done)
		cr.run(envFloat("RATE", 9), secs(envFloat("LENGTH", 40)))
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		upgrade(rec, wo)
	}
	<-done
	mixed, whole := 0, 0
	for _, tries := range cr.list {
		if len(versions(tries)) > 1 {
			mixed++
			for _, an := range tries {
				rec.add("mixed: request %s got events of %v", an.id, runs(an.events))
			}
		}
		if tries[len(tries)-1].whole {
			whole++
		}
	}
	text := fmt.Sprintf("%d streams, %d of them whole; %d hold events of two software versions (more than two break ORDER)", len(cr.list), whole, mixed)
	rec.add("%s", text)
	fmt.Println(text)
	if dir := os.Getenv("KEEP"); dir != "" {
		for _, no := range wo.nodes {
			_ = os.WriteFile(dir+"/"+no.name+".log", []byte(no.log()), 0o600)
		}
	}
	return mixed <= 2, nil
}

// upgrade restarts each runner in place with the next version; the new process crashes once soon after its start.
func upgrade(rec *record, wo *world) {
	down, up, gap := secs(envFloat("DOWN", .2)), secs(envFloat("UP", .9)), secs(envFloat("PAUSE", 1))
	if outage := secs(envFloat("OUTAGE", 0)); outage > 0 {
		wo.store.SetFault(stand.Refusing)
		rec.add("the store is down")
		time.AfterFunc(outage, func() { wo.store.SetFault(stand.NoFault); rec.add("the store is back") })
		time.Sleep(200 * time.Millisecond)
	}
	last := int(envFloat("UPGRADED", 8))
	for _, ru := range wo.runners[:last] {
		rec.add("server %s crashes", ru.id)
		ru.crash()
		time.Sleep(down)
		rec.add("server %s starts again with version v2", ru.id)
		_ = ru.start("v2")
		time.Sleep(up)
		rec.add("server %s crashes", ru.id)
		ru.crash()
		time.Sleep(down)
		rec.add("server %s starts again with version v2", ru.id)
		_ = ru.start("v2")
		time.Sleep(gap)
	}
}
