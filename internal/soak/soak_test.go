package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/platform/stand"
)

var (
	seedFlag   = flag.Uint64("soak.seed", 1, "seed of the faults")
	lengthFlag = flag.Duration("soak.length", 6*time.Second, "how long faults are injected")
	nodesFlag  = flag.Int("soak.nodes", 3, "number of instances")
)

const (
	workers = 12
	prompt  = 40
	// firstPrepaid and maxTopUp are small enough that totals are exhausted now and then.
	firstPrepaid = 40_000
	maxTopUp     = 15_000
	// patience is how long a caller waits, in milliseconds.
	patience = 4000
)

// regressions are the seeds that ever failed, each with its cause; they run before the seed of the flag.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestSoak serves callers while processes, connections and the store misbehave, and then checks every promise.
func TestSoak(tt *testing.T) {
	seeds := []uint64{}
	for _, re := range regressions {
		seeds = append(seeds, re.seed)
	}
	for _, seed := range append(seeds, *seedFlag) {
		tt.Run(fmt.Sprint("seed-", seed), func(tt *testing.T) { soak(tt, seed) })
	}
}

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	route  string
	status int
	tokens int64
}

// journal collects outcomes; it is safe for concurrent use.
type journal struct {
	mu   sync.Mutex
	list []outcome
}

func soak(tt *testing.T, seed uint64) {
	wo := newWorld(tt, *nodesFlag, firstPrepaid)
	awaitReady(tt, wo)
	var jo journal
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var numbers atomic.Int64
	for worker := range workers {
		random := rand.New(rand.NewPCG(seed, uint64(worker)))
		group.Go(func() { wo.loopCaller(ctx, random, &numbers, &jo) })
	}
	wo.inject(rand.New(rand.NewPCG(seed, 1000)))
	wo.heal()
	awaitReady(tt, wo)
	served := len(jo.with(http.StatusOK))
	time.Sleep(2 * time.Second)
	cancel()
	group.Wait()
	wo.check(&jo)
	if after := len(jo.with(http.StatusOK)); after == served && wo.tokens(&jo) < wo.prepaid*9/10 {
		tt.Errorf("nothing was served after the faults had ended")
	}
	tt.Logf("%d requests, %d served, %d tokens of %d", len(jo.list), len(jo.with(http.StatusOK)), wo.tokens(&jo), wo.prepaid)
}

func awaitReady(tt *testing.T, wo *world) {
	ends := time.Now().Add(hangGuard)
	for _, no := range wo.nodes {
		for !no.isReady() {
			if time.Now().After(ends) {
				tt.Fatalf("%s is not ready; its log ends with\n%s", no.name, no.logEnd())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// inject lets faults come in series that overlap.
func (wo *world) inject(random *rand.Rand) {
	ends := time.Now().Add(*lengthFlag)
	var group sync.WaitGroup
	for time.Now().Before(ends) {
		no, pr := wo.nodes[random.IntN(len(wo.nodes))], wo.proxies[random.IntN(len(wo.proxies))]
		en := append(append([]*stand.Endpoint{}, wo.models...), wo.plains...)[random.IntN(5)]
		span := time.Duration(100+random.IntN(1500)) * time.Millisecond
		switch random.IntN(9) {
		case 0:
			wo.restart(no, syscall.SIGKILL)
		case 1:
			group.Go(func() { wo.restart(no, syscall.SIGTERM) })
		case 2:
			no.signal(syscall.SIGSTOP)
			group.Go(func() { time.Sleep(span); no.signal(syscall.SIGCONT) })
		case 3:
			pr.reset()
		case 4:
			pr.set(mode(1 + random.IntN(int(modes)-1)))
			group.Go(func() { time.Sleep(span); pr.set(passing); pr.reset() })
		case 5:
			wo.store.SetFault(stand.StoreFault(random.IntN(4)))
			group.Go(func() { time.Sleep(span); wo.store.SetFault(stand.NoFault) })
		case 6:
			wo.store.Compact()
		case 7:
			en.SetFault(stand.EndpointFault(random.IntN(6)))
			group.Go(func() { time.Sleep(span); en.SetFault(stand.Healthy) })
		case 8:
			wo.prepaid += int64(random.IntN(maxTopUp))
			wo.configure()
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	group.Wait()
}

func (wo *world) heal() {
	wo.store.SetFault(stand.NoFault)
	for _, pr := range wo.proxies {
		pr.set(passing)
	}
	for _, en := range append(append([]*stand.Endpoint{}, wo.models...), wo.plains...) {
		en.SetFault(stand.Healthy)
	}
	for _, no := range wo.nodes {
		no.signal(syscall.SIGCONT)
	}
}

// loopCaller sends one request after another, on connections that it keeps.
func (wo *world) loopCaller(ctx context.Context, random *rand.Rand, numbers *atomic.Int64, jo *journal) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2 * patience * time.Millisecond}
	for ctx.Err() == nil {
		number := numbers.Add(1)
		rq := outcome{id: fmt.Sprint("request-", number), route: []string{"resume", "stream", "safe", "unsafe"}[number%4]}
		wo.call(client, wo.nodes[random.IntN(len(wo.nodes))], &rq)
		jo.mu.Lock()
		jo.list = append(jo.list, rq)
		jo.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

func (wo *world) call(client *http.Client, no *node, rq *outcome) {
	method, body := http.MethodPost, io.Reader(strings.NewReader("the body of "+rq.id))
	if rq.route == "safe" {
		method, body = http.MethodGet, nil
	}
	hr, err := http.NewRequest(method, "http://"+no.caller+"/"+rq.route+"/x", body)
	if err != nil {
		wo.tt.Error(err)
		return
	}
	hr.Host = host
	hr.GetBody = nil
	ca := stand.Call{ID: rq.id, Key: teamKey, PatienceMs: patience}
	isStream := rq.route == "resume" || rq.route == "stream"
	if isStream {
		ca.Prompt, ca.Output = prompt, events*stride
	}
	ca.Set(hr.Header)
	rs, err := client.Do(hr)
	if err != nil {
		return
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	rq.status = rs.StatusCode
	if rs.StatusCode == http.StatusOK {
		wo.checkAnswer(rq, string(data), err, isStream)
	}
}

// checkAnswer checks that an answer is the request's own, in order, and whole unless it broke off visibly.
func (wo *world) checkAnswer(rq *outcome, got string, err error, isStream bool) {
	want := stand.ResponseBody(rq.id)
	if isStream {
		want = stand.Stream(rq.id, events)
		rq.tokens = prompt + int64(strings.Count(got, "\n\n"))*stride
	}
	switch {
	case err == nil && got != want:
		wo.tt.Errorf("%s on %s got %q, which ends as if it were whole", rq.id, rq.route, got)
	case err != nil && !strings.HasPrefix(want, got):
		wo.tt.Errorf("%s on %s got %q before it broke off", rq.id, rq.route, got)
	case err != nil && errors.Is(err, io.EOF):
		wo.tt.Errorf("%s on %s ended without a sign", rq.id, rq.route)
	}
}

// check compares what callers saw with what the endpoints ran.
func (wo *world) check(jo *journal) {
	runs := map[string]int{}
	for _, en := range append(append([]*stand.Endpoint{}, wo.models...), wo.plains...) {
		for _, ru := range en.Runs() {
			runs[ru.ID]++
			if ru.Team != "team-1" || ru.Key != "" {
				wo.tt.Errorf("%s ran for team %q with key %q", ru.ID, ru.Team, ru.Key)
			}
		}
	}
	for _, rq := range jo.list {
		ran := runs[rq.id]
		once := rq.route == "unsafe" || rq.route == "stream"
		if once && ran > 1 {
			wo.tt.Errorf("%s on %s ran %d times", rq.id, rq.route, ran)
		}
		if rq.status == http.StatusServiceUnavailable && ran > 0 {
			wo.tt.Errorf("%s on %s was refused as not run, and ran %d times", rq.id, rq.route, ran)
		}
		if rq.status >= 400 && rq.status < 500 && rq.status != http.StatusPaymentRequired {
			wo.tt.Errorf("%s on %s was refused with %d", rq.id, rq.route, rq.status)
		}
	}
	if got := wo.tokens(jo); got > wo.prepaid {
		wo.tt.Errorf("%d tokens delivered of %d", got, wo.prepaid)
	}
}

func (wo *world) tokens(jo *journal) int64 {
	sum := int64(0)
	for _, rq := range jo.list {
		sum += rq.tokens
	}
	return sum
}

func (jo *journal) with(status int) []outcome {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	var list []outcome
	for _, rq := range jo.list {
		if rq.status == status {
			list = append(list, rq)
		}
	}
	return list
}
