package mesh

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// newTestNotifier returns an instance's mesh and its running notifier on a loopback socket, and the record that announces the instance.
func newTestNotifier(tt *testing.T, name string, receive func(Notice)) (*Mesh, *Notifier, keyed.Record) {
	tt.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		tt.Fatal(err)
	}
	me := New(Config{Self: Member{Name: name, Address: socket.LocalAddr().String()}, Clock: func() time.Duration { return time.Second }})
	no := me.NewNotifier(socket, receive)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- no.RunSend(ctx) }()
	go func() { done <- no.RunReceive(ctx) }()
	tt.Cleanup(func() {
		stop()
		for range 2 {
			if err := <-done; err != nil {
				tt.Error(err)
			}
		}
	})
	data, err := json.Marshal(me.config.Self)
	if err != nil {
		tt.Fatal(err)
	}
	return me, no, keyed.Record{Key: memberPrefix + name, Value: data}
}

// TestNotices sends a notice from one instance to another; invalid datagrams are ignored.
func TestNotices(tt *testing.T) {
	got := make(chan Notice, 1)
	_, _, second := newTestNotifier(tt, "second", func(nt Notice) { got <- nt })
	me, no, _ := newTestNotifier(tt, "first", func(Notice) {})
	me.ApplyAnnouncements([]keyed.Record{second})
	if _, err := no.socket.WriteTo([]byte("no notice"), me.noticeAddrs()[0]); err != nil {
		tt.Fatal(err)
	}
	want := Notice{Endpoint: "endpoint-1", UncachedTokens: 12_000}
	if !no.Send(want) {
		tt.Fatal("the queue is full before any notice was sent")
	}
	if diff := cmp.Diff(want, <-got); diff != "" {
		tt.Error(diff)
	}
}

// TestNoticesNeverBlock sends more notices than the queue holds: the excess notices are dropped, and Send reports false for them.
func TestNoticesNeverBlock(tt *testing.T) {
	no := New(Config{}).NewNotifier(nil, nil)
	sent := 0
	for range noticeQueue + 10 {
		if no.Send(Notice{}) {
			sent++
		}
	}
	if diff := cmp.Diff(noticeQueue, sent); diff != "" {
		tt.Error(diff)
	}
}

// TestNoticeSampling checks that in a large fleet each notice goes to a sample of distinct instances and counts for more tokens.
func TestNoticeSampling(tt *testing.T) {
	cases := []struct {
		name   string
		all    int
		chosen int
		want   int64
	}{
		{"a fleet within the bound", 30, 30, 1000},
		{"a fleet at the bound", maxNotified, maxNotified, 1000},
		{"ten times the bound", 10 * maxNotified, maxNotified, 10_000},
		{"no peers", 0, 0, 1000},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			var list []net.Addr
			for port := range tc.all {
				list = append(list, &net.UDPAddr{Port: port})
			}
			chosen := sample(list, maxNotified)
			seen := map[string]bool{}
			for _, at := range chosen {
				seen[at.String()] = true
			}
			if diff := cmp.Diff([]int{tc.chosen, tc.chosen}, []int{len(chosen), len(seen)}); diff != "" {
				tt.Error(diff)
			}
			if diff := cmp.Diff(tc.want, Notice{UncachedTokens: 1000}.scaled(len(chosen), tc.all).UncachedTokens); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
