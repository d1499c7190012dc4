package edge

import (
	"context"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementineweir/clementineweir/pkg/shed"
)

const (
	// probeInterval is the interval of the lag probe while there are requests, and idleProbeInterval that without any; a probe costs some 30 µs of processor
	// time. It is no divisor of the usual quota period of 100 ms: a probe in step with the period would never see the end of the quota.
	probeInterval     = 40 * time.Millisecond
	idleProbeInterval = 110 * time.Millisecond
	// bytesPerMegabit converts the rate of the link.
	bytesPerMegabit = 1e6 / 8
)

// lagSink takes the delay of this instance, so that its own delay is not counted against endpoints.
type lagSink interface {
	SetLag(now, lag time.Duration)
}

// overload measures how late this instance runs, and feeds the shedder.
type overload struct {
	edge    *Edge
	shedder *shed.Shedder
	sink    lagSink
	// markedAt is the time at which the waiting marker was put into the run queue, or zero, and markerLag how long the last one waited, or zero once it is read.
	markedAt  atomic.Int64
	markerLag atomic.Int64
	// begun is the time at which shedding began, and refusals the number of refused requests at that time.
	begun    time.Duration
	refusals uint64
	shedding bool
}

func newOverload(ed *Edge) *overload {
	se := ed.config.Settings
	ov := &overload{edge: ed, shedder: shed.New(shed.Config{
		Cores: se.CPUCores, LinkBytesPerSecond: se.LinkMegabits * bytesPerMegabit, Seed: uint64(ed.config.Stamp().Wall.UnixNano()),
	})}
	ov.sink, _ = any(ed.balancer).(lagSink)
	return ov
}

// run probes how late this instance runs until the context ends.
func (ov *overload) run(ctx context.Context) error {
	ti := time.NewTimer(probeInterval)
	defer ti.Stop()
	due := ov.edge.config.Clock() + probeInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ti.C:
		}
		now := ov.edge.config.Clock()
		ov.probe(now, due)
		interval := probeInterval
		if ov.edge.servers.active.Load() == 0 && !ov.shedding {
			interval = idleProbeInterval
		}
		due = now + interval
		ti.Reset(interval)
	}
}

// probe records the lag, which is the greatest of three: how late the timer of the probe fired, how long the last marker waited in the run queue, and how long
// the present one has. Timers do not wait behind runnable goroutines, and the processor's quota may be used up before a marker is set.
func (ov *overload) probe(now, due time.Duration) {
	lag := max(now-due, time.Duration(ov.markerLag.Swap(0)))
	if at := time.Duration(ov.markedAt.Load()); at > 0 {
		lag = max(lag, now-at)
	} else {
		ov.markedAt.Store(int64(now))
		go ov.runMarker(now)
	}
	ov.shedder.RecordCPU(now, processorTime())
	ov.shedder.RecordLag(now, lag)
	if ov.sink != nil {
		ov.sink.SetLag(now, ov.shedder.Delay(now))
	}
	ov.report(now)
}

// runMarker measures how long a goroutine waits behind all that are runnable. Gosched puts it at the end of the queue; a new goroutine runs next.
func (ov *overload) runMarker(at time.Duration) {
	runtime.Gosched()
	ov.markerLag.Store(int64(ov.edge.config.Clock() - at))
	ov.markedAt.Store(0)
}

// report logs that shedding begins or ends.
func (ov *overload) report(now time.Duration) {
	st := ov.shedder.State(now)
	if st.Shedding == ov.shedding {
		return
	}
	ov.shedding = st.Shedding
	refused := ov.edge.metrics.Counter("weir_shed_requests_total").Get()
	if st.Shedding {
		ov.begun, ov.refusals = now, refused
		ov.edge.config.Logger.Info("shedding begins", "reason", st.Reason, "lag", st.Lag.Seconds(), "busy", st.Busy, "incoming", st.Incoming, "level", st.Level,
			"inFlight", st.InFlight, "arrivals", st.Arrivals, "completions", st.Completions)
		return
	}
	ov.edge.config.Logger.Info("shedding ends", "reason", st.Reason, "lasted", (now - ov.begun).Seconds(), "refused", refused-ov.refusals)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var us syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &us) != nil {
		return 0
	}
	return time.Duration(us.Utime.Nano() + us.Stime.Nano())
}
