package matrix

import (
	"fmt"
	"testing"
	"time"
)

const (
	// measureDuration is the time over which the traffic is averaged.
	measureDuration = 60 * time.Second
	// maxControlBytes is the maximum control traffic of one instance with the log and its peers, in bytes a second.
	maxControlBytes = 4096
)

// traffic is the control traffic of one instance with the log, its peers and the endpoints. It counts both directions, in bytes or in bytes a
// second.
type traffic struct {
	log       int64
	peers     int64
	endpoints int64
}

// TestControlTraffic measures the control traffic of idle instances. In fleets of up to four, an instance must stay within maxControlBytes;
// larger fleets are measured without a limit.
func TestControlTraffic(t *testing.T) {
	tests := []struct {
		instances  int
		deployment string
		// bounded selects whether maxControlBytes applies.
		bounded bool
	}{
		{2, "birligi", true},
		{4, "birligi", true},
		{4, "virtanen", true},
		{8, "birligi", false},
		{16, "birligi", false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s with %d instances", tt.deployment, tt.instances), func(t *testing.T) {
			runWorldWith(t, tt.instances, tt.deployment, nil, func(wo *world) {
				before := wo.traffic()
				time.Sleep(measureDuration)
				after := wo.traffic()
				tr := traffic{perSecond(before.log, after.log), perSecond(before.peers, after.peers), perSecond(before.endpoints, after.endpoints)}
				t.Logf("control traffic of one instance in bytes a second: log %d, peers %d, endpoints %d", tr.log, tr.peers, tr.endpoints)
				if tt.bounded && tr.log+tr.peers > maxControlBytes {
					t.Errorf("control traffic with the log and peers is %d bytes a second, want at most %d", tr.log+tr.peers, maxControlBytes)
				}
			})
		})
	}
}

func perSecond(before, after int64) int64 {
	return (after - before) / int64(measureDuration/time.Second)
}

// traffic returns the numbers of bytes that the first instance has sent and received so far.
func (wo *world) traffic() traffic {
	self := wo.nodes[0].host
	both := func(other string) int64 { return wo.network.Sent(self, other) + wo.network.Sent(other, self) }
	tr := traffic{log: both(platformHost)}
	for _, no := range wo.nodes[1:] {
		tr.peers += both(no.host)
	}
	for ix := range wo.emulator.Ticket().Endpoints {
		tr.endpoints += both(hostOf(endpointAddress(ix)))
	}
	return tr
}
