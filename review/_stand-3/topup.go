package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	firstPrepaid, raisedPrepaid = 400_000, 1_200_000
	// untilRaise is the time from the first request until the operator raises what the team has prepaid.
	untilRaise = 14 * time.Second
	// afterRaise is the time from then until all instances are killed, and raiseCopyAge the age of the copy from which the store comes back.
	afterRaise   = 3500 * time.Millisecond
	raiseCopyAge = 4 * time.Second
	// operatorTime is the time from the return of the store until the operator has written the manifest again.
	operatorTime = 4 * time.Second
	// afterReturn is the time for which requests are sent after that.
	afterReturn = 14 * time.Second
)

func prepaidManifest(version int, prepaid int64) []byte {
	return stand.Manifest{
		Version: version, Host: host, TimeoutMs: 10_000, TargetMs: 800, Model: "model", Plain: "plain", Stride: copyStride, Team: team, Key: key, Prepaid: prepaid,
		Routes: []stand.Route{{Name: "review", Kind: "streaming", Service: "model", Sends: 2, Resume: true}},
	}.Encode()
}

// topupCase raises what a team has prepaid. Seconds later the store comes back from a copy that is older than the raise, and all instances are killed at that moment.
// The operator then writes the manifest again.
func topupCase(wo *world) (bool, error) {
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, prepaidManifest(1, firstPrepaid))
	for ix := range 4 {
		ru := &runner{
			world: wo, id: fmt.Sprint("runner-", ix+1), service: "model", zone: fmt.Sprint("zone-", ix%2+1), slots: 64, events: copyOutput / copyStride, pause: time.Millisecond,
		}
		if err := ru.start("v1"); err != nil {
			return false, err
		}
	}
	if err := wo.startNodes(3); err != nil {
		return false, err
	}
	delay := operatorTime
	if text := os.Getenv("OPERATOR_TIME"); text != "" {
		delay, _ = time.ParseDuration(text)
	}
	time.Sleep(4 * time.Second)
	sp := &spender{world: wo, ended: make(chan struct{})}
	go sp.run()
	time.Sleep(untilRaise)
	wo.log("%d tokens were delivered so far, %d were prepaid", sp.tokens.Load(), firstPrepaid)
	wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, prepaidManifest(2, raisedPrepaid))
	wo.log("the operator has raised it to %d", raisedPrepaid)
	time.Sleep(afterRaise)
	wo.log("%d tokens were delivered so far, %d were prepaid", sp.tokens.Load(), raisedPrepaid)
	if wo.trouble {
		wo.setAway(true)
		for _, no := range wo.nodes {
			no.signal(syscall.SIGKILL)
		}
		for _, no := range wo.nodes {
			no.kill()
		}
		wo.store.Restore(raiseCopyAge)
		wo.log("the store comes back from a copy that is %s old", raiseCopyAge)
		time.Sleep(storeAway)
		wo.setAway(false)
		for _, no := range wo.nodes {
			if err := no.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(delay)
		wo.store.Put(wire.OperatorTopic, wire.ConfigurationKey, prepaidManifest(2, raisedPrepaid))
		wo.log("the operator has written the manifest again")
	}
	time.Sleep(afterReturn)
	close(sp.ended)
	sp.group.Wait()
	wo.log("%d tokens were delivered, %d were prepaid; answers: %s", sp.tokens.Load(), raisedPrepaid, sp.summary())
	return sp.tokens.Load() > raisedPrepaid, nil
}
