package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/roster"
)

const (
	// probeTimeout bounds a probe of the path to an endpoint.
	probeTimeout = 400 * time.Millisecond
	// answerTimeout bounds the probe of an endpoint that has broken a connection. A crashed one refuses connections at once; the request that was cut
	// off waits for the result before it is sent again.
	answerTimeout = 200 * time.Millisecond
	// maxProbed is the number of endpoints that are probed at the same time, and maxProbes that of all. Some of them may have failed themselves:
	// requests that crash endpoints take several within a second.
	maxProbed = 2
	maxProbes = 16
)

// probeRequest is a request that every endpoint answers, and that none runs.
const probeRequest = "OPTIONS * HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// probes holds the result of the last check whether endpoints can be reached.
type probes struct {
	mu sync.Mutex
	// begunAt is the start of the last check, excluded the endpoint that it left out, and relayed whether it went through peers.
	begunAt  time.Duration
	excluded string
	relayed  bool
	works    bool
}

// dialFunc opens a connection to an endpoint.
type dialFunc func(ctx context.Context, endpoint, address string) (nc net.Conn, peer string, err error)

// Works implements gate.Link. If no other endpoint can be reached directly either, the link counts as cut from then on. Calls at the same time share one check.
func (pa *paths) Works(endpoint string, relayed bool) bool {
	called := pa.edge.config.Clock()
	pr := &pa.probes
	pr.mu.Lock()
	defer pr.mu.Unlock()
	switch {
	case !relayed && pa.tracker.Cut():
		return false
	case pr.begunAt > called && pr.excluded == endpoint && pr.relayed == relayed:
		return pr.works
	case len(pa.others(endpoint)) == 0:
		return true
	}
	return pa.check(endpoint, relayed)
}

// Answers implements gate.Link.
func (pa *paths) Answers(en *roster.Endpoint, relayed bool) bool {
	dial := pa.direct.Dial
	if relayed {
		dial = pa.relay
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	answers := make(chan bool, 1)
	pa.runProbe(ctx, en, dial, answers)
	return <-answers
}

// confirmCut probes the link after connections to several endpoints could not be opened, and counts it as cut unless another endpoint answers.
func (pa *paths) confirmCut(endpoint string) {
	pa.probes.mu.Lock()
	defer pa.probes.mu.Unlock()
	switch {
	case pa.tracker.Cut():
	case len(pa.others(endpoint)) == 0:
		pa.countAsCut()
	case pa.check(endpoint, false):
		pa.tracker.Connected()
	}
}

// check probes other endpoints than the given one and reports whether one has answered; the caller holds the lock of the probes.
func (pa *paths) check(endpoint string, relayed bool) bool {
	pr := &pa.probes
	dial := pa.direct.Dial
	if relayed {
		dial = pa.relay
	}
	pr.begunAt, pr.excluded, pr.relayed = pa.edge.config.Clock(), endpoint, relayed
	pr.works = pa.probeAny(context.Background(), endpoint, dial)
	pa.edge.metrics.Counter("weir_link_checks_total").Inc()
	if !relayed && !pr.works {
		pa.countAsCut()
	}
	return pr.works
}

// countAsCut makes the link count as cut from now on.
func (pa *paths) countAsCut() {
	if now := pa.edge.config.Clock(); pa.tracker.Broken(now) {
		pa.edge.balancer.ForgetLoad(now)
	}
}

// others returns the endpoints of all services but the given one.
func (pa *paths) others(endpoint string) []*roster.Endpoint {
	all := pa.edge.roster.All()
	list := make([]*roster.Endpoint, 0, len(all))
	for _, en := range all {
		if en.ID != endpoint {
			list = append(list, en)
		}
	}
	return list
}

// probeAny probes random endpoints other than the excluded one and reports whether one has answered. Endpoints to which connections have failed recently
// come last: most of them are down.
func (pa *paths) probeAny(ctx context.Context, excluded string, dial dialFunc) bool {
	others := pa.others(excluded)
	rand.Shuffle(len(others), func(ii, jj int) { others[ii], others[jj] = others[jj], others[ii] })
	now := pa.edge.config.Clock()
	list := make([]*roster.Endpoint, 0, len(others))
	for _, failed := range []bool{false, true} {
		for _, en := range others {
			if pa.tracker.Failed(now, en.ID) == failed {
				list = append(list, en)
			}
		}
	}
	list = list[:min(len(list), maxProbes)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan bool, len(list))
	begun, ended := 0, 0
	for {
		for ; begun < len(list) && begun-ended < maxProbed && ctx.Err() == nil; begun++ {
			go pa.runProbe(ctx, list[begun], dial, answers)
		}
		if begun == ended {
			return false
		}
		if <-answers {
			return true
		}
		ended++
	}
}

// runProbe sends a request to an endpoint and reports whether anything came back.
func (pa *paths) runProbe(ctx context.Context, en *roster.Endpoint, dial dialFunc, answers chan<- bool) {
	nc, _, err := dial(ctx, en.ID, en.Address)
	if err != nil {
		answers <- false
		return
	}
	defer func() { _ = nc.Close() }()
	defer context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Now()) })()
	if _, err := fmt.Fprintf(nc, probeRequest, en.Address); err != nil {
		answers <- false
		return
	}
	var first [1]byte
	_, err = io.ReadFull(nc, first[:])
	answers <- err == nil
}
