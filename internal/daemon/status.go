package daemon

import (
	"fmt"
	"io"

	"github.com/clementineweir/clementineweir/internal/admin"
	"github.com/clementineweir/clementineweir/internal/peer"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/oplog"
)

// maxBudgetGauges limits how many budgets are exported as metrics.
const maxBudgetGauges = 200

// Ready reports whether the instance has joined and is not draining, so that the load balancer may send it requests.
func (da *Daemon) Ready() bool { return da.ready.Load() }

// Status returns the status page for operators.
func (da *Daemon) Status() admin.Status {
	in := da.config.Settings.Instance
	st := admin.Status{
		Instance: in.Name, Domain: in.Domain, Incarnation: da.number.Load(), Ready: da.Ready(),
		Contact: da.reader.Connectivity().String(), LagEntries: da.lag(), Links: da.links.Statuses(), Endpoints: da.endpoints(),
	}
	if inc := da.incarnation.Load(); inc != nil {
		st.Draining = inc.engine.Draining()
	}
	da.replica.View(func(ls *ledger.State) { da.fillStatus(&st, ls) })
	return st
}

func (da *Daemon) fillStatus(st *admin.Status, ls *ledger.State) {
	st.Offset = ls.Offset()
	st.Checkpoint = ls.CheckpointOffset()
	st.Rejected = ls.Rejected()
	st.Quarantine = ls.QuarantinedHashes()
	for _, inc := range ls.Incarnations() {
		st.Members = append(st.Members, admin.Member{
			Incarnation: inc.Number, Instance: inc.Instance, Domain: inc.Domain, Address: inc.Address,
			ProvedDead: inc.Proof != ledger.PossiblyAlive,
		})
	}
	for _, name := range ls.BudgetNames() {
		st.Budgets = append(st.Budgets, da.budget(ls, name))
	}
}

// budget returns the state of a budget; the amounts with Here are those of this incarnation.
func (da *Daemon) budget(ls *ledger.State, name string) admin.Budget {
	bu, _ := ls.Budget(name)
	here := ls.HolderBalance(name, da.number.Load()).Granted
	view := admin.Budget{
		Name: name, Team: bu.Team, Prepaid: bu.Prepaid, Billed: bu.Billed, WrittenOff: bu.WrittenOff, Free: bu.Free,
		GrantedHere: here, GrantedElsewhere: bu.Granted - here, Overspent: bu.Overspent,
	}
	if inc := da.incarnation.Load(); inc != nil {
		ba := inc.book.Balance(da.config.Clock(), name)
		view.SpentHere, view.ReservedHere, view.LimitHere = ba.Spent, ba.Reserved, ba.Limit
	}
	return view
}

func (da *Daemon) endpoints() []admin.Endpoint {
	var list []admin.Endpoint
	for _, lo := range da.table.Loads(da.config.Clock()) {
		list = append(list, admin.Endpoint{
			Name: lo.Endpoint, Domain: lo.Domain, Slots: lo.Slots, OwnRequests: lo.OwnRequests, EstimatedRequests: lo.Load, Leaving: lo.Leaving,
			CircuitOpen: lo.CircuitOpen, ReportedRequests: lo.Report.Running + lo.Report.Queued,
		})
	}
	return list
}

// Objects returns the configured objects in force, as set by change tickets.
func (da *Daemon) Objects() admin.Objects {
	var ob admin.Objects
	da.replica.View(func(ls *ledger.State) {
		ob = admin.Objects{
			Offset: ls.Offset(), Teams: ls.Teams(), Classes: ls.Classes(), Services: ls.Services(), Endpoints: ls.Endpoints(),
		}
		for _, name := range ls.BudgetNames() {
			bu, _ := ls.Budget(name)
			ob.Budgets = append(ob.Budgets, bu)
		}
	})
	return ob
}

// Audit returns the audit trail of the change tickets.
func (da *Daemon) Audit() []ledger.AuditEntry {
	var list []ledger.AuditEntry
	da.replica.View(func(ls *ledger.State) { list = ls.AuditTrail() })
	return list
}

// lag returns the number of log entries that exist, as far as this instance knows, but are not applied yet.
func (da *Daemon) lag() int64 { return max(0, da.reader.LogEnd()-1-da.replica.Offset()) }

// LocalHeartbeat returns the heartbeat that this instance sends to its peers.
func (da *Daemon) LocalHeartbeat() peer.Heartbeat {
	hb := peer.Heartbeat{
		Incarnation: da.number.Load(), FoldedOffset: da.replica.Offset(), Draining: !da.Ready(),
		ReachesLog: da.reader.Connectivity() == oplog.Direct, Outstanding: map[string]int{},
		Address: da.config.Settings.Instance.PeerAddress,
	}
	for _, lo := range da.table.Loads(da.config.Clock()) {
		if lo.OwnRequests > 0 {
			hb.Outstanding[lo.Endpoint] = lo.OwnRequests
		}
	}
	return hb
}

// HeartbeatReceived records the heartbeat of a peer in its link and its outstanding requests in the routing table.
func (da *Daemon) HeartbeatReceived(hb peer.Heartbeat) {
	da.links.RecordHeartbeat(hb)
	da.table.ObservePeer(hb.Incarnation, hb.Outstanding)
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (da *Daemon) WriteMetrics(wr io.Writer) {
	da.recorder.Write(wr)
	da.replica.View(func(ls *ledger.State) {
		names := ls.BudgetNames()
		for _, name := range names[:min(len(names), maxBudgetGauges)] {
			da.writeBudget(wr, ls, name)
		}
	})
}

func (da *Daemon) writeBudget(wr io.Writer, ls *ledger.State, name string) {
	vi := da.budget(ls, name)
	for _, gauge := range []struct {
		name  string
		value int64
	}{
		{"weir_budget_prepaid_tokens", vi.Prepaid},
		{"weir_budget_billed_tokens", vi.Billed},
		{"weir_budget_written_off_tokens", vi.WrittenOff},
		{"weir_budget_free_tokens", vi.Free},
		{"weir_budget_granted_here_tokens", vi.GrantedHere},
		{"weir_budget_limit_here_tokens", vi.LimitHere},
		{"weir_budget_overspent_tokens", vi.Overspent},
	} {
		_, _ = fmt.Fprintf(wr, "%s{budget=%q} %d\n", gauge.name, name, gauge.value)
	}
}

func (da *Daemon) registerGauges() {
	re := da.recorder
	re.Gauge("weir_log_lag_entries", func() float64 { return float64(da.lag()) })
	re.Gauge("weir_log_offset", func() float64 { return float64(da.replica.Offset()) })
	re.Gauge("weir_log_contact", func() float64 { return float64(da.reader.Connectivity()) })
	re.Gauge("weir_overspend_tokens", func() float64 {
		sum := int64(0)
		da.replica.View(func(ls *ledger.State) { sum = ls.Overspent() })
		return float64(sum)
	})
	re.Gauge("weir_log_appends", func() float64 {
		inc := da.incarnation.Load()
		if inc == nil {
			return 0
		}
		return float64(inc.writer.Appends())
	})
}
