package limit

import "time"

// askBatch is the time for which one ask requests permits.
const askBatch = 50 * time.Millisecond

// Permits holds the permits of this instance for one process of an endpoint; the zero value holds none.
type Permits struct {
	count int
	// from and until bound the time in which the permits are valid.
	from  time.Duration
	until time.Duration
	// issuer is the instance that issued the last permits, at issuedAt.
	issuer   string
	issuedAt time.Duration
	// asking reports whether an ask is under way, and askAt is the earliest time of the next one.
	asking bool
	askAt  time.Duration
}

// Usable reports whether a request may be sent now.
func (pe *Permits) Usable(now time.Duration) bool {
	return pe.count > 0 && now >= pe.from && now < pe.until
}

// ChangeLimit is called after a change of the limit. It allows to ask at once, and drops permits that were spaced by a much higher limit.
func (pe *Permits) ChangeLimit(now time.Duration, before, after Statement) {
	pe.askAt = now
	if before.Limited && UsableRate(after.PerSecond) < UsableRate(before.PerSecond)/2 {
		pe.count = 0
	}
}

// Take uses one permit, which must be usable, and returns the instance that issued it.
func (pe *Permits) Take() string {
	pe.count--
	return pe.issuer
}

// PutBack returns a permit that was taken for a request that was not sent.
func (pe *Permits) PutBack() { pe.count++ }

// Due reports whether a request without a permit should make this instance ask for some.
func (pe *Permits) Due(now time.Duration) bool {
	return !pe.asking && now >= pe.askAt && (pe.count == 0 || now >= pe.until)
}

// BeginAsk returns the ask for permits. EndAsk must follow.
func (pe *Permits) BeginAsk(now time.Duration, process string, perSecond float64) Ask {
	pe.asking = true
	ask := Ask{Process: process, PerSecond: perSecond, Permits: 1 + int(UsableRate(perSecond)*askBatch.Seconds()), LastIssuer: pe.issuer}
	if pe.issuer != "" {
		ask.Handover = max(0, pe.issuedAt+handoverTime-now)
	}
	return ask
}

// EndAsk records the answer to the ask that began at askedAt.
func (pe *Permits) EndAsk(now, askedAt time.Duration, issuer string, gr Grant) {
	pe.asking = false
	if gr.Permits == 0 {
		pe.askAt = now + max(gr.Retry, batchTime)
		return
	}
	pe.count, pe.issuer, pe.issuedAt = gr.Permits, issuer, now
	// The wait counts from the arrival here, the lifetime from the ask, so that the permits are valid neither early nor late.
	pe.from, pe.until = now+gr.Wait, askedAt+gr.Wait+PermitLifetime
}
