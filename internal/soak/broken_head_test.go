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

const (
	// brokenEvents is the number of complete events before a stream breaks off.
	brokenEvents = 3
	headStart    = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/event-stream\r\n"
)

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
	_, _ = fmt.Fprintf(nc, headStart+sb.head+"\r\n"+"%s", id, stand.Sign(http.StatusOK, id, ""), body)
	// The reset must not overtake the events.
	time.Sleep(20 * time.Millisecond)
	return endConn(nc, sb.reset)
}

// brokenAnswers are what an endpoint answers a stream with that it is to resume. %s stands for the ID and the signature.
var brokenAnswers = []struct {
	name, text string
	// status signs the answer.
	status int
	reset  bool
}{
	{"signed failure", "HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 4\r\n\r\noops", 500, false},
	{"failure in chunks", "HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n", 500, false},
	{"failure to the end of the connection", "HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n\r\noops", 500, false},
	{"unsigned failure", "HTTP/1.1 502 Oops\r\nAttempt-Id: %s\r\nX: %s\r\nContent-Length: 6\r\n\r\noops\n\n", 502, false},
	{"not found", "HTTP/1.1 404 Oops\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 4\r\n\r\noops", 404, false},
	{"failure that is cut", "HTTP/1.1 500 Oops\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 40\r\n\r\noops", 500, true},
	{"empty body with a length", headStart + "Content-Length: 0\r\n\r\n", 200, false},
	{"empty body in chunks", headStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, false},
	{"empty body to the end of the connection", headStart + "\r\n", 200, false},
	{"no content", "HTTP/1.1 204 No Content\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n\r\n", 204, false},
	{"text that is no stream", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\noops\n\n", 200, false},
	{"text and an empty line in chunks", headStart + "Transfer-Encoding: chunked\r\n\r\nd\r\nerror oops!\n\n\r\n0\r\n\r\n", 200, false},
	{"head of a failure in the body", headStart + "\r\nHTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\n\r\noops\n\n", 200, false},
	{"comments only", headStart + "Transfer-Encoding: chunked\r\n\r\n7\r\n: oops\n\r\n1\r\n\n\r\n0\r\n\r\n", 200, false},
	{"event without an ID", headStart + "Content-Length: 12\r\n\r\ndata: oops\n\n", 200, false},
	{"event of the beginning", headStart + "Content-Length: 18\r\n\r\nid: 1\ndata: oops\n\n", 200, false},
	{"unsigned success", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nX: %s\r\nContent-Length: 6\r\n\r\noops\n\n", 200, false},
	{"half a head", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Le", 200, false},
	{"half a head and a reset", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Le", 200, true},
	{"half a status line", "HTTP/1.1 20", 200, false},
	{"nothing", "", 200, false},
}

// TestFailureWhileStreamIsResumed guards against the text of a failure in the middle of a stream, and against a stream that ends as if it were complete, when it
// has broken off and the endpoint that resumes it fails.
func TestFailureWhileStreamIsResumed(tt *testing.T) {
	for _, cut := range []bool{false, true} {
		tt.Run(map[bool]string{false: "directly", true: "through a peer"}[cut], func(tt *testing.T) {
			tt.Parallel()
			wo, no := newRawWorld(tt, "model", cut)
			for number, ba := range brokenAnswers {
				wo.playFailure(tt, no, fmt.Sprint("failure-", number), ba.name, func(nc net.Conn, id string) bool {
					text := ba.text
					if strings.Contains(text, "%s") {
						text = fmt.Sprintf(text, id, stand.Sign(ba.status, id, map[bool]string{false: "", true: "oops"}[ba.status >= 400]))
					}
					_, _ = io.WriteString(nc, text)
					time.Sleep(20 * time.Millisecond)
					return endConn(nc, ba.reset)
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

// halfHeads are heads of responses with different framing, whose ends are cut off; %s stands for the ID and the signature.
var halfHeads = []struct{ name, text string }{
	{"with a length", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 12\r\n\r\n"},
	{"in chunks", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"without a length", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n\r\n"},
	{"with a length of 0", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 0\r\nServer-Signature: %s\r\n\r\n"},
	{"after interim responses", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 0\r\n\r\n"},
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
			for number, hh := range halfHeads {
				var mu sync.Mutex
				position, reached := 0, 0
				reset := false
				fp := wo.addPair(fmt.Sprint("half-", number), tc.service, func(nc net.Conn, rq *http.Request, _ int) bool {
					id := rq.Header.Get(stand.HeaderRequestID)
					text := fmt.Sprintf(hh.text, id, stand.Sign(http.StatusOK, id, ""))
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
						tt.Errorf("%s, cut after some %d bytes (reset: %t): the caller got the status %d and %q (complete: %t), want no success", hh.name, position, reset, got.status, got.body, got.complete)
					}
				}
				mu.Lock()
				tt.Logf("%s: %d requests reached the endpoints", hh.name, reached)
				mu.Unlock()
				wo.removePair(fp)
			}
		})
	}
}
