package gate

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/internal/events"
	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// maxWholeBytes bounds an answer that is held until it is whole.
	maxWholeBytes = 4 << 20
	// maxCrashEvents is how far a stream gets whose request crashes the endpoint when it begins to run.
	maxCrashEvents = 1
	// writeGrace is how long beyond its timeout an answer may still be written to a caller that reads slowly.
	writeGrace = 500 * time.Millisecond
)

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (an *answer) write(wr http.ResponseWriter) error {
	copyHeader(wr.Header(), an.header)
	wr.Header().Set("Content-Length", strconv.Itoa(len(an.body)))
	wr.WriteHeader(an.status)
	if _, err := wr.Write(an.body); err != nil {
		return fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, vals := range from {
		to[name] = vals
	}
}

func (vi *visit) mine(he http.Header) bool { return vi.gate.config.Protocol.Matches(he, vi.call) }

// relayWhole reads the whole answer before anything of it goes to the caller.
func (fw *forwarding) relayWhole(ex *conns.Exchange, re ResponseInfo) (place.Outcome, error) {
	vi := fw.visit
	vi.charge(fw.events)
	data, err := io.ReadAll(io.LimitReader(ex.Response.Body, maxWholeBytes+1))
	switch {
	case err != nil:
		return fw.broken(fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the endpoint's answer broke off"))
	case len(data) > maxWholeBytes:
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint's answer is too large")
	case !re.Genuine:
		return fw.broken(fault.New(fault.Upstream, fault.MayHaveRun, "the answer does not come from the endpoint"))
	}
	an := &answer{status: ex.Response.StatusCode, header: vi.gate.config.Protocol.CallerHeaders(ex.Response.Header), body: data}
	vi.trail.status = an.status
	if an.status >= http.StatusInternalServerError {
		fw.fallback = an
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint failed with status "+strconv.Itoa(an.status))
	}
	if fw.headed {
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint did not resume the stream")
	}
	vi.gate.config.Quarantine.Clear(vi.content)
	vi.trail.first = vi.now()
	return place.Answered, an.write(vi.writer)
}

// broken tells an endpoint that failed from a request that ended for other reasons.
func (fw *forwarding) broken(err error) (place.Outcome, error) {
	if fw.ctx.Err() != nil {
		return place.Canceled, err
	}
	return place.Incomplete, err
}

// relayStream passes whole events on as they arrive.
func (fw *forwarding) relayStream(ex *conns.Exchange, de place.Decision, sd *place.Attempt, watch *time.Timer) (place.Outcome, error) {
	vi := fw.visit
	rd := events.NewReader(ex.Response.Body)
	joined := fw.headed
	for {
		vi.charge(fw.events)
		data, err := rd.Next()
		if errors.Is(err, io.EOF) {
			return fw.endStream(ex)
		}
		if err != nil {
			if fw.events <= maxCrashEvents && fw.ctx.Err() == nil && !fw.silent.Load() {
				vi.gate.config.Quarantine.RecordCrash(vi.content, de.Endpoint.ID)
			}
			return fw.broken(fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the stream broke off"))
		}
		sd.RecordFirstEvent(vi.now())
		sd.RecordActivity(vi.now())
		if watch != nil {
			watch.Reset(fw.pause())
		}
		id, ok := events.ID(data)
		if joined && (!ok || id != fw.lastEvent+1) {
			return place.Failed, fault.New(fault.Upstream, fault.Ran, "the stream was not resumed where it broke off")
		}
		joined = false
		if ok {
			fw.lastEvent = id
		}
		if err := fw.pass(ex, data, !rd.Buffered()); err != nil {
			return place.Canceled, fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
		}
	}
}

// endStream ends the answer where the endpoint has ended it.
func (fw *forwarding) endStream(ex *conns.Exchange) (place.Outcome, error) {
	vi := fw.visit
	if !fw.headed {
		fw.head(ex)
	}
	vi.gate.config.Quarantine.Clear(vi.content)
	return place.Answered, nil
}

// pause returns how long a begun stream may be silent before it goes on elsewhere.
func (fw *forwarding) pause() time.Duration {
	vi := fw.visit
	if vi.route.RetrySafety != plan.Resumable {
		return vi.left() + writeGrace
	}
	return max(leastFirstSilence, pauseFactor*vi.route.InterEventTarget)
}

// head sends the head of the first endpoint's answer, which later ones keep.
func (fw *forwarding) head(ex *conns.Exchange) {
	vi := fw.visit
	copyHeader(vi.writer.Header(), vi.gate.config.Protocol.CallerHeaders(ex.Response.Header))
	vi.writer.Header().Del("Content-Length")
	vi.writer.WriteHeader(ex.Response.StatusCode)
	vi.trail.status = ex.Response.StatusCode
	vi.trail.first = vi.now()
	fw.headed = true
}

func (fw *forwarding) pass(ex *conns.Exchange, data []byte, flush bool) error {
	vi := fw.visit
	if !fw.headed {
		_ = http.NewResponseController(vi.writer).SetWriteDeadline(time.Now().Add(vi.left() + writeGrace))
		fw.head(ex)
	}
	fw.events++
	vi.charge(fw.events)
	if _, err := vi.writer.Write(data); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(vi.writer).Flush()
}
