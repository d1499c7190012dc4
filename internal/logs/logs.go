package logs

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

const (
	// queueLines bounds the lines that wait for a slow writer. An instance at its highest load logs about as many lines
	// per second.
	queueLines = 4096
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// flushTimeout bounds the time for writing queued lines at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Sink queues lines for a writer; when the queue is full, further lines are dropped and counted.
type Sink struct {
	writer  io.Writer
	queue   chan string
	dropped atomic.Int64
}

// NewSink returns a sink; Run writes its lines.
func NewSink(writer io.Writer) *Sink {
	return &Sink{writer: writer, queue: make(chan string, queueLines)}
}

// Logger returns a logger that writes JSON lines to the sink.
func (si *Sink) Logger() logr.Logger {
	return funcr.NewJSON(si.add, funcr.Options{LogTimestamp: true, TimestampFormat: timeFormat})
}

// Dropped returns the number of dropped lines.
func (si *Sink) Dropped() int64 { return si.dropped.Load() }

func (si *Sink) add(line string) {
	select {
	case si.queue <- line:
	default:
		si.dropped.Add(1)
	}
}

// Run writes lines until the context ends, and then, within flushTimeout, the lines that are still queued.
func (si *Sink) Run(ctx context.Context) {
	reported := int64(0)
	for {
		select {
		case line := <-si.queue:
			si.write(line)
			if dropped := si.dropped.Load(); dropped > reported && len(si.queue) == 0 {
				reported = dropped
				si.Logger().Info("log lines dropped", "total", dropped)
			}
		case <-ctx.Done():
			si.flush()
			return
		}
	}
}

func (si *Sink) write(line string) { _, _ = io.WriteString(si.writer, line+"\n") }

func (si *Sink) flush() {
	ends := time.Now().Add(flushTimeout)
	for time.Now().Before(ends) {
		select {
		case line := <-si.queue:
			si.write(line)
		default:
			return
		}
	}
}
