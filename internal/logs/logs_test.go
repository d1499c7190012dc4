package logs

import (
	"context"
	"strings"
	"sync"
	"testing"
)

// stuckWriter blocks all writes until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (sw *stuckWriter) Write(data []byte) (int, error) {
	<-sw.release
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.text.Write(data)
}

// TestBlockedWriter logs far more lines than the queue holds while the writer blocks: no log call blocks, and dropped lines are counted.
func TestBlockedWriter(tt *testing.T) {
	const lines = 3 * queueLines
	sw := &stuckWriter{release: make(chan struct{})}
	si := NewSink(sw)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { si.Run(ctx) })
	logger := si.Logger()
	for ix := range lines {
		logger.Info("line", "number", ix)
	}
	if got := si.Dropped(); got < lines-queueLines-1 {
		tt.Errorf("only %d lines were counted as dropped of %d that were logged while the writer blocked", got, lines)
	}
	close(sw.release)
	cancel()
	group.Wait()
	if sw.text.Len() == 0 {
		tt.Error("nothing was written after the writer was released")
	}
}
