package engine

import (
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
)

// unknownElapsed is the value of record.Close.Elapsed if no bound is known.
const unknownElapsed = time.Duration(-1)

// closeRetryInterval is the time after which a close record is written again if the incarnation is still open.
const closeRetryInterval = 5 * time.Second

// closer tracks the incarnations whose process is proven dead and that must be closed.
type closer struct {
	mu   sync.Mutex
	dead map[int64]deadProcess
}

type deadProcess struct {
	// seenAt is the time at which this instance read the proof of death.
	seenAt time.Duration
	// closeWrittenAt is the time at which this instance last wrote a close record for the incarnation.
	closeWrittenAt time.Duration
}

func (cr *closer) add(number int64, now time.Duration) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.dead == nil {
		cr.dead = map[int64]deadProcess{}
	}
	if _, ok := cr.dead[number]; !ok {
		cr.dead[number] = deadProcess{seenAt: now, closeWrittenAt: -closeRetryInterval}
	}
}

// due returns the incarnations to close now, each with the time at which its proof of death was read.
func (cr *closer) due(now time.Duration) map[int64]time.Duration {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	list := map[int64]time.Duration{}
	for number, dp := range cr.dead {
		if now-dp.closeWrittenAt >= closeRetryInterval {
			list[number] = dp.seenAt
			cr.dead[number] = deadProcess{seenAt: dp.seenAt, closeWrittenAt: now}
		}
	}
	return list
}

func (cr *closer) remove(number int64) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	delete(cr.dead, number)
}

// appendCloses adds a close record for each incarnation that is due.
//
// record.Close.Elapsed is an upper bound on the time that the dead process ran after it had read the entry at its anchor.
// It read this entry after the entry was appended, and it was dead before this instance read the proof of death. Elapsed is
// therefore the time from this instance's latest append at or before the anchor until this instance read the proof.
//
// If this instance has no such append but another one may have, the other one closes the dead incarnation.
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
		} else if en.othersKnowElapsed(inc) {
			continue
		}
		list = append(list, record.Record{Close: &record.Close{Incarnation: number, Elapsed: elapsed}})
	}
	return list
}

// othersKnowElapsed reports whether another incarnation, which may be alive, joined at or before the anchor of the dead
// incarnation. The other one can compute record.Close.Elapsed, because it knows when it appended its own join.
func (en *Engine) othersKnowElapsed(dead ledger.Incarnation) bool {
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
