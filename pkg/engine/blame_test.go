package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
)

// TestStreamsBesideCrashesAreNotBlamed guards against a message being refused because long streams with it were cut by crashes that other
// requests caused.
func TestStreamsBesideCrashesAreNotBlamed(t *testing.T) {
	tests := []struct {
		name string
		// chunks is the number of parts of the response that had arrived when the endpoint crashed.
		chunks int
		want   bool
	}{
		{"before the answer", 0, true},
		{"at its first part", 1, true},
		{"in the middle of the answer", 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			en := New(Config{Clock: func() time.Duration { return now }, Logger: logr.Discard()})
			request := func(ix int) Request { return Request{ContentHash: fmt.Sprint("content-", ix), Parts: []uint64{7}} }
			for ix := range 4 {
				now += 10 * time.Second
				en.recordPartCrash(&run{engine: en, request: request(ix), sentAt: now - 5*time.Second, chunks: tt.chunks}, fmt.Sprint("endpoint-", ix))
			}
			if diff := cmp.Diff(tt.want, en.partBlocked(request(9))); diff != "" {
				t.Errorf("the message is refused (-want +got):\n%s", diff)
			}
		})
	}
}
