package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/clementineweir/clementineweir/internal/config"
	"github.com/clementineweir/clementineweir/internal/fakes"
	"github.com/clementineweir/clementineweir/pkg/oplog"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// newInstantRunner returns the handler of a model runner that sends the given number of events without delay, so that a benchmark measures
// only the routing overhead.
func newInstantRunner(events int) http.Handler {
	complete := []byte(`{"id":"x","choices":[{"index":0,"message":{"role":"assistant","content":"yes"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`)
	event := []byte("data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n")
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		body, _ := io.ReadAll(rq.Body)
		if !bytes.Contains(body, []byte(`"stream":true`)) {
			wr.Header().Set("Content-Type", "application/json")
			_, _ = wr.Write(complete)
			return
		}
		wr.Header().Set("Content-Type", "text/event-stream")
		for range events {
			_, _ = wr.Write(event)
			wr.(http.Flusher).Flush()
		}
		_, _ = wr.Write([]byte("data: [DONE]\n\n"))
	})
}

// bench is one instance in front of one instant runner on loopback.
type bench struct {
	direct string
	routed string
	client *http.Client
}

func newBench(tb testing.TB, events int) *bench {
	tb.Helper()
	runner := listenAny(tb)
	serveOn(tb, runner, newInstantRunner(events))
	log := fakes.NewLog()
	platform := listenAny(tb)
	serveOn(tb, platform, fakes.NewPlatform(log, fakes.NewList()))
	de, _ := fakes.FindDeployment("birligi")
	ti := de.Ticket(func(int) string { return runner.Addr().String() })
	ti.Endpoints = []ticket.Endpoint{{Name: "m", Address: "http://" + runner.Addr().String(), Domain: "d", Models: []string{fakes.ExampleModel}, Slots: 1 << 15}}
	data, _ := record.EncodeEntry(record.Entry{Ticket: &ti})
	if _, err := log.Append(context.Background(), oplog.MainStream, data); err != nil {
		tb.Fatal(err)
	}
	se := config.Defaults()
	se.TLS.PlainText = true
	se.Instance.DrainGrace = 0
	se.Platform.LogAddress = "http://" + platform.Addr().String()
	for _, to := range []*string{&se.Instance.CallerAddress, &se.Instance.OperatorAddress, &se.Instance.PeerAddress} {
		li := listenAny(tb)
		*to = li.Addr().String()
		_ = li.Close()
	}
	da, err := New(Config{Settings: se, Network: NewSystemNetwork(), Clock: NewSystemClock(), Logger: logr.Discard()})
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- da.Run(ctx) }()
	tb.Cleanup(func() { cancel(); <-done })
	for !da.Ready() {
		time.Sleep(time.Millisecond)
	}
	be := &bench{direct: "http://" + runner.Addr().String(), routed: "http://" + se.Instance.CallerAddress}
	be.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	be.call(tb, be.routed, false)
	time.Sleep(time.Second)
	return be
}

func listenAny(tb testing.TB) net.Listener {
	tb.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return li
}

func serveOn(tb testing.TB, li net.Listener, ha http.Handler) {
	se := &http.Server{Handler: ha, ReadHeaderTimeout: time.Second}
	go func() { _ = se.Serve(li) }()
	tb.Cleanup(func() { _ = se.Close() })
}

func (be *bench) call(tb testing.TB, base string, stream bool) {
	body := fmt.Sprintf(`{"model":"weir-large","stream":%t,"messages":[{"role":"user","content":"Is the dossier complete?"}]}`, stream)
	rq, _ := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	rq.Header.Set("Authorization", "Bearer "+fakes.ExampleKey)
	rs, err := be.client.Do(rq)
	if err != nil {
		tb.Fatal(err)
	}
	defer rs.Body.Close()
	if _, err := io.Copy(io.Discard, rs.Body); err != nil || rs.StatusCode != http.StatusOK {
		tb.Fatalf("the call got the status %d (read error: %v)", rs.StatusCode, err)
	}
}

// BenchmarkWhole compares a call with a complete response through an instance with a direct call to the same runner.
func BenchmarkWhole(bb *testing.B) {
	be := newBench(bb, 0)
	for _, way := range []struct{ name, base string }{{"direct", be.direct}, {"routed", be.routed}} {
		bb.Run(way.name, func(bb *testing.B) {
			bb.ReportAllocs()
			for bb.Loop() {
				be.call(bb, way.base, false)
			}
		})
	}
}

// BenchmarkStream compares a stream of 1,000 chunks through an instance with a direct call to the same runner.
func BenchmarkStream(bb *testing.B) {
	const events = 1000
	be := newBench(bb, events)
	for _, way := range []struct{ name, base string }{{"direct", be.direct}, {"routed", be.routed}} {
		bb.Run(way.name, func(bb *testing.B) {
			bb.ReportAllocs()
			for bb.Loop() {
				be.call(bb, way.base, true)
			}
			bb.ReportMetric(float64(bb.Elapsed().Nanoseconds())/float64(bb.N)/events, "ns/chunk")
		})
	}
}
