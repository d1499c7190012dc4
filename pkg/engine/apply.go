package engine

import (
	"github.com/clementineweir/clementineweir/pkg/escrow"
	"github.com/clementineweir/clementineweir/pkg/ledger"
)

// EntryApplied is called after each applied log entry. It copies new grants to the accounts, tells waiting requests whether
// their intent was accepted, reloads the configuration and registers dead incarnations to be closed.
func (en *Engine) EntryApplied(st *ledger.State, events []ledger.Event) {
	for _, ev := range events {
		en.applyEvent(st, ev)
	}
}

// StateReplaced is called when the whole state was replaced, as by a checkpoint; it rebuilds everything derived from the state.
func (en *Engine) StateReplaced(st *ledger.State) {
	inc, ok := st.Incarnation(en.config.Incarnation)
	if !ok {
		en.endIncarnation()
		return
	}
	en.reloadConfig(st)
	en.loadPartSuspects(st)
	for _, name := range st.BudgetNames() {
		en.config.Book.Sync(en.accountUpdate(st, name))
		en.prefetch(st, name)
	}
	for _, other := range st.Incarnations() {
		if other.Proof != ledger.PossiblyAlive {
			en.closer.add(other.Number, en.config.Clock())
		}
	}
	en.accept(st, inc.Sequence)
	en.intents.notifyResolved()
}

func (en *Engine) applyEvent(st *ledger.State, ev ledger.Event) {
	own := ev.Incarnation == en.config.Incarnation
	switch ev.Kind {
	case ledger.BatchAccepted:
		if own {
			en.accept(st, ev.Sequence)
		}
	case ledger.Granted, ledger.ClaimQueued, ledger.BudgetChanged:
		en.config.Book.Sync(en.accountUpdate(st, ev.Budget))
		en.prefetch(st, ev.Budget)
		en.log.Wake()
	case ledger.TicketApplied:
		en.reloadConfig(st)
	case ledger.IntentAccepted, ledger.IntentRejected:
		if own {
			en.notifyIntent(ev)
		}
	case ledger.Resolved:
		en.intents.notifyResolved()
	case ledger.ProvedDead:
		en.closer.add(ev.Incarnation, en.config.Clock())
	case ledger.Closed:
		if own {
			en.endIncarnation()
		}
		en.intents.notifyResolved()
	case ledger.SuspicionChanged:
		en.parts.apply(en.config.Clock(), ev.Key, len(st.CrashedEndpoints(ev.Key)) == 0)
	case ledger.QuarantineChanged:
		if !st.Quarantined(ev.Key) {
			en.suspects.remove(ev.Key)
		}
	default:
	}
}

// accept is called when the batches of this incarnation up to a sequence number were read back from the log.
func (en *Engine) accept(st *ledger.State, sequence int64) {
	en.log.Accepted(sequence)
	en.config.Book.Accept(sequence, func(name string) escrow.AccountUpdate { return en.accountUpdate(st, name) })
}

// accountUpdate returns what the log's state says about this incarnation's account of a budget.
func (en *Engine) accountUpdate(st *ledger.State, name string) escrow.AccountUpdate {
	bu, ok := st.Budget(name)
	return escrow.AccountUpdate{
		Budget:           name,
		Granted:          st.HolderBalance(name, en.config.Incarnation).Granted,
		Waiting:          st.Waiting(name, en.config.Incarnation),
		WaitingElsewhere: st.WaitingElsewhere(name, en.config.Incarnation),
		Remaining:        max(0, bu.Prepaid-bu.Billed-bu.WrittenOff),
		Removed:          !ok || bu.Removed,
	}
}

// prefetch sets the minimum grant of a budget to PrefetchTokens, unless there are more than MaxPrefetchBudgets budgets.
func (en *Engine) prefetch(st *ledger.State, name string) {
	if en.config.PrefetchTokens > 0 && st.BudgetCount() <= en.config.MaxPrefetchBudgets {
		en.config.Book.Prefetch(name, en.config.PrefetchTokens)
	}
}

// reloadConfig loads teams, classes, services and endpoints, which are set by tickets.
func (en *Engine) reloadConfig(st *ledger.State) {
	en.directory.Store(NewDirectory(st))
	en.config.Table.SetEndpoints(en.config.Clock(), st.Endpoints())
}

// notifyIntent tells the waiting request whether its intent was accepted, that is, was the first for its key. If the intent was
// accepted but the request no longer waits, the request will not run; notifyIntent then frees the key for later requests.
func (en *Engine) notifyIntent(ev ledger.Event) {
	first := ev.Kind == ledger.IntentAccepted
	if en.intents.notify(ev.Key, first) || !first {
		return
	}
	en.releaseKey(ev.Key)
}

// endIncarnation signals that the log shows this incarnation as closed.
func (en *Engine) endIncarnation() {
	en.closeOnce.Do(func() { close(en.closed) })
}
