package engine

import (
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// unknownElapsed states that no bound is known.
const unknownElapsed = time.Duration(-1)

// closeRetryInterval is the time after which a close is written again that was not accepted.
const closeRetryInterval = 5 * time.Second

// closer closes the incarnations whose process is proved dead.
type closer struct {
	mu   sync.Mutex
	dead map[int64]deadProcess
}

// deadProcess is when the proof was read here and when a close was last written.
type deadProcess struct {
	seenAt   time.Duration
	closedAt time.Duration
}

func (cr *closer) add(number int64, now time.Duration) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.dead == nil {
		cr.dead = map[int64]deadProcess{}
	}
	if _, ok := cr.dead[number]; !ok {
		cr.dead[number] = deadProcess{seenAt: now, closedAt: -closeRetryInterval}
	}
}

// due returns the incarnations to close now.
func (cr *closer) due(now time.Duration) map[int64]time.Duration {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	list := map[int64]time.Duration{}
	for number, dp := range cr.dead {
		if now-dp.closedAt >= closeRetryInterval {
			list[number] = dp.seenAt
			cr.dead[number] = deadProcess{seenAt: dp.seenAt, closedAt: now}
		}
	}
	return list
}

func (cr *closer) remove(number int64) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	delete(cr.dead, number)
}

// appendCloses adds a close for each incarnation that is proved dead.
//
// The holder read its anchor after the anchor was appended, and it was dead when the proof was read here,
// so the time between this instance's latest append at or before the anchor and the proof bounds the holder's clock.
func (en *Engine) appendCloses(list []record.Record, now time.Duration) []record.Record {
	for number, at := range en.closer.due(now) {
		inc, ok := en.incarnation(number)
		if !ok || number == en.config.Incarnation {
			en.closer.remove(number)
			continue
		}
		elapsed := unknownElapsed
		if start, known := en.log.AppendStart(inc.Anchor); known {
			elapsed = at - start
		} else if en.othersCanBound(inc) {
			continue
		}
		list = append(list, record.Record{Close: &record.Close{Incarnation: number, Elapsed: elapsed}})
	}
	return list
}

// othersCanBound reports whether another instance was there before the anchor, so that it can bound the time.
func (en *Engine) othersCanBound(dead ledger.Incarnation) bool {
	known := false
	en.config.Replica.View(func(st *ledger.State) {
		for _, inc := range st.Incarnations() {
			if inc.Number <= dead.Anchor && inc.Number != dead.Number && inc.Proof == ledger.PossiblyAlive {
				known = true
			}
		}
	})
	return known
}

func (en *Engine) incarnation(number int64) (ledger.Incarnation, bool) {
	var (
		inc ledger.Incarnation
		ok  bool
	)
	en.config.Replica.View(func(st *ledger.State) { inc, ok = st.Incarnation(number) })
	return inc, ok
}
