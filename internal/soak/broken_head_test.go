package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// faultTries is the number of requests that are sent until one gets the response that a case is about.
const faultTries = 6

// faultResponse is a response as the caller of a faulty endpoint sees it.
type faultResponse struct {
	status   int
	body     string
	complete bool
}

// callFault sends a request to a node; lastEvent is the number of events that the caller has, and resumes the ID that began the stream.
func (wo *world) callFault(no *node, id, route string, lastEvent int, resumes string) faultResponse {
	rq, err := http.NewRequest(http.MethodPost, "http://"+no.callerAddress+"/"+route+"/x", strings.NewReader("the body of "+id))
	if err != nil {
		wo.tt.Error(err)
		return faultResponse{}
	}
	rq.Host, rq.GetBody = host, nil
	ca := stand.Call{ID: id, Key: teamKey, PatienceMs: 5000}
	if route == "stream" || route == "resume" {
		ca.Prompt, ca.Output = promptTokens, eventsPerStream*tokensPerEvent
		ca.Parts = []string{fmt.Sprintf("%x", xxhash.Sum64String(id))}
	}
	ca.Set(rq.Header)
	if lastEvent > 0 {
		rq.Header.Set(stand.HeaderLastEvent, fmt.Sprint(lastEvent))
		rq.Header.Set(stand.HeaderResumes, resumes)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Do(rq)
	if err != nil {
		return faultResponse{}
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return faultResponse{status: rs.StatusCode, body: string(data), complete: err == nil}
}

// endConn ends a connection with a reset or a regular end.
func endConn(nc net.Conn, reset bool) bool {
	if tc, ok := nc.(*net.TCPConn); ok && reset {
		_ = tc.SetLinger(0)
	}
	return false
}

// faultyPair is a pair of raw endpoints of one service with the same behavior.
type faultyPair struct {
	list []*rawEndpoint
	ids  []string
}

// addPair registers two raw endpoints.
func (wo *world) addPair(name, service string, handle rawHandler) faultyPair {
	var fp faultyPair
	for ix := range 2 {
		id := fmt.Sprint(name, "-", ix)
		fp.ids = append(fp.ids, id)
		re := wo.addRaw(id, service, func(nc net.Conn, rq *http.Request, number int) bool {
			if rq.Method != http.MethodPost {
				_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			}
			return handle(nc, rq, number)
		})
		fp.list = append(fp.list, re)
	}
	return fp
}

func (wo *world) removePair(fp faultyPair) {
	for _, id := range fp.ids {
		wo.store.Put(wire.RegistrationTopic, id, nil)
	}
}

// streamBreak is a way in which a stream breaks off after some events.
type streamBreak struct {
	name string
	// head is what frames the stream; chunked is set if it comes in chunks.
	head    string
	chunked bool
	// within is set if the stream breaks off within an event, and reset if the connection is reset.
	within, reset bool
}

// brokenEvents is the number of complete events before a stream breaks off.
const brokenEvents = 3

var streamBreaks = []streamBreak{
	{"in chunks, after an event, closed", "Transfer-Encoding: chunked\r\n", true, false, false},
	{"in chunks, within an event, reset", "Transfer-Encoding: chunked\r\n", true, true, true},
	{"to the end of the connection, within an event, closed", "", false, true, false},
	{"to the end of the connection, after an event, reset", "", false, false, true},
}

// write writes the beginning of the stream.
func (sb streamBreak) write(nc net.Conn, id string) bool {
	body := stand.Stream(id, brokenEvents)
	if sb.within {
		event := stand.Event(id, brokenEvents+1)
		body += event[:len(event)/2]
	}
	if sb.chunked {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	_, _ = fmt.Fprintf(nc, stand.StreamHead+sb.head+"\r\n"+"%s", id, stand.Sign(http.StatusOK, id, ""), body)
	// The reset must not overtake the events.
	time.Sleep(20 * time.Millisecond)
	return endConn(nc, sb.reset)
}

// TestFailureWhileStreamIsResumed guards against the text of a failure in the middle of a stream, and against a stream that ends as if it were complete, when it
// has broken off and the endpoint that resumes it fails.
func TestFailureWhileStreamIsResumed(tt *testing.T) {
	for _, cut := range []bool{false, true} {
		tt.Run(map[bool]string{false: "directly", true: "through a peer"}[cut], func(tt *testing.T) {
			tt.Parallel()
			wo, no := newRawWorld(tt, "model", cut)
			for number, ba := range stand.BrokenAnswers {
				wo.playFailure(tt, no, fmt.Sprint("failure-", number), ba.Name, func(nc net.Conn, id string) bool {
					text := ba.Text
					if strings.Contains(text, "%s") {
						text = fmt.Sprintf(text, id, stand.Sign(ba.Status, id, map[bool]string{false: "", true: "oops"}[ba.Status >= 400]))
					}
					_, _ = io.WriteString(nc, text)
					time.Sleep(20 * time.Millisecond)
					return endConn(nc, ba.Reset)
				})
			}
		})
	}
}

// playFailure breaks streams off in all ways at endpoints that then answer the resumption so, and lets callers resume them there.
func (wo *world) playFailure(tt *testing.T, no *node, prefix, name string, answer func(nc net.Conn, id string) bool) {
	tt.Helper()
	var mu sync.Mutex
	breaks, answered := map[string]streamBreak{}, map[string]int{}
	fp := wo.addPair(prefix, "model", func(nc net.Conn, rq *http.Request, _ int) bool {
		id := rq.Header.Get(stand.HeaderRequestID)
		mu.Lock()
		sb, known := breaks[id]
		resumed := rq.Header.Get(stand.HeaderLastEvent) != ""
		if resumed {
			answered[id]++
		}
		mu.Unlock()
		switch {
		case resumed:
			return answer(nc, id)
		case known:
			return sb.write(nc, id)
		default:
			// A request of the next case, before these endpoints are known to be gone.
			_, err := fmt.Fprintf(nc, stand.RawRefusals[0].Text, id)
			return err == nil
		}
	})
	defer wo.removePair(fp)
	reached := 0
	for number, sb := range streamBreaks {
		for try := range faultTries {
			id := fmt.Sprint(prefix, "-", number, "-", try)
			mu.Lock()
			breaks[id] = sb
			mu.Unlock()
			got := wo.callFault(no, id, "resume", 0, "")
			mu.Lock()
			failed := answered[id] > 0
			mu.Unlock()
			if got.status == http.StatusOK && (got.complete || !strings.HasPrefix(stand.Stream(id, eventsPerStream), got.body)) {
				tt.Errorf("%s, %s: the caller got %q (complete: %t), want some whole events and no proper end", sb.name, name, got.body, got.complete)
			}
			events := strings.Count(got.body, "\n\n")
			if events > 0 {
				again := wo.callFault(no, id+"-again", "resume", events, id)
				if again.status >= 200 && again.status < 300 && (again.complete || again.body != "") {
					tt.Errorf("%s: the caller that resumes got the status %d and %q (complete: %t), want no success", name, again.status, again.body, again.complete)
				}
			}
			if failed {
				reached++
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if reached == 0 {
		tt.Errorf("%s: no stream was resumed at the faulty endpoints, so the test shows nothing", name)
	}
}

// TestHalfHead guards against a success with an empty or short body when the endpoint closes the connection in the middle of the head of its response. All
// positions are in the test of package conns.
func TestHalfHead(tt *testing.T) {
	cases := []struct {
		name, service string
		routes        []string
		cut           bool
	}{
		{"plain", "plain", []string{"safe", "unsafe"}, false},
		{"streams", "model", []string{"stream", "resume"}, false},
		{"plain, through a peer", "plain", []string{"safe", "unsafe"}, true},
		{"streams, through a peer", "model", []string{"stream", "resume"}, true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			tt.Parallel()
			wo, no := newRawWorld(tt, tc.service, tc.cut)
			for number, hh := range stand.HalfHeads {
				var mu sync.Mutex
				position, reached := 0, 0
				reset := false
				fp := wo.addPair(fmt.Sprint("half-", number), tc.service, func(nc net.Conn, rq *http.Request, _ int) bool {
					id := rq.Header.Get(stand.HeaderRequestID)
					text := fmt.Sprintf(hh.Text, id, stand.Sign(http.StatusOK, id, ""))
					mu.Lock()
					at, rs := position%(len(text)-1), reset
					reached++
					mu.Unlock()
					_, _ = io.WriteString(nc, text[:at])
					time.Sleep(5 * time.Millisecond)
					return endConn(nc, rs)
				})
				wo.await("the endpoint is known", func() bool {
					wo.callFault(no, fmt.Sprint("half-", number, "-known-", time.Now().UnixNano()), tc.routes[0], 0, "")
					mu.Lock()
					defer mu.Unlock()
					return reached > 0
				})
				for step := range 24 {
					mu.Lock()
					position, reset = 3+7*step, step%3 == 2
					mu.Unlock()
					id := fmt.Sprint("half-", number, "-", step)
					got := wo.callFault(no, id, tc.routes[step%len(tc.routes)], 0, "")
					if got.status >= 200 && got.status < 300 {
						tt.Errorf("%s, cut after some %d bytes (reset: %t): the caller got the status %d and %q (complete: %t), want no success", hh.Name, position, reset, got.status, got.body, got.complete)
					}
				}
				mu.Lock()
				tt.Logf("%s: %d requests reached the endpoints", hh.Name, reached)
				mu.Unlock()
				wo.removePair(fp)
			}
		})
	}
}
