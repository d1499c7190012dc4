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
	// maxResponseBytes bounds an answer that is held until it is whole.
	maxResponseBytes = 4 << 20
	// maxCrashEvents is how far a stream gets whose request crashes the endpoint when it begins to run.
	maxCrashEvents = 1
	// writeGrace is how long beyond its timeout an answer may still be written to a caller that reads slowly.
	writeGrace = 500 * time.Millisecond
)

// response is a whole response of an endpoint.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (rs *response) write(wr http.ResponseWriter) error {
	copyHeader(wr.Header(), rs.header)
	wr.Header().Set("Content-Length", strconv.Itoa(len(rs.body)))
	wr.WriteHeader(rs.status)
	if _, err := wr.Write(rs.body); err != nil {
		return fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, vals := range from {
		to[name] = vals
	}
}

func (pr *proxyRequest) matches(he http.Header) bool {
	return pr.gate.config.Protocol.Matches(he, pr.info)
}

// relayComplete reads the whole answer before anything of it goes to the caller.
func (fw *forwarder) relayComplete(ex *conns.Exchange, re ResponseInfo) (place.Outcome, error) {
	pr := fw.request
	pr.updateCost(fw.eventCount)
	data, err := io.ReadAll(io.LimitReader(ex.Response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return fw.incomplete(fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the endpoint's answer broke off"))
	case len(data) > maxResponseBytes:
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint's answer is too large")
	case !re.Genuine:
		return fw.incomplete(fault.New(fault.Upstream, fault.MayHaveRun, "the answer does not come from the endpoint"))
	}
	rs := &response{status: ex.Response.StatusCode, header: pr.gate.config.Protocol.CallerHeaders(ex.Response.Header), body: data}
	pr.entry.status = rs.status
	if rs.status >= http.StatusInternalServerError {
		fw.fallback = rs
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint failed with status "+strconv.Itoa(rs.status))
	}
	if fw.headerSent {
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint did not resume the stream")
	}
	pr.gate.config.Quarantine.Clear(pr.contentHash)
	pr.entry.firstEventAt = pr.now()
	return place.Answered, rs.write(pr.writer)
}

// incomplete tells an endpoint that failed from a request that ended for other reasons.
func (fw *forwarder) incomplete(err error) (place.Outcome, error) {
	if fw.ctx.Err() != nil {
		return place.Abandoned, err
	}
	return place.Incomplete, err
}

// relayStream passes whole events on as they arrive.
func (fw *forwarder) relayStream(ex *conns.Exchange, de place.Decision, sd *place.Attempt, watch *time.Timer) (place.Outcome, error) {
	pr := fw.request
	rd := events.NewReader(ex.Response.Body)
	joined := fw.headerSent
	for {
		pr.updateCost(fw.eventCount)
		data, err := rd.Next()
		if errors.Is(err, io.EOF) {
			return fw.endStream(ex)
		}
		if err != nil {
			if fw.eventCount <= maxCrashEvents && fw.ctx.Err() == nil && !fw.stalled.Load() {
				pr.gate.config.Quarantine.RecordCrash(pr.contentHash, de.Endpoint.ID)
			}
			return fw.incomplete(fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the stream broke off"))
		}
		sd.RecordFirstEvent(pr.now())
		sd.RecordActivity(pr.now())
		if watch != nil {
			watch.Reset(fw.eventTimeout())
		}
		id, ok := events.ID(data)
		if joined && (!ok || id != fw.lastEventID+1) {
			return place.Failed, fault.New(fault.Upstream, fault.Ran, "the stream was not resumed where it broke off")
		}
		joined = false
		if ok {
			fw.lastEventID = id
		}
		if err := fw.relayEvent(ex, data, !rd.Buffered()); err != nil {
			return place.Abandoned, fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
		}
	}
}

// endStream ends the answer where the endpoint has ended it.
func (fw *forwarder) endStream(ex *conns.Exchange) (place.Outcome, error) {
	pr := fw.request
	if !fw.headerSent {
		fw.sendHeader(ex)
	}
	pr.gate.config.Quarantine.Clear(pr.contentHash)
	return place.Answered, nil
}

// eventTimeout returns how long a begun stream may be silent before it goes on elsewhere.
func (fw *forwarder) eventTimeout() time.Duration {
	pr := fw.request
	if pr.route.RetrySafety != plan.Resumable {
		return pr.timeLeft() + writeGrace
	}
	return max(minStallTimeout, eventTimeoutFactor*pr.route.InterEventTarget)
}

// sendHeader sends the sendHeader of the first endpoint's answer, which later ones keep.
func (fw *forwarder) sendHeader(ex *conns.Exchange) {
	pr := fw.request
	copyHeader(pr.writer.Header(), pr.gate.config.Protocol.CallerHeaders(ex.Response.Header))
	pr.writer.Header().Del("Content-Length")
	pr.writer.WriteHeader(ex.Response.StatusCode)
	pr.entry.status = ex.Response.StatusCode
	pr.entry.firstEventAt = pr.now()
	fw.headerSent = true
}

func (fw *forwarder) relayEvent(ex *conns.Exchange, data []byte, flush bool) error {
	pr := fw.request
	if !fw.headerSent {
		_ = http.NewResponseController(pr.writer).SetWriteDeadline(time.Now().Add(pr.timeLeft() + writeGrace))
		fw.sendHeader(ex)
	}
	fw.eventCount++
	pr.updateCost(fw.eventCount)
	if _, err := pr.writer.Write(data); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(pr.writer).Flush()
}
