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
	// maxProbed is the number of endpoints that are probed at the same time. One of them may have failed itself.
	maxProbed = 2
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
	dial := pa.direct.Dial
	if relayed {
		dial = pa.relay
	}
	pr.begunAt, pr.excluded, pr.relayed = pa.edge.config.Clock(), endpoint, relayed
	pr.works = pa.probeAny(context.Background(), endpoint, dial)
	pa.edge.metrics.Counter("weir_link_checks_total").Inc()
	if now := pa.edge.config.Clock(); !relayed && !pr.works && pa.tracker.Broken(now) {
		pa.edge.balancer.ForgetLoad(now)
	}
	return pr.works
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

// probeAny probes random endpoints other than the excluded one at the same time and reports whether one has answered.
func (pa *paths) probeAny(ctx context.Context, excluded string, dial dialFunc) bool {
	list := pa.others(excluded)
	rand.Shuffle(len(list), func(ii, jj int) { list[ii], list[jj] = list[jj], list[ii] })
	list = list[:min(len(list), maxProbed)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan bool, len(list))
	for _, en := range list {
		go pa.runProbe(ctx, en, dial, answers)
	}
	for range list {
		if <-answers {
			return true
		}
	}
	return false
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
