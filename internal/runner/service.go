package runner

import (
	"context"
	"net/http"

	"github.com/clementineweir/clementineweir/pkg/engine"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

// runService sends a call to a plain service and relays its complete response to the caller.
func (cl *Client) runService(ctx context.Context, ca engine.Call, si engine.Sink) error {
	if ca.Idempotent {
		short, cancel := context.WithTimeout(ctx, cl.config.ServiceTimeout)
		defer cancel()
		ctx = short
	}
	rs, err := cl.send(ctx, cl.clientFor(ca), ca, ca.Body)
	if err != nil {
		cl.pooled.CloseIdleConnections()
		return cl.classifyCrash(ctx, ca, err)
	}
	defer closeBody(rs)
	if rs.StatusCode == statusTooManyRequests {
		return refusal(rs)
	}
	ac := cl.config.Space.Open()
	defer ac.Close()
	data, err := readComplete(rs, rs.Body, ac)
	if err != nil {
		return cl.classifyCrash(ctx, ca, fault.Wrap(err, fault.Upstream, fault.MayHaveRun, "the response of the service was cut off"))
	}
	if rs.StatusCode >= http.StatusInternalServerError {
		return fault.New(fault.Upstream, fault.MayHaveRun, "the service failed with "+rs.Status)
	}
	if err := si.Head(rs.StatusCode, rs.Header.Get("Content-Type")); err != nil {
		return fault.Wrap(err, fault.Upstream, fault.Ran, "the caller left")
	}
	if err := si.Chunk(data); err != nil {
		return fault.Wrap(err, fault.Upstream, fault.Ran, "the caller left")
	}
	return nil
}

// classifyCrash probes the endpoint after an error of a call that may have run. It returns a crash error if the endpoint's process has ended,
// and otherwise err.
func (cl *Client) classifyCrash(ctx context.Context, ca engine.Call, err error) error {
	fa := fault.From(err, fault.MayHaveRun)
	if fa.Verdict() == fault.NotRun || ctx.Err() != nil {
		return err
	}
	if !cl.crashed(ctx, ca.Endpoint) {
		return err
	}
	return fault.Wrap(err, fault.Crashed, fa.Verdict(), "the endpoint crashed")
}
