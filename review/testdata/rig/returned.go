package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

const (
	// recoverySeconds is the bound recovery_s of the small deployments.
	recoverySeconds = 12
	// copyAge is the age of the copy from which the store comes back, and awayTime how long it is away.
	copyAge  = 5 * time.Second
	awayTime = time.Second
	// downTime is the time from the kill of all processes to their next start.
	downTime = 1100 * time.Millisecond
)

// playReturned kills all instances while the store is away for a moment; the store comes back from a copy some seconds old.
func playReturned(rec *record, root string, trouble bool) (bool, error) {
	return playBudget(rec, root, 4_000_000, os.Getenv("PARTS"), trouble)
}

// playReplaced takes all machines away at one moment, without SIGTERM, and adds as many others.
func playReplaced(rec *record, root string, trouble bool) (bool, error) {
	how := os.Getenv("PARTS")
	if how == "" {
		how = "replace"
	}
	return playBudget(rec, root, 1_000_000, how, trouble)
}

// playBudget plays a fault of all machines: how is empty for a return of the store while all processes are killed, "kill" or "return" for one of the two,
// and "replace" for machines that are gone for good.
func playBudget(rec *record, root string, prepaid int64, how string, trouble bool) (bool, error) {
	const events = 10
	wo, err := newWorld(rec, root, stand.Manifest{
		Version: 1, Host: host, TimeoutMs: 12_000, TargetMs: 800, Model: model, Plain: plain, Stride: 7, Team: team, Key: teamKey, Prepaid: prepaid,
		Routes: []stand.Route{{Name: "review", Kind: "streaming", Service: model, Sends: 2, Resume: true}},
	}.Encode())
	if err != nil {
		return false, err
	}
	defer wo.close()
	for ix := range 9 {
		if _, err := wo.addRunner(ix, model, "v1", events, 50*time.Millisecond, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	for ix := range 4 {
		if err := wo.addNode(ix); err != nil {
			return false, err
		}
	}
	if err := wo.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	before, after := newCrowd(wo, "/review/1", events, 600), newCrowd(wo, "/review/1", events, 600)
	after.number = 1 << 20
	before.run(20, 15*time.Second)
	if trouble {
		if how != "kill" && how != "replace" && how != "term" {
			rec.add("the store is away")
			wo.store.SetFault(stand.Refusing)
		}
		if late := secs(envFloat("LATE", 0)); how == "" && late > 0 {
			// The processes are killed some time after the return of the store.
			time.Sleep(awayTime)
			lost := wo.store.Restore(copyAge)
			wo.store.SetFault(stand.NoFault)
			rec.add("the store is back, from a copy that is %s old", copyAge)
			time.AfterFunc(200*time.Millisecond, func() { wo.store.PutAgain(lost) })
			time.Sleep(late)
			how = "kill"
		}
		if how == "term" {
			rec.add("all instances get SIGTERM")
			for _, no := range wo.nodes {
				no.signal(syscall.SIGTERM)
			}
			for _, no := range wo.nodes {
				<-no.ended
			}
		} else if how != "return" {
			rec.add("all instances are killed")
			for _, no := range wo.nodes {
				no.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(awayTime)
		if how != "kill" && how != "replace" && how != "term" {
			lost := wo.store.Restore(copyAge)
			wo.store.SetFault(stand.NoFault)
			rec.add("the store is back, from a copy that is %s old", copyAge)
			time.AfterFunc(200*time.Millisecond, func() { wo.store.PutAgain(lost) })
		}
		time.Sleep(downTime - awayTime)
		if how == "replace" || how == "term" {
			if err := wo.replaceNodes(); err != nil {
				return false, err
			}
		} else if how != "return" {
			for _, no := range wo.nodes {
				no.kill()
				if err := no.start(); err != nil {
					return false, err
				}
			}
			rec.add("all instances are started again")
		}
	}
	if err := wo.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	rec.add("all instances are ready")
	time.Sleep(recoverySeconds * time.Second)
	rec.add("requests from here on count")
	after.run(20, 20*time.Second)
	served, sent := before.served()
	servedAfter, sentAfter := after.served()
	delivered := 0
	for _, cr := range []*crowd{before, after} {
		for _, tries := range cr.list {
			for _, an := range tries {
				if len(an.events) > 0 {
					delivered += 600 + 7*len(an.events)
				}
			}
		}
	}
	text := fmt.Sprintf("before: %d of %d requests were served; sent later than %d s after the machines were back: %d of %d; tokens delivered: %d of %d prepaid",
		served, sent, recoverySeconds, servedAfter, sentAfter, delivered, prepaid)
	rec.add("%s", text)
	fmt.Println(text)
	if dir := os.Getenv("KEEP"); dir != "" {
		for _, no := range wo.nodes {
			_ = os.WriteFile(dir+"/"+no.name+".log", []byte(no.log()), 0o600)
		}
	}
	return 4*served < sent || 4*servedAfter >= sentAfter, nil
}

// served returns the number of requests with a whole answer, and that of all.
func (cr *crowd) served() (served, sent int) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, tries := range cr.list {
		if tries[len(tries)-1].whole {
			served++
		}
	}
	return served, len(cr.list)
}

// replaceNodes starts a new machine for each that is gone for good, under another name and at other addresses.
func (wo *world) replaceNodes() error {
	gone := wo.nodes
	wo.nodes = nil
	for _, no := range gone {
		no.kill()
	}
	for ix := range gone {
		if err := wo.addNode(len(gone) + ix); err != nil {
			return err
		}
	}
	return nil
}

// envFloat returns the number in an environment variable, or the default.
func envFloat(name string, def float64) float64 {
	if val, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return val
	}
	return def
}

func secs(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }
