package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

const plenty = 1 << 40

// TestThousandRequests sends mixed requests through four instances: each caller gets the complete response to its own request, and the
// tokens spent are those delivered.
func TestThousandRequests(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 4, prepaid: plenty})
	const count, workers = 1000, 20
	routes := []string{"resume", "stream", "safe", "unsafe"}
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for ix := worker; ix < count; ix += workers {
				rq := request{id: fmt.Sprint("request-", ix), route: routes[ix%len(routes)], key: testKey}
				want := response{Status: http.StatusOK, Body: stand.ResponseBody(rq.id), Complete: true}
				if ix%len(routes) < 2 {
					rq.prompt, rq.output, rq.body = 100, testEvents*testStride, "prompt of "+rq.id
					want.Body = stand.Stream(rq.id, testEvents)
				}
				if diff := cmp.Diff(want, fl.send(fl.instances[ix%len(fl.instances)], rq)); diff != "" {
					tt.Errorf("the response to %s on route %s differs (-want +got):\n%s", rq.id, rq.route, diff)
				}
			}
		})
	}
	group.Wait()
	events := int64(0)
	for _, en := range fl.models {
		events += en.Events()
	}
	fl.await("all reservations are settled", func() bool {
		reserved := int64(0)
		for _, in := range fl.instances {
			reserved += in.balance().Reserved
		}
		return reserved == 0
	})
	spent := int64(0)
	for _, in := range fl.instances {
		spent += in.balance().Spent
	}
	if diff := cmp.Diff(int64(count/2*100)+events*testStride, spent); diff != "" {
		tt.Error(diff)
	}
}

// TestFlaws sends one request of each kind while all endpoints are faulty, or all but one of each service.
func TestFlaws(tt *testing.T) {
	type result struct {
		Response response
		// Runs counts how often endpoints ran the request.
		Runs int
	}
	stream, plain := stand.Stream("id", testEvents), stand.ResponseBody("id")
	half := stand.Stream("id", testEvents/2)
	cases := []struct {
		name  string
		route string
		flaw  stand.EndpointFault
		all   bool
		want  result
	}{
		{"a declined stream is retried on another endpoint", "resume", stand.Declining, false, result{response{200, stream, true, ""}, 1}},
		{"a broken stream resumes on another endpoint", "resume", stand.Breaking, false, result{response{200, stream, true, ""}, 2}},
		{"a broken stream that cannot resume is truncated", "stream", stand.Breaking, true, result{response{200, half, false, ""}, 1}},
		{"a stream declined by all has not run", "resume", stand.Declining, true, result{response{503, "", true, "0.200"}, 0}},
		{"an idempotent request with a truncated response is retried", "safe", stand.Breaking, false, result{response{200, plain, true, ""}, 2}},
		{"a failed idempotent request is retried", "safe", stand.Failing, false, result{response{200, plain, true, ""}, 2}},
		{"a failure of all endpoints is relayed", "safe", stand.Failing, true, result{response{500, "failed", true, ""}, 2}},
		{"a non-idempotent request with a truncated response may have run", "unsafe", stand.Breaking, true, result{response{502, "", true, ""}, 1}},
		{"a failure of a non-idempotent request is relayed", "unsafe", stand.Failing, true, result{response{500, "failed", true, ""}, 1}},
		{"a declined non-idempotent request has not run", "unsafe", stand.Declining, true, result{response{503, "", true, ""}, 0}},
		{"a stream without length and chunks", "stream", stand.Unframed, true, result{response{200, stream, true, ""}, 1}},
		{"a stream without length and chunks that ends within an event", "stream", stand.UnframedCut, true, result{response{200, half, false, ""}, 1}},
		{"such a stream resumes on another endpoint", "resume", stand.UnframedCut, false, result{response{200, stream, true, ""}, 2}},
		{"such a stream that ends before its first event", "stream", stand.UnframedEmpty, true, result{response{502, "", true, ""}, 1}},
		{"a response without length and chunks", "safe", stand.Unframed, true, result{response{200, plain, true, ""}, 1}},
		{"a response without length and chunks that is reset", "unsafe", stand.UnframedCut, true, result{response{502, "", true, ""}, 1}},
		{"a response without length and chunks that ends before its first byte", "unsafe", stand.UnframedEmpty, true, result{response{502, "", true, ""}, 1}},
		{"events beyond those that were paid for", "stream", stand.EndlessEvents, true, result{response{200, stream, false, ""}, 1}},
		{"an event without end", "stream", stand.EndlessBody, true, result{response{502, "", true, ""}, 1}},
		{"a response without end", "unsafe", stand.EndlessBody, true, result{response{502, "", true, ""}, 1}},
		{"a response without a signature is rejected", "unsafe", stand.Unsigned, true, result{response{502, "", true, ""}, 1}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
			// The retry budget grows with the number of requests.
			for ix := range 20 {
				fl.send(fl.instances[0], request{id: fmt.Sprint("warm-", ix), route: tc.route, key: testKey, prompt: 10, output: testEvents * testStride})
			}
			for ix, en := range append(append([]*stand.Endpoint{}, fl.models...), fl.plains...) {
				if tc.all || (ix != 0 && ix != len(fl.models)) {
					en.SetFault(tc.flaw)
				}
			}
			rq := request{id: "id", route: tc.route, key: testKey}
			if strings.HasPrefix(tc.want.Response.Body, "id:") {
				rq.prompt, rq.output = 10, testEvents*testStride
			}
			got := result{fl.send(fl.instances[0], rq), len(fl.runsOf("id"))}
			if got.Response.Status == http.StatusServiceUnavailable || got.Response.Status == http.StatusBadGateway {
				got.Response.Body = ""
			}
			// If one endpoint is healthy, the request may go to it first and run only once.
			if !tc.all && got.Runs < tc.want.Runs {
				got.Runs = tc.want.Runs
			}
			got.Response.RetryAfter, tc.want.Response.RetryAfter = "", ""
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// TestRefusals checks that invalid requests are rejected and do not reach an endpoint.
func TestRefusals(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: 1000})
	cases := []struct {
		name string
		rq   request
		want int
	}{
		{"unknown key", request{id: "a", route: "safe", key: "key-2"}, http.StatusUnauthorized},
		{"unknown route", request{id: "b", route: "none", key: testKey}, http.StatusNotFound},
		{"without an ID", request{route: "safe", key: testKey}, http.StatusBadRequest},
		{"token counts that are not numbers", request{id: "c", route: "resume", key: testKey, header: map[string]string{stand.HeaderTokenCounts: "many"}}, http.StatusBadRequest},
		{"negative token counts", request{id: "d", route: "resume", key: testKey, header: map[string]string{stand.HeaderTokenCounts: "-5,7"}}, http.StatusBadRequest},
		{"a timeout that is not a number", request{id: "e", route: "safe", key: testKey, header: map[string]string{stand.HeaderDeadline: "soon"}}, http.StatusBadRequest},
		{"large body", request{id: "f", route: "unsafe", key: testKey, body: strings.Repeat("x", 65537)}, http.StatusRequestEntityTooLarge},
		{"beyond the prepaid total", request{id: "g", route: "resume", key: testKey, prompt: 990, output: 11}, http.StatusPaymentRequired},
		{"large headers", request{id: "h", route: "safe", key: testKey, header: map[string]string{"X-Large": strings.Repeat("x", 40000)}}, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			got := fl.send(fl.instances[0], tc.rq)
			if diff := cmp.Diff(tc.want, got.Status); diff != "" {
				tt.Error(diff)
			}
			if runs := fl.runsOf(tc.rq.id); tc.rq.id != "" && len(runs) > 0 {
				tt.Errorf("endpoints ran the invalid request %d times, want 0", len(runs))
			}
		})
	}
}

// TestForwardedExactly checks the request that an endpoint receives: target and body are unchanged, and headers by which the caller claims
// another identity have no effect.
func TestForwardedExactly(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
	fl.send(fl.instances[0], request{id: "id", route: "unsafe", key: testKey, body: "the body", header: map[string]string{
		stand.HeaderTeam: "team-9", stand.HeaderEndpoint: "other", "Connection": "X-Hop", "X-Hop": "1", stand.HeaderRetention: "r",
	}})
	want := []stand.Run{{ID: "id", Team: testTeam, Target: "/unsafe/x?q=1", Body: "the body", Version: "v1", Ended: true}}
	if diff := cmp.Diff(want, fl.runsOf("id"), cmpopts.IgnoreFields(stand.Run{}, "BeganAt")); diff != "" {
		tt.Error(diff)
	}
}

// TestLeavingEndpoint checks that an endpoint gets no requests once its registration says that it is leaving, and is usable again after it
// has registered as ready.
func TestLeavingEndpoint(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
	leave := func(state string, sequence int64) {
		en := fl.plains[0]
		fl.store.Put(wire.RegistrationTopic, "plain-0", en.Registration(fl.addresses["plain-0"], state, sequence))
	}
	usable := func(count int) func() bool {
		return func() bool { return fl.instances[0].edge.UsableEndpoints("plain") == count }
	}
	leave("draining", 2)
	fl.await("one endpoint is left", usable(1))
	before := len(fl.plains[0].Runs())
	for ix := range 50 {
		fl.send(fl.instances[0], request{id: fmt.Sprint("request-", ix), route: "safe", key: testKey})
	}
	if got := len(fl.plains[0].Runs()); got != before {
		tt.Errorf("a leaving endpoint got %d requests, want 0", got-before)
	}
	fl.store.Put(wire.RegistrationTopic, "nonsense", []byte("{"))
	leave("ready", 3)
	fl.await("both endpoints are back", usable(2))
}

// TestStoreAway checks that instances keep serving while the store is unreachable, and apply changes after its recovery.
func TestStoreAway(tt *testing.T) {
	for _, trouble := range []stand.StoreFault{stand.Refusing, stand.Unresponsive, stand.LosingResponses} {
		fl := newFleet(tt, fleetConfig{instances: 2, prepaid: plenty})
		fl.store.SetFault(trouble)
		fl.store.Put(wire.OperatorTopic, wire.ConfigurationKey, manifest(2, plenty+1))
		for ix := range 20 {
			got := fl.send(fl.instances[ix%2], request{id: fmt.Sprint("request-", ix), route: "resume", key: testKey, prompt: 10, output: testEvents * testStride})
			if got.Status != http.StatusOK {
				tt.Fatalf("a request got the status %d while the store is unreachable", got.Status)
			}
		}
		fl.store.SetFault(stand.NoFault)
		fl.store.Compact()
		for _, in := range fl.instances {
			fl.await("the new configuration is in force", func() bool { return in.edge.Plan().Version() == 2 })
			if !in.edge.Ready() {
				tt.Error("the instance is not ready after the store's recovery")
			}
		}
	}
}

// TestTotalIsNeverPassed checks that two instances spend a small prepaid total nearly completely, and never more.
func TestTotalIsNeverPassed(tt *testing.T) {
	const prepaid, prompt = 20_000, 100
	fl := newFleet(tt, fleetConfig{instances: 2, prepaid: prepaid})
	served := 0
	for ix := 0; ix < 2000; ix++ {
		got := fl.send(fl.instances[ix%2], request{
			id: fmt.Sprint("request-", ix), route: "resume", key: testKey, prompt: prompt, output: testEvents * testStride,
		})
		if got.Status == http.StatusOK {
			served++
		}
		if got.Status == http.StatusPaymentRequired {
			break
		}
	}
	perRequest := prompt + testEvents*testStride
	if served*perRequest > prepaid {
		tt.Errorf("%d tokens were served, more than the prepaid total of %d", served*perRequest, prepaid)
	}
	if served*perRequest < prepaid*97/100 {
		tt.Errorf("only %d of %d prepaid tokens were served before the total was reported exhausted", served*perRequest, prepaid)
	}
}

// TestCallerLeaves checks that the endpoint's run ends when the caller disconnects.
func TestCallerLeaves(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
	for _, en := range fl.plains {
		en.SetFault(stand.Hanging)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		rs, err := http.DefaultTransport.RoundTrip(fl.build(fl.instances[0], request{id: "id", route: "unsafe", key: testKey}).WithContext(ctx))
		if err == nil {
			_ = rs.Body.Close()
		}
	}()
	fl.await("the request runs", func() bool { return len(fl.runsOf("id")) == 1 })
	cancel()
	fl.await("the run has ended", func() bool { return fl.runsOf("id")[0].Ended })
}

// TestDrain checks that a stopped instance lets streams in flight finish, is no longer ready, and ends without an error.
func TestDrain(tt *testing.T) {
	fl := newFleet(tt, fleetConfig{instances: 1, prepaid: plenty})
	in := fl.instances[0]
	slow := fl.addEndpoint("model-slow", stand.EndpointConfig{ID: "model-slow", Service: "model", Domain: "zone-a", Slots: 32, Events: testEvents, Pause: 100e6})
	for _, en := range fl.models {
		en.SetFault(stand.Declining)
	}
	fl.models = append(fl.models, slow)
	fl.await("the slow endpoint is usable", func() bool { return in.edge.UsableEndpoints("model") == 4 })
	got := make(chan response, 1)
	go func() {
		got <- fl.send(in, request{id: "id", route: "resume", key: testKey, prompt: 10, output: testEvents * testStride, body: "x"})
	}()
	fl.await("the stream runs", func() bool { return len(fl.runsOf("id")) > 0 || len(got) > 0 })
	in.stop()
	fl.await("the instance is not ready", func() bool { return !in.edge.Ready() })
	rs := <-got
	if rs.Status == http.StatusOK {
		if diff := cmp.Diff(response{Status: 200, Body: stand.Stream("id", testEvents), Complete: true}, rs); diff != "" {
			tt.Error(diff)
		}
	}
	if err := <-in.done; err != nil {
		tt.Error(err)
	}
}
