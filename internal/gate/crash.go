package gate

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/clementineweir/clementineweir/internal/conns"
	"github.com/clementineweir/clementineweir/pkg/place"
)

// recordCrash is called when the endpoint broke the connection although this instance did not cancel the attempt. Unless the stream had
// begun, the endpoint may have crashed because of the request. It has not if it answers on a new connection: a restart takes seconds.
func (fw *forwarder) recordCrash(de place.Decision, err error) {
	pr := fw.request
	if fw.eventCount > maxCrashEvents {
		return
	}
	if pr.gate.config.Board.FellOver(pr.now(), de.Endpoint.Process()) {
		pr.gate.config.Metrics.Counter("weir_endpoint_falls_total").Inc()
		pr.gate.config.Logger.Info("endpoint fell over", "request", pr.info.ID, "endpoint", de.Endpoint.ID, "reason", err.Error())
		return
	}
	relayLost := errors.Is(err, conns.ErrRelayLost)
	direct := pr.entry.relayPeer == ""
	silent := direct && pr.gate.config.Link.Silent()
	if !relayLost && !silent && pr.gate.config.Link.Answers(de.Endpoint, !direct) {
		pr.gate.config.Metrics.Counter("weir_endpoint_resets_total").Inc()
		pr.gate.config.Logger.Info("connection broken", "request", pr.info.ID, "endpoint", de.Endpoint.ID, "relayedBy", pr.entry.relayPeer, "reason", err.Error())
		return
	}
	if relayLost || silent || (direct && pr.gate.config.Pool.BrokenTogether(de.Endpoint.Address)) || !pr.gate.config.Link.Works(de.Endpoint.ID, !direct) {
		pr.gate.config.Metrics.Counter("weir_links_broken_total").Inc()
		pr.gate.config.Logger.Info("link broken", "request", pr.info.ID, "endpoint", de.Endpoint.ID, "relayedBy", pr.entry.relayPeer,
			"relayLost", relayLost, "reason", err.Error())
		return
	}
	pr.gate.config.Metrics.Counter("weir_endpoint_crashes_total").Inc()
	pr.gate.config.Logger.Info("endpoint crashed", "request", pr.info.ID, "team", pr.team, "endpoint", de.Endpoint.ID,
		"content", fmt.Sprintf("%016x", pr.traits.Content), "parts", partNames(pr.info.Parts), "events", fw.eventCount, "reason", err.Error())
	pr.gate.config.Quarantine.RecordCrash(pr.traits, fw.sentAt, de.Endpoint)
}

// partNames returns the IDs of the prompt parts for the log.
func partNames(list []place.Part) string {
	names := make([]string, 0, len(list))
	for _, pa := range list {
		names = append(names, strconv.FormatUint(pa.ID, 16))
	}
	return strings.Join(names, ",")
}
