package matrix

import (
	"fmt"
	"testing"
	"time"
)

const (
	trafficSpan = 60 * time.Second
	// maxControlBytes is the control traffic of a daemon that letter 1 allows, in bytes a second.
	maxControlBytes = 4096
)

// traffic is what one instance sends and receives for control, in bytes a second.
type traffic struct {
	log       int64
	peers     int64
	endpoints int64
}

// TestControlTraffic measures idle instances; at today's size the log and the peers together stay within letter 1's bound.
func TestControlTraffic(t *testing.T) {
	tests := []struct {
		instances  int
		deployment string
		bounded    bool
	}{
		{2, "birligi", true},
		{4, "birligi", true},
		{4, "virtanen", true},
		{8, "birligi", false},
		{16, "birligi", false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s with %d instances", tt.deployment, tt.instances), func(t *testing.T) {
			runWorldOf(t, tt.instances, tt.deployment, nil, func(wo *world) {
				before := wo.traffic()
				time.Sleep(trafficSpan)
				after := wo.traffic()
				tr := traffic{perSecond(before.log, after.log), perSecond(before.peers, after.peers), perSecond(before.endpoints, after.endpoints)}
				t.Logf("bytes a second of one instance: log %d, peers %d, endpoints %d", tr.log, tr.peers, tr.endpoints)
				if tt.bounded && tr.log+tr.peers > maxControlBytes {
					t.Errorf("%d bytes a second for control, at most %d are allowed", tr.log+tr.peers, maxControlBytes)
				}
			})
		})
	}
}

func perSecond(before, after int64) int64 {
	return (after - before) / int64(trafficSpan/time.Second)
}

// traffic returns what the first instance has sent and received so far.
func (wo *world) traffic() traffic {
	self := wo.nodes[0].host
	both := func(other string) int64 { return wo.network.Sent(self, other) + wo.network.Sent(other, self) }
	tr := traffic{log: both(platformHost)}
	for _, no := range wo.nodes[1:] {
		tr.peers += both(no.host)
	}
	for ix := range wo.em.Ticket().Endpoints {
		tr.endpoints += both(hostOf(endpointAddress(ix)))
	}
	return tr
}
