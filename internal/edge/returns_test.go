package edge

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/internal/mesh"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/turn"
)

// TestHerdRefusedByPeer guards against callers that a peer has refused at once and that are not recognized here: their notices must fit into datagrams, and
// carry the time that is left when they are sent.
func TestHerdRefusedByPeer(tt *testing.T) {
	const callers, maxDatagramBytes = 200, 1472
	const delay = 400 * time.Millisecond
	now := time.Second
	newEdge := func() *Edge {
		ed := &Edge{config: Config{Clock: func() time.Duration { return now }, Logger: logr.Discard()}, turns: turn.New()}
		ed.returns = newReturns(ed)
		return ed
	}
	first, second := newEdge(), newEdge()
	for content := range uint64(callers) {
		first.NotifyReturn(^content, delay)
	}
	now += returnsInterval
	for _, nt := range first.returns.take(now) {
		data, err := record.Marshal(nt)
		if err != nil {
			tt.Fatal(err)
		}
		if len(data) > maxDatagramBytes {
			tt.Errorf("a notice of %d callers has %d bytes, want at most %d", len(nt.Returns), len(data), maxDatagramBytes)
		}
		var received mesh.Notice
		if err := record.Unmarshal(data, &received); err != nil {
			tt.Fatal(err)
		}
		second.onNotice(received)
	}
	for content := range uint64(callers) {
		if second.turns.Arrive(now+delay/2, ^content) {
			tt.Fatalf("caller %d has precedence before its time", content)
		}
		if !second.turns.Arrive(time.Second+delay, ^content) {
			tt.Fatalf("caller %d is not recognized when it comes back", content)
		}
	}
}
