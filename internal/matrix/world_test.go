package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/internal/admin"
	"github.com/clementineweir/clementineweir/internal/cmds"
	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/daemon"
	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/ledger"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const (
	platformHost = "platform"
	callerHost   = "callers"
	// linkDelay is the one-way delay of each link of the network.
	linkDelay = 1500 * time.Microsecond
	// instances is the number of instances that runWorld starts.
	instances = 4
)

// world is a test cluster on an in-memory network: instances, and stand-ins for the platform and the endpoints of an example deployment.
type world struct {
	tb       testing.TB
	network  *fakes.Network
	emulator *fakes.Emulator
	nodes    []*node
	// client is the HTTP client of all callers.
	client *http.Client
	logger logr.Logger
	// adjustSettings changes the settings of each instance before its start, or is nil.
	adjustSettings func(se *config.Settings)
	// processes tracks the instance processes that have not ended.
	processes sync.WaitGroup
	// cancelCallers cancels every request in flight.
	cancelCallers func()
}

// node is one instance.
type node struct {
	index int
	// starts is the number of incarnations so far.
	starts int
	// host is the network host of the current incarnation; each incarnation has another one.
	host   string
	daemon *daemon.Daemon
	// cancel ends the context of the current incarnation.
	cancel context.CancelFunc
}

// runWorld starts a cluster in virtual time, waits until it is ready, runs fn against it and stops it. If adjust is not nil, it changes the
// settings of each instance.
func runWorld(t *testing.T, deployment string, adjust func(se *config.Settings), fn func(wo *world)) {
	t.Helper()
	runWorldWith(t, instances, deployment, adjust, fn)
}

// runWorldWith does the same as runWorld, with the given number of instances.
func runWorldWith(t *testing.T, instances int, deployment string, adjust func(se *config.Settings), fn func(wo *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(t, deployment, adjust)
		for ix := range instances {
			wo.start(ix)
		}
		wo.awaitReady()
		fn(wo)
		wo.stop()
	})
}

func newWorld(tb testing.TB, deployment string, adjust func(se *config.Settings)) *world {
	wo := &world{tb: tb, network: fakes.NewNetwork(linkDelay), logger: logr.Discard(), adjustSettings: adjust}
	if testing.Verbose() {
		wo.logger = funcr.New(func(prefix, args string) { tb.Log(time.Now().Format("04:05.000"), prefix, args) }, funcr.Options{})
	}
	de, ok := fakes.FindDeployment(deployment)
	if !ok {
		tb.Fatalf("there is no example deployment %q", deployment)
	}
	wo.emulator = fakes.NewEmulator(de, endpointAddress).WithNetwork(func(addr string) (net.Listener, error) {
		return wo.network.Host(hostOf(addr)).Listen(addr)
	})
	if err := wo.emulator.Start("10.0.9.1:9280"); err != nil {
		tb.Fatal(err)
	}
	wo.publish(wo.emulator.Ticket())
	wo.client = &http.Client{Transport: &http.Transport{DialContext: wo.network.Host(callerHost).Dial, DisableKeepAlives: true}}
	return wo
}

func endpointAddress(index int) string { return fmt.Sprintf("10.0.8.%d:8000", index+1) }

// hostOf returns the host name of a stand-in's address.
func hostOf(addr string) string {
	if strings.HasPrefix(addr, "10.0.9.") {
		return platformHost
	}
	host, _, _ := net.SplitHostPort(addr)
	return host
}

func (wo *world) publish(ti ticket.Ticket) int64 {
	wo.tb.Helper()
	offset, err := cmds.PublishTicket(context.Background(), wo.emulator.Log, ti)
	if err != nil {
		wo.tb.Fatal(err)
	}
	return offset
}

func (wo *world) settings(index int) config.Settings {
	se := config.Defaults()
	se.Instance.Name = fmt.Sprintf("entry-%d", index+1)
	se.Instance.Domain = fakes.Domains[index%len(fakes.Domains)]
	se.Instance.CallerAddress = fmt.Sprintf("10.0.7.%d:8080", index+1)
	se.Instance.OperatorAddress = fmt.Sprintf("10.0.7.%d:9080", index+1)
	se.Instance.PeerAddress = fmt.Sprintf("10.0.7.%d:9180", index+1)
	se.Platform.LogAddress = "http://10.0.9.1:9280"
	se.Platform.ListAddress = "http://10.0.9.1:9280"
	se.TLS.PlainText = true
	if wo.adjustSettings != nil {
		wo.adjustSettings(&se)
	}
	return se
}

// start starts a new incarnation of the instance of the given index.
func (wo *world) start(index int) {
	wo.tb.Helper()
	for len(wo.nodes) <= index {
		wo.nodes = append(wo.nodes, &node{index: len(wo.nodes)})
	}
	no := wo.nodes[index]
	no.starts++
	no.host = fmt.Sprintf("entry-%d/%d", index+1, no.starts)
	begin := time.Now().Add(-time.Duration(index+1) * time.Hour)
	da, err := daemon.New(daemon.Config{
		Settings: wo.settings(index), Network: wo.network.Host(no.host),
		Clock: func() time.Duration { return time.Since(begin) }, Logger: wo.logger.WithValues("host", no.host),
	})
	if err != nil {
		wo.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	no.daemon, no.cancel = da, cancel
	wo.processes.Go(func() { _ = da.Run(ctx) })
}

// kill crashes an instance: its connections are closed, and nothing that it sends arrives any more.
func (wo *world) kill(index int) {
	no := wo.nodes[index]
	wo.network.Kill(no.host)
	no.cancel()
}

// isolate partitions an instance from the platform, from its peers, or from both.
func (wo *world) isolate(index int, platform, peers bool) {
	wo.eachLink(index, platform, peers, wo.network.Cut)
}

func (wo *world) heal(index int) { wo.eachLink(index, true, true, wo.network.Heal) }

// eachLink calls fn for the links of an instance: to the platform, to its peers, or to both.
func (wo *world) eachLink(index int, platform, peers bool, fn func(first, second string)) {
	no := wo.nodes[index]
	if platform {
		fn(no.host, platformHost)
	}
	for _, other := range wo.nodes {
		if peers && other != no {
			fn(no.host, other.host)
		}
	}
}

func (wo *world) awaitReady() {
	wo.tb.Helper()
	wo.eventually("every instance is ready and lists all members", func() bool {
		for _, no := range wo.nodes {
			if !no.daemon.Ready() || len(no.daemon.Status().Members) < len(wo.nodes) {
				return false
			}
		}
		return true
	})
	time.Sleep(5 * time.Second)
}

// eventually waits until fn returns true; after two minutes it marks the test as failed. what states the condition as a sentence, for the
// message.
func (wo *world) eventually(what string, fn func() bool) {
	wo.tb.Helper()
	for range 1200 {
		if fn() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	wo.tb.Errorf("this did not become true within two minutes: %s", what)
}

// stop drains every instance and closes the network.
func (wo *world) stop() {
	for _, no := range wo.nodes {
		no.cancel()
	}
	wo.processes.Wait()
	wo.client.CloseIdleConnections()
	wo.emulator.Close()
	wo.network.Close()
	time.Sleep(time.Minute)
}

// call describes a request.
type call struct {
	// team is the number in the name of the caller's team: 1 for team-1.
	team  int
	class string
	// key is the idempotency key, or empty.
	key string
	// service is set for a call to the plain service; prompt is then the body.
	service bool
	stream  bool
	prompt  string
	// context holds the messages before the prompt.
	context []string
}

// response is what a caller received for one attempt: a response, an error, or the start of a response and an error.
type response struct {
	status int
	// verdict is the value of the header X-Verdict: what the router states about the execution of the request, for example notRun.
	verdict string
	body    string
	// complete is set for a response with status 200 that was read without an error; a stream must also have its final event.
	complete bool
	// id is the request ID.
	id   string
	err  error
	took time.Duration
}

func (rp response) String() string {
	return fmt.Sprintf("status %d verdict %s complete %t err %v body %.200s", rp.status, rp.verdict, rp.complete, rp.err, rp.body)
}

// send sends a request to an instance and reads the response to its end.
func (wo *world) send(ctx context.Context, index int, ca call) response {
	begin := time.Now()
	rp := wo.exchange(ctx, index, ca)
	rp.took = time.Since(begin)
	return rp
}

func (wo *world) exchange(ctx context.Context, index int, ca call) response {
	se := wo.settings(index)
	path := "/v1/chat/completions"
	var messages []any
	for _, text := range ca.context {
		messages = append(messages, map[string]string{"role": "system", "content": text})
	}
	body, _ := json.Marshal(map[string]any{
		"model": fakes.ExampleModel, "stream": ca.stream, "messages": append(messages, map[string]string{"role": "user", "content": ca.prompt}),
	})
	if ca.service {
		path = "/v1/services/payments/pay"
		body = []byte(ca.prompt)
	}
	rq, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+se.Instance.CallerAddress+path, bytes.NewReader(body))
	rq.Header.Set("Authorization", fmt.Sprintf("Bearer key-team-%d", ca.team))
	rq.Header.Set("X-Request-Class", ca.class)
	if ca.key != "" {
		rq.Header.Set("Idempotency-Key", ca.key)
	}
	rs, err := wo.client.Do(rq)
	if err != nil {
		return response{err: err}
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	rp := response{status: rs.StatusCode, verdict: rs.Header.Get("X-Verdict"), body: string(data), id: rs.Header.Get("X-Request-ID"), err: err}
	rp.complete = err == nil && rs.StatusCode == http.StatusOK && (!ca.stream || strings.HasSuffix(rp.body, "data: [DONE]\n\n"))
	return rp
}

// text returns the completion in the response of a model runner; stream says whether the response is a stream.
func (rp response) text(stream bool) string {
	if !stream {
		var body struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if json.Unmarshal([]byte(rp.body), &body) != nil || len(body.Choices) == 0 {
			return ""
		}
		return body.Choices[0].Message.Content
	}
	var sb strings.Builder
	for _, line := range strings.Split(rp.body, "\n") {
		var ev struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &ev) == nil && len(ev.Choices) > 0 {
			sb.WriteString(ev.Choices[0].Delta.Content)
		}
	}
	return sb.String()
}

// sendAll sends the given number of requests concurrently and returns their responses in order. fn returns the instance and the call for the
// request with a given index.
func (wo *world) sendAll(count int, fn func(ix int) (int, call)) []response {
	list := make([]response, count)
	var wg sync.WaitGroup
	for ix := range count {
		wg.Go(func() {
			at, ca := fn(ix)
			list[ix] = wo.send(context.Background(), at, ca)
		})
	}
	wg.Wait()
	return list
}

func (wo *world) status(index int) admin.Status { return wo.nodes[index].daemon.Status() }

func (wo *world) budget(index int, name string) admin.Budget {
	for _, bu := range wo.status(index).Budgets {
		if bu.Name == name {
			return bu
		}
	}
	return admin.Budget{}
}

// budgetTotals are the amounts of a budget that must be the same in all replicas.
type budgetTotals struct {
	// Name is the name of the budget.
	Name       string
	Prepaid    int64
	Billed     int64
	WrittenOff int64
	Overspent  int64
}

// agreedBudgets returns the budgets of the first instance that is not draining. It fails the test if another such instance or the replayed
// log has different ones.
func (wo *world) agreedBudgets() []budgetTotals {
	wo.tb.Helper()
	var first []budgetTotals
	for _, no := range wo.nodes {
		st := no.daemon.Status()
		if st.Draining {
			continue
		}
		var list []budgetTotals
		for _, bu := range st.Budgets {
			list = append(list, budgetTotals{bu.Name, bu.Prepaid, bu.Billed, bu.WrittenOff, bu.Overspent})
		}
		if first == nil {
			first = list
		}
		if diff := cmp.Diff(first, list); diff != "" {
			wo.tb.Errorf("the budgets of instance %d differ from those of the first instance (-first +this): %s", no.index, diff)
		}
	}
	if fromLog, ok := wo.replayLog(); ok {
		if diff := cmp.Diff(first, fromLog); diff != "" {
			wo.tb.Errorf("the budgets of the replayed log differ from those of the instances (-instances +log): %s", diff)
		}
	}
	return first
}

// replayLog returns the budgets of a new state to which the log is applied, from the newest checkpoint or else from the start of the log. It
// returns false if entries after the checkpoint have expired.
func (wo *world) replayLog() ([]budgetTotals, bool) {
	st, err := oplog.LoadCheckpoint(context.Background(), wo.emulator.Log)
	if err != nil {
		st = ledger.NewState()
	}
	pg, err := wo.emulator.Log.Read(context.Background(), oplog.ReadRequest{Stream: oplog.MainStream, From: st.Offset() + 1, MaxBytes: 1 << 30})
	if err != nil {
		wo.tb.Fatal(err)
	}
	if pg.First > st.Offset()+1 {
		return nil, false
	}
	for ix, data := range pg.Entries {
		if _, err := st.Apply(pg.From+int64(ix), data); err != nil {
			wo.tb.Fatal(err)
		}
	}
	var list []budgetTotals
	for _, name := range st.BudgetNames() {
		bu, _ := st.Budget(name)
		list = append(list, budgetTotals{bu.Name, bu.Prepaid, bu.Billed, bu.WrittenOff, bu.Overspent})
	}
	return list, true
}
