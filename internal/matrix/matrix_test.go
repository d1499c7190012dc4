package matrix

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/internal/admin"
	"github.com/clementineweir/clementineweir/internal/cmds"
	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

var (
	faultsPath = flag.String("faults", "", "file to write the fault matrix to, as Markdown")
	onlyCell   = flag.String("cell", "", "run only the cells whose name contains this text")
)

const (
	// scarceBudget is the budget whose prepaid tokens run out during the workload.
	scarceBudget = "team-4"
	// scarcePrepaid is the number of prepaid tokens of scarceBudget.
	scarcePrepaid = 12_000
	// plainCalls is the number of model requests that have no idempotency key and whose budget does not run out.
	plainCalls = 12
	// keyedCalls is the number of service calls with an idempotency key; as many model requests have one.
	keyedCalls = 6
	// scarceCalls is the number of requests that scarceBudget pays for.
	scarceCalls = 16
	// maxAttempts is the maximum number of times that a caller sends one request.
	maxAttempts = 8
	// callTimeout is the caller's timeout for each attempt.
	callTimeout = 45 * time.Second
	// retryPause is the pause before the first retry; it doubles with each of the next four.
	retryPause = 500 * time.Millisecond
	// checkpointWait is the time to wait for a checkpoint if none was written during the workload.
	checkpointWait = 90 * time.Second
	// agreementWait is the maximum time until all instances have read the newest log entries. It is longer than a log read can wait on a
	// blackholed connection.
	agreementWait = 5 * time.Second
	// shortStride selects the cells of a run with -short, for example under the race detector: it runs one cell in shortStride.
	shortStride = 16
)

// cell is one entry of the matrix: a fault that is injected at a step.
type cell struct {
	step  step
	fault fault
}

func (ce cell) name() string { return ce.step.name + " / " + ce.fault.name }

// TestFaultMatrix runs the workload once for each cell, and writes the result table if the flag faults is set.
func TestFaultMatrix(t *testing.T) {
	table := newResultTable()
	t.Run("cells", func(t *testing.T) {
		for sx, st := range steps {
			for fx, fa := range faults {
				ce := cell{step: st, fault: fa}
				if testing.Short() && (sx+fx)%shortStride != 0 {
					continue
				}
				if !strings.Contains(ce.name(), *onlyCell) {
					continue
				}
				t.Run(ce.name(), func(t *testing.T) {
					t.Parallel()
					table.put(ce, runCell(t, ce))
				})
			}
		}
	})
	if *faultsPath != "" {
		if err := os.WriteFile(*faultsPath, []byte(table.markdown()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// runCell runs the workload in a new cluster, injects the cell's fault at its step, and returns the cell's entry in the result table.
func runCell(t *testing.T, ce cell) string {
	cellResult := "not reached"
	runWorld(t, "birligi", eagerSettings, func(wo *world) {
		wl := newWorkload(wo)
		tr := &trigger{step: ce.step}
		var pending sync.WaitGroup
		tr.fire = func(ob observation) {
			victim := wo.indexOf(ob.incarnation)
			pending.Go(func() { ce.fault.inject(wo, victim, ob) })
		}
		wo.setProbes(tr)
		wo.publish(topUp(topUpNumber-1, scarcePrepaid))
		time.Sleep(time.Second)
		tr.arm()
		wl.run(ce.step.name, tr)
		tr.disarm()
		pending.Wait()
		wl.verify()
		cellResult = wl.summary(tr)
	})
	if t.Failed() {
		return "FAILED"
	}
	return cellResult
}

// eagerSettings lowers thresholds, so that claims, returns and checkpoints occur even in a short workload.
func eagerSettings(se *config.Settings) {
	se.Budgets.PrefetchTokens = 0
	se.Log.CheckpointEntries = 100
	se.Instance.DrainGrace = time.Second
}

// setProbes lets the trigger observe all appends to the log and all runs at the endpoints.
func (wo *world) setProbes(tr *trigger) {
	wo.emulator.Log.SetProbe(tr)
	for _, ru := range wo.emulator.Runners {
		ru.SetProbe(tr)
	}
	for _, se := range wo.emulator.Services {
		se.SetProbe(tr)
	}
}

// indexOf returns the index of the instance with the given incarnation, or 0 if there is none.
func (wo *world) indexOf(incarnation int64) int {
	for _, no := range wo.nodes {
		if no.daemon.Status().Incarnation == incarnation {
			return no.index
		}
	}
	return 0
}

// tryPublish publishes a ticket; errors are ignored, because the injected fault may make the publication fail.
func (wo *world) tryPublish(ti ticket.Ticket) {
	_, _ = cmds.PublishTicket(context.Background(), wo.emulator.Log, ti)
}

// workload is a mix of requests; callers retry requests that fail.
type workload struct {
	world   *world
	mu      sync.Mutex
	results []result
	// cancels holds the cancel functions of all attempts since the last cancelAll.
	cancels []context.CancelFunc
}

// result holds one request and the response to each of its attempts.
type result struct {
	call     call
	attempts []response
}

func (re result) last() response { return re.attempts[len(re.attempts)-1] }

func newWorkload(wo *world) *workload {
	wl := &workload{world: wo}
	wo.cancelCallers = wl.cancelAll
	return wl
}

// run sends the requests concurrently to all instances in turn, and waits for them. It also brings about the step of the given name if the
// requests alone don't: it publishes a ticket, drains an instance or waits for a checkpoint.
func (wl *workload) run(stepName string, tr *trigger) {
	var wg sync.WaitGroup
	start := func(ix int, ca call) {
		wg.Go(func() { wl.sendWithRetries(ix%instances, ca) })
	}
	for ix := range plainCalls {
		start(ix, call{team: 1, class: "question", stream: ix%3 != 0, prompt: fmt.Sprintf("plain %d answer=24", ix)})
	}
	for ix := range keyedCalls {
		start(ix, call{team: 2, class: "disbursement", service: true, key: fmt.Sprintf("pay-%d", ix), prompt: fmt.Sprintf(`{"pay":%d}`, ix)})
		start(ix+1, call{team: 3, class: "question", stream: true, key: fmt.Sprintf("ask-%d", ix), prompt: fmt.Sprintf("keyed %d answer=20", ix)})
	}
	for ix := range scarceCalls {
		start(ix, call{team: 4, class: "question", prompt: fmt.Sprintf("scarce %d answer=50", ix)})
	}
	if strings.HasPrefix(stepName, "ticket") {
		wl.world.tryPublish(topUp(topUpNumber-2, scarcePrepaid))
	}
	if stepName == "drain" {
		wl.drainOne(tr)
	}
	wg.Wait()
	if !tr.wasFired() && stepName == "checkpoint" {
		time.Sleep(checkpointWait)
	}
}

// drainOne stops the first instance. Just after the end of the instance's grace period, it triggers the step "drain".
func (wl *workload) drainOne(tr *trigger) {
	time.Sleep(50 * time.Millisecond)
	no := wl.world.nodes[0]
	no.cancel()
	time.Sleep(time.Second + 50*time.Millisecond)
	tr.observe(observation{incarnation: no.daemon.Status().Incarnation, event: drainEvent})
}

// cancelAll cancels every attempt in flight; the callers then retry at another instance.
func (wl *workload) cancelAll() {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	for _, cancel := range wl.cancels {
		cancel()
	}
	wl.cancels = nil
}

// sendWithRetries sends a request to the instance whose index is given, and each retry to the instance with the next index. It stops at a
// complete response, at status 402, at status 409 from the fourth attempt on, or after maxAttempts. An earlier 409 is retried, because it may
// only mean that the outcome of a previous attempt is not known yet.
func (wl *workload) sendWithRetries(at int, ca call) {
	re := result{call: ca}
	for attempt := range maxAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		wl.mu.Lock()
		wl.cancels = append(wl.cancels, cancel)
		wl.mu.Unlock()
		rp := wl.world.send(ctx, (at+attempt)%instances, ca)
		cancel()
		re.attempts = append(re.attempts, rp)
		if rp.complete || rp.status == 402 || (rp.status == 409 && attempt > 2) {
			break
		}
		time.Sleep(retryPause << min(attempt, 4))
	}
	wl.mu.Lock()
	defer wl.mu.Unlock()
	wl.results = append(wl.results, re)
}

// summary returns the entry in the result table of a cell whose checks have passed.
func (wl *workload) summary(tr *trigger) string {
	if !tr.wasFired() {
		return "not reached"
	}
	unserved := 0
	for _, re := range wl.results {
		if !re.last().complete && re.call.team != 4 {
			unserved++
		}
	}
	if unserved == 0 {
		return "ok"
	}
	return fmt.Sprintf("ok, %d unserved", unserved)
}

// verify runs all checks; it is called when the fault is over.
func (wl *workload) verify() {
	wl.checkResponses()
	wl.checkRuns()
	wl.checkNotRun()
	wl.checkSettled()
	wl.checkSpend()
	wl.checkServing()
}

// checkResponses checks that each complete response belongs to its request and has the whole expected body.
func (wl *workload) checkResponses() {
	for _, re := range wl.results {
		for _, rp := range re.attempts {
			if !rp.complete {
				continue
			}
			want := re.call.prompt
			got := rp.body
			if !re.call.service {
				want = strings.Join(fakes.CompletionWords(re.call.prompt, 0), "")
				got = rp.text(re.call.stream)
			}
			if re.call.service && strings.Contains(got, strings.ReplaceAll(want, `"`, `\"`)) {
				continue
			}
			if got != want {
				wl.world.tb.Errorf("the response to %q is complete, but not the expected one: %s", re.call.prompt, rp)
			}
		}
	}
}

// checkRuns checks that each non-idempotent request ran at most once, and exactly once if its caller got a complete response.
func (wl *workload) checkRuns() {
	runs := map[string]int{}
	for _, se := range wl.world.emulator.Services {
		for _, ca := range se.Calls() {
			runs[ca.Key]++
		}
	}
	for key, count := range runs {
		if count > 1 {
			wl.world.tb.Errorf("the non-idempotent request with the key %s ran %d times, want at most once", key, count)
		}
	}
	for _, re := range wl.results {
		if re.call.service && re.last().complete && runs[re.call.key] != 1 {
			wl.world.tb.Errorf("the request with the key %s got a complete response, but ran %d times, want once", re.call.key, runs[re.call.key])
		}
	}
}

// checkNotRun checks that attempts with the verdict notRun did not run at any endpoint.
func (wl *workload) checkNotRun() {
	ran := map[string]bool{}
	for _, se := range wl.world.emulator.Services {
		for _, ca := range se.Calls() {
			ran[ca.ID] = true
		}
	}
	for _, ru := range wl.world.emulator.Runners {
		for _, rc := range ru.Runs() {
			ran[rc.ID] = rc.CompletionTokens > 0
		}
	}
	for _, re := range wl.results {
		for _, rp := range re.attempts {
			if rp.verdict == "notRun" && ran[rp.id] {
				wl.world.tb.Errorf("an attempt of %q got the verdict notRun, but ran at an endpoint: %s", re.call.prompt, rp)
			}
		}
	}
}

// checkSettled checks each instance that is not draining. Within two minutes it must be ready, have applied the log as far as the most
// advanced instance, list all active instances as members and have no reserved tokens.
func (wl *workload) checkSettled() {
	wo := wl.world
	newest := int64(0)
	for _, no := range wo.nodes {
		newest = max(newest, no.daemon.Status().Offset)
	}
	wo.eventually("every instance that is not draining is ready and up to date, lists all members and has no tokens reserved", func() bool {
		for _, no := range wo.nodes {
			st := no.daemon.Status()
			if !wl.drained(no) && (!st.Ready || st.Contact != "direct" || st.Offset < newest || reserved(st.Budgets) > 0 || len(st.Members) != wl.activeInstances()) {
				return false
			}
		}
		return true
	})
}

func (wl *workload) drained(no *node) bool {
	return no.daemon.Status().Draining
}

func (wl *workload) activeInstances() int {
	count := 0
	for _, no := range wl.world.nodes {
		if !wl.drained(no) {
			count++
		}
	}
	return count
}

// checkSpend checks that all instances and the replayed log have the same budgets. Tokens delivered to callers must not exceed those that
// are billed or written off, nor those that are prepaid.
func (wl *workload) checkSpend() {
	wo := wl.world
	time.Sleep(agreementWait)
	budgets := wo.agreedBudgets()
	delivered := map[string]int64{}
	for _, re := range wl.results {
		for _, rp := range re.attempts {
			if rp.complete && !re.call.service {
				delivered[fmt.Sprintf("team-%d", re.call.team)] += int64(len(fakes.CompletionWords(re.call.prompt, 0)))
			}
		}
	}
	for _, bu := range budgets {
		if bu.Overspent != 0 {
			wo.tb.Errorf("budget %s: overspent by %d tokens, want 0", bu.Name, bu.Overspent)
		}
		if delivered[bu.Name] > bu.Billed+bu.WrittenOff {
			wo.tb.Errorf("budget %s: delivered %d tokens, but only %d are billed or written off", bu.Name, delivered[bu.Name], bu.Billed+bu.WrittenOff)
		}
		if delivered[bu.Name] > bu.Prepaid {
			wo.tb.Errorf("budget %s: delivered %d tokens, but only %d are prepaid", bu.Name, delivered[bu.Name], bu.Prepaid)
		}
	}
}

// checkServing checks that each instance that is not draining still serves requests.
func (wl *workload) checkServing() {
	for _, no := range wl.world.nodes {
		if wl.drained(no) {
			continue
		}
		rp := wl.world.send(context.Background(), no.index, call{team: 5, class: "question", prompt: "afterwards"})
		if !rp.complete {
			wl.world.tb.Errorf("instance %d gave no complete response after the fault was over: %s", no.index, rp)
		}
	}
}

// reserved returns the number of tokens that an instance has reserved, summed over its budgets.
func reserved(list []admin.Budget) int64 {
	sum := int64(0)
	for _, bu := range list {
		sum += bu.ReservedHere
	}
	return sum
}
