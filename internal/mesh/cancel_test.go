package mesh

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/keyed"
	"github.com/clementineweir/clementineweir/pkg/origin"
)

// TestCanceledCallIsNoFailure guards against peers that go into backoff because the caller no longer needs their answer: of two holders of a stream's origin that are
// asked at the same time, the slower one was then asked for nothing for two seconds.
func TestCanceledCallIsNoFailure(tt *testing.T) {
	cases := []struct {
		name string
		// wait is the time after which the caller cancels its call.
		wait    time.Duration
		backoff bool
	}{
		{"the caller cancels the call", 20 * time.Millisecond, false},
		{"the peer does not respond in time", 2 * callTimeout, true},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			release := make(chan struct{})
			se := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
			defer se.Close()
			defer close(release)
			me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return time.Second }})
			data, err := json.Marshal(Member{Name: "peer", Address: strings.TrimPrefix(se.URL, "http://")})
			if err != nil {
				tt.Fatal(err)
			}
			me.ApplyAnnouncements([]keyed.Record{{Key: memberPrefix + "peer", Value: data}})
			ctx, cancel := context.WithTimeout(context.Background(), tc.wait)
			defer cancel()
			if _, err := me.AskOrigin(ctx, "peer", origin.Key(1)); err == nil {
				tt.Fatal("got an answer from a peer that sends none")
			}
			if got := me.InBackoff("peer"); got != tc.backoff {
				tt.Errorf("the peer is in backoff: %t, want %t", got, tc.backoff)
			}
		})
	}
}
