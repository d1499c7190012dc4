package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	// suspectReadBackTimeout is the maximum time for which a request waits until its suspect record is read back from the log.
	suspectReadBackTimeout = time.Second
	suspectPollInterval    = 10 * time.Millisecond
	maxLocalSuspects       = 1000
)

// localSuspects holds, by content hash, the endpoints whose crash this instance observed; the log may not contain them yet.
type localSuspects struct {
	mu        sync.Mutex
	endpoints map[string][]string
	// order lists the hashes, oldest first.
	order []string
}

func newLocalSuspects() localSuspects {
	return localSuspects{endpoints: map[string][]string{}}
}

func (ls *localSuspects) add(hash, endpoint string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	crashed, ok := ls.endpoints[hash]
	if slices.Contains(crashed, endpoint) {
		return
	}
	ls.endpoints[hash] = append(crashed, endpoint)
	if !ok {
		ls.order = append(ls.order, hash)
	}
	if len(ls.order) > maxLocalSuspects {
		delete(ls.endpoints, ls.order[0])
		ls.order = ls.order[1:]
	}
}

func (ls *localSuspects) endpointsOf(hash string) []string {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return slices.Clone(ls.endpoints[hash])
}

func (ls *localSuspects) remove(hash string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.endpoints, hash)
	ls.order = slices.DeleteFunc(ls.order, func(other string) bool { return other == hash })
}

// crashedEndpoints returns the endpoints that crashed while running requests with this content hash, according to the log or to
// localSuspects.
func (en *Engine) crashedEndpoints(hash string) []string {
	list := en.suspects.endpointsOf(hash)
	en.config.Replica.View(func(st *ledger.State) {
		for _, name := range st.CrashedEndpoints(hash) {
			if !slices.Contains(list, name) {
				list = append(list, name)
			}
		}
	})
	return list
}

func (en *Engine) suspected(hash string) bool { return len(en.crashedEndpoints(hash)) > 0 }

func (en *Engine) quarantined(hash string) bool {
	return len(en.crashedEndpoints(hash)) >= ledger.CrashesToQuarantine
}

// updateSuspicion is called after each attempt. If the endpoint crashed, the content of the request is recorded as suspect in
// the log. If a request with suspect content got a complete response, the suspicion is cleared.
func (en *Engine) updateSuspicion(ctx context.Context, ru *run, ep ticket.Endpoint, err error) {
	hash := ru.request.ContentHash
	var fa *fault.Error
	switch {
	case err == nil:
		en.recordPartAnswer(ru.request)
		if en.suspected(hash) {
			en.suspects.remove(hash)
			en.outbox.put(record.Record{ClearSuspect: &record.ClearSuspect{ContentHash: hash}})
		}
	case errors.As(err, &fa) && fa.Kind() == fault.Crashed:
		en.config.Table.RecordCrash(en.config.Clock(), ep.Name)
		en.suspects.add(hash, ep.Name)
		en.outbox.put(record.Record{Suspect: &record.Suspect{ContentHash: hash, Endpoint: ep.Name}})
		en.recordPartCrash(ru, ep.Name)
		en.log.Wake()
		en.awaitSuspect(ctx, hash, ep.Name)
		en.config.Logger.Info("endpoint crashed", "event", "endpointCrashed",
			"endpoint", ep.Name, "request", ru.request.ID, "team", ru.request.Team)
	default:
	}
}

// awaitSuspect waits until the suspect record is read back, at most suspectReadBackTimeout, so that a retry on any instance finds
// the content suspect.
func (en *Engine) awaitSuspect(ctx context.Context, hash, endpoint string) {
	end := en.config.Clock() + suspectReadBackTimeout
	for en.config.Clock() < end && ctx.Err() == nil {
		known := false
		en.config.Replica.View(func(st *ledger.State) {
			known = slices.Contains(st.CrashedEndpoints(hash), endpoint)
		})
		if known {
			return
		}
		time.Sleep(suspectPollInterval)
	}
}
