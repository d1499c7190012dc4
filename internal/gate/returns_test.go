package gate

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/place"
	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/turn"
)

// stubNotifier counts the refused callers that are announced.
type stubNotifier struct {
	Notifier
	returns int
}

func (sn *stubNotifier) NotifyReturn(uint64, time.Duration) { sn.returns++ }

// TestReturnAfterRefusal guards against a caller that comes back when it was told and is refused again to leave capacity for others, against precedence for one
// that comes back early or with another prompt, and against a slot for a request that may have run.
func TestReturnAfterRefusal(tt *testing.T) {
	now := time.Second
	sn := &stubNotifier{}
	ga := &gate{config: Config{Turns: turn.New(), Notifier: sn, Metrics: NewMetrics(), Clock: func() time.Duration { return now }}}
	arrive := func(id string, part uint64) *proxyRequest {
		pr := &proxyRequest{
			gate: ga, httpRequest: httptest.NewRequest("POST", "/path", nil), body: []byte("body"), route: &plan.Route{}, service: &plan.Service{Name: "service"},
			info: RequestInfo{ID: id, Parts: []place.Part{{ID: part}}}, deadline: now + 6*time.Second, start: now,
		}
		pr.traits = pr.findTraits()
		pr.recognize()
		return pr
	}
	refuse := func(pr *proxyRequest, verdict fault.Verdict) time.Duration {
		refusal := fault.New(fault.Overloaded, verdict, "busy").WithRetryAfter(time.Minute)
		_ = pr.recordShortage(refusal, false)
		fa := pr.schedule(refusal)
		pr.countReturn(fa)
		return fa.RetryAfter()
	}
	type result struct {
		Resumed          []bool
		Announced        int
		Returned, Failed uint64
		MayHaveRun       time.Duration
	}
	got := result{MayHaveRun: refuse(arrive("0", 1), fault.MayHaveRun)}
	record := func(pr *proxyRequest) *proxyRequest {
		got.Resumed = append(got.Resumed, pr.placement(nil).Resumed)
		return pr
	}
	delay := refuse(record(arrive("1", 1)), fault.NotRun)
	record(arrive("2", 1))
	now += delay
	record(arrive("3", 2))
	again := record(arrive("4", 1))
	refuse(again, fault.NotRun)
	got.Announced = sn.returns
	got.Returned, got.Failed = ga.config.Metrics.Counter("weir_returned_requests_total").Get(), ga.config.Metrics.Counter("weir_returned_refused_total").Get()
	want := result{Resumed: []bool{false, false, false, true}, Announced: 1, Returned: 1, Failed: 1, MayHaveRun: time.Minute}
	if diff := cmp.Diff(want, got); diff != "" {
		tt.Error(diff)
	}
	if delay > 2*time.Second {
		tt.Errorf("the caller is told to come back after %s, want at most a third of 6 s", delay)
	}
}

// TestWaitThatCannotHelp guards against requests that are held although no endpoint can take them within the wait: their callers could have tried elsewhere.
func TestWaitThatCannotHelp(tt *testing.T) {
	const wait = 100 * time.Millisecond
	cases := []struct {
		name   string
		expect place.Decision
		rq     place.Request
		want   bool
	}{
		{"queue just above the limit", place.Decision{TimeToFirstEvent: 600 * time.Millisecond, QueueTime: 550 * time.Millisecond}, place.Request{Prompt: 1}, true},
		{"queue far above the limit", place.Decision{TimeToFirstEvent: 700 * time.Millisecond, QueueTime: 650 * time.Millisecond}, place.Request{Prompt: 1}, false},
		{"queue above the limit of the rank", place.Decision{TimeToFirstEvent: 600 * time.Millisecond, QueueTime: 450 * time.Millisecond}, place.Request{Prompt: 1, Rank: 2}, false},
		{"returned", place.Decision{TimeToFirstEvent: 1900 * time.Millisecond, QueueTime: 650 * time.Millisecond}, place.Request{Prompt: 1, Resumed: true}, true},
		{"plain, late", place.Decision{TimeToFirstEvent: 1900 * time.Millisecond}, place.Request{}, true},
		{"plain, after the deadline", place.Decision{TimeToFirstEvent: 2 * time.Second}, place.Request{}, false},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tc.rq.TimeLeft = 2 * time.Second
			if got := mayHelp(tc.expect, tc.rq, wait); got != tc.want {
				tt.Errorf("mayHelp returned %t, want %t", got, tc.want)
			}
		})
	}
}
