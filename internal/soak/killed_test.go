package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/origin"
	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const (
	// killedStreams is the number of streams that are broken off before the instances are killed.
	killedStreams = 40
	// firstSound is the first of the numbers of requests that crash no endpoint.
	firstSound = 2
	// loggedTime is the time after which the beginning of a stream outlives all instances.
	loggedTime = 300 * time.Millisecond
	// returnTime is the time after the return of the instances from which resumed streams go on as often as new ones begin.
	returnTime = 3 * time.Second
	// originLifetime is the time after which a version counts as the only one.
	originLifetime = origin.Lifetime + 2*time.Second
	// releaseTime is the time that a version has to be taken into service.
	releaseTime = 5 * time.Second
)

// breakStreams begins streams at the given nodes, which the endpoints break off, and returns them.
func (wo *world) breakStreams(nodes []*node, client *http.Client, jo *journal) []outcome {
	wo.setModelFaults(stand.Breaking)
	defer wo.setModelFaults(stand.Healthy)
	var broken []outcome
	for number := range int64(killedStreams) {
		ou := outcome{id: fmt.Sprint("killed-", number), number: firstSound + number, route: "resume"}
		wo.call(client, nodes[int(number)%len(nodes)], &ou)
		jo.add(ou)
		if ou.broken && ou.lastEvent > 0 {
			broken = append(broken, ou)
		}
	}
	return broken
}

// resumeStreams resumes streams at the given nodes at the same time and returns how many went on.
func (wo *world) resumeStreams(nodes []*node, client *http.Client, jo *journal, broken []outcome) int {
	var group sync.WaitGroup
	wentOn := make([]bool, len(broken))
	for ix, ou := range broken {
		ou = ou.resumption(1)
		group.Go(func() {
			wo.call(client, nodes[ix%len(nodes)], &ou)
			jo.add(ou)
			wentOn[ix] = ou.status == http.StatusOK
		})
	}
	group.Wait()
	return len(slices.DeleteFunc(wentOn, func(ok bool) bool { return !ok }))
}

// killNodes kills all nodes at once and starts them again.
func (wo *world) killNodes() {
	wo.killAll()
	for _, no := range wo.nodes {
		wo.start(no)
	}
	awaitReady(wo.tt, wo)
}

// deregister removes the registrations of all model endpoints with the version; they go on serving.
func (wo *world) deregister(version string) {
	for ix, en := range wo.modelEndpoints {
		if versions[ix%len(versions)] == version {
			wo.store.Put(wire.RegistrationTopic, en.ID(), nil)
		}
	}
}

// deregisterOthers removes the registrations of the model endpoints that have faults of their own.
func (wo *world) deregisterOthers() {
	for _, en := range []*stand.Endpoint{wo.brittleEndpoint, wo.leaver.endpoint} {
		wo.store.Put(wire.RegistrationTopic, en.ID(), nil)
	}
}

// TestStreamsAfterKillOfAllInstances kills all instances while streams have broken off that two versions began. Their callers resume them after the return.
func TestStreamsAfterKillOfAllInstances(tt *testing.T) {
	cases := []struct {
		name string
		// before runs before the kill, and during while no instance runs.
		before, during func(wo *world)
		// share is the share of the streams that must go on, in percent.
		share int
	}{
		{"both versions serve", func(*world) { time.Sleep(loggedTime) }, func(*world) {}, 90},
		{"killed at once", func(*world) {}, func(*world) {}, 0},
		{"the old version has left", func(wo *world) { wo.deregister("v1"); time.Sleep(200 * time.Millisecond) }, func(*world) {}, 0},
		{"the old version leaves while no instance runs", func(*world) {}, func(wo *world) { wo.deregister("v1") }, 0},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			wo := newWorld(tt, 4, 10_000_000)
			awaitReady(tt, wo)
			wo.deregisterOthers()
			time.Sleep(releaseTime)
			jo, client := &journal{}, newClient()
			broken := wo.breakStreams(wo.nodes, client, jo)
			tc.before(wo)
			wo.killAll()
			tc.during(wo)
			wo.killNodes()
			time.Sleep(returnTime)
			wentOn := wo.resumeStreams(wo.nodes, client, jo, broken)
			wo.checkVersions(jo)
			if wentOn*100 < tc.share*len(broken) || len(broken) < killedStreams/2 {
				wo.logRequests("killed-")
				tt.Errorf("%d of %d streams went on, want %d in 100", wentOn, len(broken), tc.share)
			}
		})
	}
}

// TestStreamsAtInstanceOutOfStep pauses an instance while a version joins, and resumes streams of the new version there when it runs again, before it can
// read the store.
func TestStreamsAtInstanceOutOfStep(tt *testing.T) {
	wo := newWorld(tt, 3, 10_000_000)
	awaitReady(tt, wo)
	wo.deregisterOthers()
	for _, en := range wo.modelEndpoints {
		wo.replace(en, "v1")
	}
	time.Sleep(originLifetime)
	late := wo.nodes[2]
	late.storeProxy.set(stalled)
	late.signal(syscall.SIGSTOP)
	for _, en := range wo.modelEndpoints[3:] {
		wo.replace(en, "v2")
	}
	time.Sleep(releaseTime)
	jo, client := &journal{}, newClient()
	broken := wo.breakStreams(wo.nodes[:2], client, jo)
	late.signal(syscall.SIGCONT)
	wentOn := wo.resumeStreams([]*node{late}, client, jo, broken)
	wo.checkVersions(jo)
	tt.Logf("%d of %d streams went on at the instance that was out of step", wentOn, len(broken))
}
