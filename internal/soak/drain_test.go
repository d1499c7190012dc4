package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/platform/stand"
)

const (
	// drainGrace is the grace period of the instances in tests of drains.
	drainGrace = 8 * time.Second
	// longTimeoutMillis is the timeout of the route long, whose streams keep a draining instance from stopping early.
	longTimeoutMillis = 30_000
	// drainPoll is the interval at which a test of drains checks whether a request runs.
	drainPoll = 20 * time.Millisecond
)

// lateRequest is a request to a draining instance.
type lateRequest struct {
	id    string
	route string
	// after is the time from the start of the drain until the request is sent.
	after time.Duration
	// client has an open connection to the instance if the request uses one.
	client *http.Client
}

// lateResponse is the response to a late request, as its caller sees it.
type lateResponse struct {
	Status int
	// Complete reports whether the response ended properly.
	Complete bool
}

func (wo *world) sendLate(no *node, lr lateRequest) lateResponse {
	rq, err := http.NewRequest(http.MethodPost, "http://"+no.callerAddress+"/"+lr.route+"/x", strings.NewReader("the body of "+lr.id))
	if err != nil {
		wo.tt.Error(err)
		return lateResponse{}
	}
	rq.Host, rq.GetBody = host, nil
	ca := stand.Call{ID: lr.id, Key: teamKey, PatienceMs: longTimeoutMillis}
	if lr.route != "safe" && lr.route != "unsafe" {
		ca.Prompt, ca.Output = promptTokens, eventsPerStream*tokensPerEvent
		// A prompt without a shared part is not refused when others have crashed endpoints.
		ca.Parts = []string{fmt.Sprintf("%x", xxhash.Sum64String(lr.id))}
	}
	ca.Set(rq.Header)
	rs, err := lr.client.Do(rq)
	if err != nil {
		return lateResponse{}
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	return lateResponse{Status: rs.StatusCode, Complete: err == nil}
}

// await waits until a condition holds.
func (wo *world) await(what string, holds func() bool) {
	for ends := time.Now().Add(hangTimeout); !holds(); time.Sleep(drainPoll) {
		if time.Now().After(ends) {
			for _, no := range wo.nodes {
				wo.tt.Logf("the log of %s ends with\n%s", no.name, no.logEnd())
			}
			wo.tt.Fatalf("timed out waiting until %s", what)
		}
	}
}

// setModelPause sets the delay before each event of the streams that begin from now on.
func (wo *world) setModelPause(pause time.Duration) {
	for _, en := range wo.modelEndpoints {
		en.SetPause(pause)
	}
}

// runCount returns the number of runs of a request at all endpoints.
func (wo *world) runCount(id string) int {
	count := 0
	for _, en := range append(wo.allModels(), wo.plainEndpoints...) {
		for _, ru := range en.Runs() {
			if ru.ID == id {
				count++
			}
		}
	}
	return count
}

// TestRequestsInDrain guards against requests that reach an instance late in its drain, are sent to an endpoint and then cut off without a response.
func TestRequestsInDrain(tt *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		// work is the time that plain endpoints take, and pause the time before each event of a stream.
		work, pause time.Duration
		after       []time.Duration
		routes      []string
		// want are the statuses that are allowed.
		want map[int]bool
	}{
		{
			"deadlines of some seconds", 3 * time.Second, 2 * time.Second, 250 * time.Millisecond,
			[]time.Duration{3100 * time.Millisecond, 4200 * time.Millisecond, 5200 * time.Millisecond, 6200 * time.Millisecond, 6900 * time.Millisecond},
			[]string{"unsafe", "safe", "stream", "resume"},
			map[int]bool{http.StatusOK: true, http.StatusServiceUnavailable: true},
		},
		{
			"deadlines beyond the drain", 15 * time.Second, 12 * time.Second, time.Second,
			[]time.Duration{3100 * time.Millisecond, 6900 * time.Millisecond},
			[]string{"unsafe", "safe", "stream", "resume"},
			map[int]bool{http.StatusServiceUnavailable: true},
		},
		{
			"sent before the drain and not done at its end", 15 * time.Second, 12 * time.Second, time.Second,
			[]time.Duration{-100 * time.Millisecond},
			[]string{"unsafe", "safe"},
			map[int]bool{http.StatusBadGateway: true},
		},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tt.Parallel()
			wo := newWorld(tt, 0, 10_000_000)
			wo.grace, wo.timeout = drainGrace, tc.timeout
			wo.configure()
			wo.deregisterOthers()
			for ix := range 2 {
				wo.addNode(fmt.Sprint("instance-", ix))
			}
			awaitReady(tt, wo)
			no := wo.nodes[0]
			wo.await("a stream is served", func() bool {
				return wo.sendLate(no, lateRequest{id: "first-stream", route: "stream", client: &http.Client{}}).Status == http.StatusOK
			})
			var list []lateRequest
			for _, route := range tc.routes {
				for _, after := range tc.after {
					for _, name := range []string{"kept", "new"} {
						lr := lateRequest{id: fmt.Sprint(route, "-", after, "-", name), route: route, after: after, client: newClient()}
						lr.client.Timeout = 2 * tc.timeout
						if name == "kept" {
							first := wo.sendLate(no, lateRequest{id: "first-" + lr.id, route: "safe", client: lr.client})
							if diff := cmp.Diff(lateResponse{Status: http.StatusOK, Complete: true}, first); diff != "" {
								tt.Fatalf("first request on a connection (-want +got):\n%s", diff)
							}
						}
						list = append(list, lr)
					}
				}
			}
			var group sync.WaitGroup
			wo.setModelPause(2 * drainGrace / eventsPerStream)
			group.Go(func() { wo.sendLate(no, lateRequest{id: "long", route: "long", client: &http.Client{}}) })
			wo.await("a stream runs", func() bool { return wo.runCount("long") > 0 })
			wo.setModelPause(tc.pause)
			for _, en := range wo.plainEndpoints {
				en.SetWork(tc.work)
			}
			begins := time.Now().Add(time.Second)
			got := make([]lateResponse, len(list))
			for ix, lr := range list {
				group.Go(func() {
					time.Sleep(time.Until(begins.Add(lr.after)))
					got[ix] = wo.sendLate(no, lr)
				})
			}
			time.Sleep(time.Until(begins))
			no.signal(syscall.SIGTERM)
			group.Wait()
			for ix, lr := range list {
				if !got[ix].Complete || !tc.want[got[ix].Status] {
					tt.Errorf("request %s got %+v, want a complete response with one of the statuses %v", lr.id, got[ix], tc.want)
				}
				if runs := wo.runCount(lr.id); got[ix].Status == http.StatusServiceUnavailable && runs > 0 {
					tt.Errorf("request %s was refused with 503 (not run), but ran %d times", lr.id, runs)
				}
			}
		})
	}
}

// TestGraceChangedBeforeDrain guards against an instance that drains by the grace period of its start although the settings have a shorter one by then: it is
// killed with requests in flight.
func TestGraceChangedBeforeDrain(tt *testing.T) {
	cases := []struct {
		name string
		// signal is set if a SIGHUP follows the change; otherwise the instance finds it by itself.
		signal bool
	}{
		{"with SIGHUP", true},
		{"without a signal", false},
	}
	const shorter = 4 * time.Second
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tt.Parallel()
			wo := newWorld(tt, 0, 1000)
			wo.grace, wo.timeout = 3*drainGrace, longTimeoutMillis*time.Millisecond
			wo.configure()
			wo.addNode("instance")
			awaitReady(tt, wo)
			no := wo.nodes[0]
			wo.grace = shorter
			wo.writeSettings(no)
			if tc.signal {
				no.signal(syscall.SIGHUP)
			}
			wo.await("the settings are read again", func() bool {
				data, err := os.ReadFile(no.log.Name())
				return err == nil && strings.Contains(string(data), `"msg":"reload"`)
			})
			for _, en := range wo.plainEndpoints {
				en.SetWork(3 * drainGrace)
			}
			got := make(chan lateResponse, 1)
			go func() { got <- wo.sendLate(no, lateRequest{id: "request", route: "unsafe", client: &http.Client{}}) }()
			wo.await("the request runs", func() bool { return wo.runCount("request") > 0 })
			no.signal(syscall.SIGTERM)
			kill := time.AfterFunc(shorter, func() { no.signal(syscall.SIGKILL) })
			defer kill.Stop()
			if diff := cmp.Diff(lateResponse{Status: http.StatusBadGateway, Complete: true}, <-got); diff != "" {
				tt.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}
