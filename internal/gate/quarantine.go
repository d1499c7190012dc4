package gate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/pkg/blame"
	"github.com/clementineweir/clementineweir/pkg/fault"
)

// findTraits returns the properties that the request may share with others. The last part of the prompt belongs to the request alone and is
// left out.
func (pr *proxyRequest) findTraits() blame.Request {
	rq := blame.Request{Content: pr.hashContent()}
	for ix := 0; ix+1 < len(pr.info.Parts); ix++ {
		rq.Parts = append(rq.Parts, pr.info.Parts[ix].ID)
	}
	return rq
}

// hashContent returns the hash that identifies equal requests of one team: it covers the method, the target, the team key and the body.
func (pr *proxyRequest) hashContent() uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(pr.httpRequest.Method + " " + pr.httpRequest.RequestURI + "\x00" + pr.info.Key + "\x00")
	_, _ = di.Write(pr.body)
	return di.Sum64()
}

// checkQuarantine returns an error if the request is expected to crash endpoints.
func (pr *proxyRequest) checkQuarantine() error {
	left, blocked := pr.gate.config.Quarantine.Blocked(pr.traits)
	if !blocked {
		return nil
	}
	pr.entry.quarantined = true
	pr.gate.config.Metrics.Counter("weir_quarantined_requests_total").Inc()
	return fault.New(fault.Quarantined, fault.NotRun, "requests like this one have crashed several endpoints").WithRetryAfter(left)
}
