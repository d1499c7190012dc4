package edge

import (
	"context"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// planWait is how long one read waits for a new configuration; a connection that went silent is noticed after it.
	planWait = 2 * time.Second
	// retryPause is the pause after a failed call to the store.
	retryPause = 350 * time.Millisecond
)

// planner follows the configuration.
type planner struct {
	edge    *Edge
	view    *keyed.View
	contact contact
}

func newPlanner(ed *Edge) *planner {
	pl := &planner{edge: ed, contact: contact{name: "configuration", logger: ed.config.Logger}}
	pl.view = keyed.NewView(ed.topics[ed.config.Platform.Configuration], pl)
	return pl
}

func (pl *planner) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := pl.view.Poll(ctx, planWait)
		if ctx.Err() != nil {
			return nil
		}
		now := pl.edge.config.Clock()
		if err != nil {
			pl.contact.failed(now, err)
			pause(ctx, retryPause)
			continue
		}
		pl.contact.reached(now)
	}
	return nil
}

// Reset takes the newest records of the topic.
func (pl *planner) Reset(list []keyed.Record) { pl.Apply(list) }

// Apply takes new records of the topic.
func (pl *planner) Apply(list []keyed.Record) {
	for _, re := range list {
		if re.Key == pl.edge.config.Platform.ConfigurationKey && len(re.Value) > 0 {
			pl.take(re.Value)
		}
	}
}

// take puts a configuration in force unless a newer one is; it never goes back.
func (pl *planner) take(data []byte) {
	lo := pl.edge.config.Logger
	next, left, err := pl.edge.config.Platform.DecodePlan(data)
	if err != nil {
		lo.Info("configuration rejected", "reason", err.Error(), "bytes", len(data))
		return
	}
	current := pl.edge.Plan()
	if current != nil && next.Version() <= current.Version() {
		return
	}
	pl.edge.plan.Store(next)
	pl.edge.purses.SetTotals(totalsOf(next))
	lo.Info("configuration in force", "plan", next.Version(), "routes", next.RouteCount(), "unusableRoutes", left)
}

func totalsOf(pl *plan.Plan) map[string]int64 {
	totals := map[string]int64{}
	for _, te := range pl.Teams() {
		if te.Limited {
			totals[te.Name] = te.Prepaid
		}
	}
	return totals
}

// pause waits for a delay or the end of the context.
func pause(ctx context.Context, delay time.Duration) {
	ti := time.NewTimer(delay)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
}
