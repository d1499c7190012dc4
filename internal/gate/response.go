package gate

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/internal/events"
	"github.com/clementineweir/clementineweir/internal/space"
	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
)

const (
	// maxResponseBytes bounds a response that is buffered until it is complete.
	maxResponseBytes = 4 << 20
	// maxCrashEvents is the maximum number of events in a broken stream that still counts as a crash caused by the request. After more events
	// the request is not the cause: a request that crashes endpoints does so when it begins to run.
	maxCrashEvents = 1
	// writeGrace extends the deadline for writing the response to a caller that reads slowly.
	writeGrace = 500 * time.Millisecond
)

// response is a complete, buffered response of an endpoint.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (rs *response) write(pr *proxyRequest) error {
	wr := pr.writer
	copyHeader(wr.Header(), rs.header)
	wr.Header().Set("Content-Length", strconv.Itoa(len(rs.body)))
	wr.WriteHeader(rs.status)
	if err := pr.write(rs.body, false); err != nil {
		return fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, vals := range from {
		to[name] = vals
	}
}

func (pr *proxyRequest) matches(he http.Header, first bool) bool {
	return pr.gate.config.Protocol.Matches(he, pr.info, first)
}

// relayComplete reads the complete response of the endpoint and then relays it to the caller.
func (fw *forwarder) relayComplete(ex *conns.Exchange, de place.Decision, ri ResponseInfo) (place.Outcome, error) {
	pr := fw.request
	pr.updateCost(fw.eventCount)
	held := pr.memory.Taken()
	defer func() {
		if fw.fallback == nil {
			pr.memory.Give(pr.memory.Taken() - held)
		}
	}()
	data, err := pr.memory.ReadAll(ex.Response.Body, ex.Response.ContentLength, maxResponseBytes)
	if err == nil && len(data) == 0 && !ex.Framed() {
		// As for a stream without events (see relayStream).
		err = io.ErrUnexpectedEOF
	}
	switch {
	case errors.Is(err, space.ErrTooLarge):
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint's response is too large")
	case err != nil:
		return fw.breakOff(de, err, "the endpoint's response is truncated")
	case !ri.Genuine:
		return fw.incomplete(fault.New(fault.Upstream, fault.MayHaveRun, "the response is not signed by the endpoint"))
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
	if rs.status < http.StatusMultipleChoices {
		pr.gate.config.Quarantine.RecordAnswer(pr.traits, fw.endpoint)
	}
	pr.entry.firstEventAt = pr.now()
	return place.Answered, rs.write(pr)
}

// withoutMemory ends an attempt whose response does not fit into the memory of this instance.
func (fw *forwarder) withoutMemory(err error) (place.Outcome, error) {
	fw.request.gate.config.Metrics.Counter("weir_responses_without_memory_total").Inc()
	return place.Failed, fault.Wrap(err, fault.Overloaded, fault.MayHaveRun, "the instance has no memory for the response")
}

// incomplete returns the outcome of an attempt without a complete response. If the caller canceled the request or its deadline passed, the
// attempt does not count as a failure of the endpoint.
func (fw *forwarder) incomplete(err error) (place.Outcome, error) {
	if fw.ctx.Err() != nil {
		return place.Canceled, err
	}
	return place.Incomplete, err
}

// breakOff ends an attempt whose response broke off. Unless this instance canceled the attempt or has no memory for the response, the endpoint may have
// crashed.
func (fw *forwarder) breakOff(de place.Decision, err error, message string) (place.Outcome, error) {
	if errors.Is(err, space.ErrFull) || errors.Is(err, events.ErrNoMemory) {
		return fw.withoutMemory(err)
	}
	if fw.ctx.Err() == nil && !fw.stalled.Load() && !errors.Is(err, events.ErrTooLarge) {
		fw.recordCrash(de, err)
	}
	return fw.incomplete(fault.Wrap(err, fault.Upstream, fault.MayHaveRun, message))
}

// relayStream relays complete events as they arrive.
func (fw *forwarder) relayStream(ex *conns.Exchange, de place.Decision, at *place.Attempt, watch *stallWatch) (place.Outcome, error) {
	pr := fw.request
	rd := events.NewReader(ex.Response.Body).WithMemory(pr.memory)
	defer rd.Close()
	resumed := fw.headerSent || fw.lastEventID > 0
	// Without a length and chunks, the end of the connection is no proof of the end of the response, so an end before the first event counts
	// as broken off.
	received := 0
	for {
		pr.updateCost(fw.eventCount)
		data, err := rd.Next()
		if resumed && fw.lacksEvents(err) {
			return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint resumed the stream without an event")
		}
		if errors.Is(err, io.EOF) && (received > 0 || ex.Framed()) {
			return fw.endStream(ex)
		}
		if err != nil {
			return fw.breakOff(de, err, "the stream broke off")
		}
		if resumed {
			skip, err := fw.checkResumed(data)
			if err != nil {
				return place.Failed, err
			}
			if skip {
				continue
			}
			resumed = false
		}
		if !events.HasData(data) {
			if err := fw.relayComment(ex, data); err != nil {
				return place.Canceled, fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
			}
			continue
		}
		received++
		pr.recordEvent(at, received)
		watch.reset(fw.eventTimeout())
		if out, err := fw.relayData(ex, data, !rd.Buffered()); err != nil {
			return out, err
		}
	}
}

// relayData relays an event with data, unless the request may have no more of them.
func (fw *forwarder) relayData(ex *conns.Exchange, data []byte, flush bool) (place.Outcome, error) {
	if fw.eventCount >= fw.request.maxEvents() {
		return place.Failed, fault.New(fault.Upstream, fault.Ran, "the endpoint sent more events than the request may have")
	}
	if id, ok := events.ID(data); ok {
		fw.lastEventID = id
	}
	if err := fw.relayEvent(ex, data, flush); err != nil {
		return place.Canceled, fault.Wrap(err, fault.Canceled, fault.Ran, "the caller left")
	}
	return place.Answered, nil
}

// lacksEvents reports whether the stream has ended by this error although the request may have more events.
func (fw *forwarder) lacksEvents(err error) bool {
	return errors.Is(err, io.EOF) && max(fw.eventCount, fw.lastEventID) < fw.request.maxEvents()
}

// checkResumed checks what an endpoint sends first when it resumes a stream. skip is set for a comment, which is not relayed: nothing shows yet that the
// endpoint goes on with the stream.
func (fw *forwarder) checkResumed(data []byte) (skip bool, err error) {
	if !events.HasData(data) {
		if !events.IsControl(data) {
			return false, fault.New(fault.Upstream, fault.Ran, "the endpoint resumed the stream with text that is no event")
		}
		return true, nil
	}
	if id, ok := events.ID(data); !ok || id != fw.lastEventID+1 {
		return false, fault.New(fault.Upstream, fault.Ran, "the endpoint resumed the stream at the wrong event")
	}
	return false, nil
}

// endStream finishes the response after the endpoint has ended the stream.
func (fw *forwarder) endStream(ex *conns.Exchange) (place.Outcome, error) {
	pr := fw.request
	if !fw.headerSent {
		fw.sendHeader(ex)
	}
	pr.gate.config.Quarantine.RecordAnswer(pr.traits, fw.endpoint)
	return place.Answered, nil
}

// sendHeader sends the status and the headers of the endpoint's response to the caller. They are sent once, also if the stream later
// resumes on another endpoint.
func (fw *forwarder) sendHeader(ex *conns.Exchange) {
	pr := fw.request
	copyHeader(pr.writer.Header(), pr.gate.config.Protocol.CallerHeaders(ex.Response.Header))
	pr.writer.Header().Del("Content-Length")
	pr.writer.WriteHeader(ex.Response.StatusCode)
	pr.entry.status = ex.Response.StatusCode
	pr.entry.firstEventAt = pr.now()
	fw.headerSent = true
}

// relayComment sends an event without data to the caller. It is neither billed nor does it show that the stream makes progress.
func (fw *forwarder) relayComment(ex *conns.Exchange, data []byte) error {
	fw.startResponse(ex)
	return fw.request.write(data, true)
}

// startResponse sends the header unless the caller has received it.
func (fw *forwarder) startResponse(ex *conns.Exchange) {
	if fw.headerSent {
		return
	}
	pr := fw.request
	fw.fixBuild()
	_ = http.NewResponseController(pr.writer).SetWriteDeadline(time.Now().Add(pr.timeLeft() + writeGrace))
	fw.sendHeader(ex)
}

// relayEvent sends one event to the caller; flush is false if a further event is already buffered.
func (fw *forwarder) relayEvent(ex *conns.Exchange, data []byte, flush bool) error {
	pr := fw.request
	fw.startResponse(ex)
	fw.eventCount++
	if fw.eventCount == maxCrashEvents+1 {
		pr.gate.config.Quarantine.RecordAnswer(pr.traits, fw.endpoint)
	}
	pr.updateCost(fw.eventCount)
	return pr.write(data, flush)
}
