package place

import (
	"math"
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// initialPrefillRate is the assumed prefill rate of the endpoints of a service in tokens a millisecond, before any was measured.
	initialPrefillRate = 60
	// minPrefillRate and maxPrefillRate bound the learned rate.
	minPrefillRate, maxPrefillRate = 5, 2000
	// minRateTokens is the minimum number of uncached tokens of a request from which the rate is learned; the time of shorter prompts is mostly overhead.
	minRateTokens = 2000
	// maxRateBacklog is the maximum prefill backlog of the endpoint for such a request, as a share of its own tokens.
	maxRateBacklog = 0.1
	// minOwnShare is the minimum share of the uncached tokens that no other request shares, so that they are certainly not cached.
	minOwnShare = 0.8
	// ratioWeight is the weight of the newest sample in state.prefillRatio.
	ratioWeight = 0.3
	// maxRatioStep bounds the logarithm of the ratio of a sample to state.prefillRatio.
	maxRatioStep = 1
	// rateInterval is the minimum time between two corrections of the learned rate.
	rateInterval = 100 * time.Millisecond
	// rateGain is the share of a deviation by which one correction changes the learned rate, if enough endpoints were measured.
	rateGain = 0.5

	// initialFirstEventBase is the assumed time to the first event of a request with an empty prompt at an idle endpoint, before any was measured.
	initialFirstEventBase = 8 * time.Millisecond
	// minFirstEventBase and maxFirstEventBase bound the learned time.
	minFirstEventBase, maxFirstEventBase = 2 * time.Millisecond, 500 * time.Millisecond
	// maxBaseTokens is the maximum number of uncached tokens of a request from which the base is learned; they take a few milliseconds.
	maxBaseTokens = 500
	// baseStepUp and baseStepDown are the shares by which one measured time raises or lowers the learned base. Their ratio makes it the lower quartile of the
	// measured times: an endpoint that is disturbed for a moment, or busier than it said, takes longer.
	baseStepUp, baseStepDown = 0.02, 0.06
)

// prefillTime returns the time to prefill a number of tokens at an endpoint of the usual speed.
func (es *estimate) prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / es.rate * float64(time.Millisecond))
}

// attentionTime returns the quadratic part of the prefill time.
func attentionTime(uncached, prompt int64) time.Duration {
	return time.Duration(float64(uncached) * float64(prompt) / 1e6 * float64(quadraticTime))
}

// recordRate records the ratio of the measured to the usual time to the first event of a request that measures the prefill rate.
func (ba *Balancer) recordRate(now time.Duration, st *state, ratio float64) {
	sample := math.Log(min(max(1.0/maxSlowness, ratio), maxSlowness))
	if !st.rateMeasured {
		// The slowness before says nothing of the endpoint, or was measured with prompts that say little of it.
		st.rateMeasured, st.prefillRatio, st.slowness = true, sample, max(minSlowness, math.Exp(sample))
	}
	st.prefillRatio += ratioWeight * min(max(-maxRatioStep, sample-st.prefillRatio), maxRatioStep)
	if now-st.service.correctedAt >= rateInterval {
		st.service.correctedAt = now
		ba.correctRate(st.service)
	}
}

// correctRate moves the learned rate of a service to that of the median endpoint. Faster endpoints get more requests, so the mean of all requests would be too
// high. The slowness of the endpoints is relative to the rate and changes with it.
func (ba *Balancer) correctRate(es *estimate) {
	es.ratios = es.ratios[:0]
	for _, st := range ba.states {
		if st.service == es && st.rateMeasured {
			es.ratios = append(es.ratios, st.prefillRatio)
		}
	}
	slices.Sort(es.ratios)
	count := len(es.ratios)
	median := (es.ratios[(count-1)/2] + es.ratios[count/2]) / 2
	rate := es.rate * math.Exp(-median*min(rateGain, float64(count)/float64(count+2)))
	rate = min(max(minPrefillRate, rate), maxPrefillRate)
	factor := rate / es.rate
	es.rate = rate
	for _, st := range ba.states {
		if st.service == es && st.rateMeasured {
			st.prefillRatio += math.Log(factor)
			st.slowness = min(max(minSlowness, st.slowness*factor), maxSlowness)
		}
	}
}

// measuresRate reports whether the time to the first event of a request that is sent now measures the prefill rate: it has many uncached tokens, certainly
// not cached, and the endpoint does little else before it.
func (st *state) measuresRate(now time.Duration, se *plan.Service, rq Request, de Decision) bool {
	own := rq.Prompt
	if len(rq.Parts) > 0 {
		own = rq.Parts[len(rq.Parts)-1].Tokens
	}
	return de.UncachedTokens >= minRateTokens && de.CopyTokens == 0 && float64(own) >= minOwnShare*float64(de.UncachedTokens) &&
		float64(st.backlog(now)) <= maxRateBacklog*float64(de.UncachedTokens) && st.inFlight(now) < slotsOf(st, se)
}

// measuresBase reports whether the time to the first event of a request that is sent now measures the base: it has few uncached tokens, and the endpoint has
// many free slots and no prompt to prefill before it.
func (st *state) measuresBase(now time.Duration, se *plan.Service, rq Request, de Decision) bool {
	return rq.Prompt > 0 && de.UncachedTokens <= maxBaseTokens && de.CopyTokens == 0 && st.backlog(now) == 0 && 2*st.inFlight(now) < slotsOf(st, se)
}

// recordBase moves the learned base by a measured time to the first event, of which rest is what the prompt and the other requests usually take.
func (es *estimate) recordBase(measured, rest time.Duration) {
	share := baseStepUp
	if measured-rest < es.base {
		share = -baseStepDown
	}
	es.base = min(max(minFirstEventBase, es.base+time.Duration(share*float64(es.base))), maxFirstEventBase)
}
