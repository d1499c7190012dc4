package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// stubLender lends tokens until it has none left.
type stubLender struct {
	left  int64
	asked int
}

func (sl *stubLender) Lend(_ context.Context, _ string, tokens int64) int64 {
	sl.asked++
	given := min(tokens, sl.left)
	sl.left -= given
	return given
}

// LendAhead lends at most half of what is left.
func (sl *stubLender) LendAhead(ctx context.Context, team string, tokens int64) int64 {
	return sl.Lend(ctx, team, min(tokens, sl.left/2))
}

func (sl *stubLender) AcceptReturn(_ string, tokens int64) { sl.left += tokens }

// TestBorrow checks that all holders of the team are asked for tokens until they have lent enough, and no other instances. Otherwise
// requests fail in an outage of the store, when the ceilings of the first holders forbid them to lend.
func TestBorrow(tt *testing.T) {
	type result struct {
		Got   int64
		Asked []int
	}
	cases := []struct {
		name string
		left []int64
		want result
	}{
		{"the first holder has enough", []int64{500, 500, 500, 500, 500}, result{100, []int{1, 0, 0, 0, 0}}},
		{"only the last holder can lend", []int64{0, 0, 0, 100, 500}, result{100, []int{1, 1, 1, 1, 0}}},
		{"each holder lends a part", []int64{10, 20, 30, 40, 500}, result{100, []int{1, 1, 1, 1, 0}}},
		{"the holders together have too little", []int64{10, 0, 0, 0, 500}, result{10, []int{1, 1, 1, 1, 0}}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return time.Second }})
			var holders []string
			var lenders []*stubLender
			for ix, left := range tc.left {
				sl := &stubLender{left: left}
				se := httptest.NewServer(NewServer(ServerConfig{Giver: sl}))
				tt.Cleanup(se.Close)
				name := fmt.Sprint("peer-", ix)
				data, err := json.Marshal(Member{Name: name, Address: strings.TrimPrefix(se.URL, "http://")})
				if err != nil {
					tt.Fatal(err)
				}
				me.ApplyAnnouncements([]keyed.Record{{Key: memberPrefix + name, Value: data}})
				lenders = append(lenders, sl)
				if ix < maxLenders {
					holders = append(holders, name)
				}
			}
			got := result{Got: me.Borrow(context.Background(), "team", 100, holders)}
			for _, sl := range lenders {
				got.Asked = append(got.Asked, sl.asked)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// TestBorrowAhead checks that a loan ahead takes parts of the surplus of several holders, and only until it has enough. If each holder were
// asked for the whole loan as for a waiting request, the first borrower would take what the others need.
func TestBorrowAhead(tt *testing.T) {
	cases := []struct {
		name           string
		tokens, enough int64
		want           []int64
		got            int64
	}{
		{"the first holder lends enough", 100, 50, []int64{60, 120}, 60},
		{"the second holder adds a part", 200, 100, []int64{60, 60}, 120},
		{"the holders lend too little", 1000, 900, []int64{60, 60}, 120},
		{"the most negative number", math.MaxInt64, math.MaxInt64, []int64{60, 60}, 120},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return time.Second }})
			lenders := []*stubLender{{left: 120}, {left: 120}}
			names := []string{"peer-0", "peer-1"}
			for ix, sl := range lenders {
				se := httptest.NewServer(NewServer(ServerConfig{Giver: sl}))
				tt.Cleanup(se.Close)
				data, err := json.Marshal(Member{Name: names[ix], Address: strings.TrimPrefix(se.URL, "http://")})
				if err != nil {
					tt.Fatal(err)
				}
				me.ApplyAnnouncements([]keyed.Record{{Key: memberPrefix + names[ix], Value: data}})
			}
			got := me.BorrowAhead(context.Background(), "team", tc.tokens, tc.enough, names)
			if diff := cmp.Diff(tc.got, got); diff != "" {
				tt.Error(diff)
			}
			if diff := cmp.Diff(tc.want, []int64{lenders[0].left, lenders[1].left}); diff != "" {
				tt.Error(diff)
			}
		})
	}
}

// TestReturn returns tokens to a known and to an unknown peer.
func TestReturn(tt *testing.T) {
	sl := &stubLender{left: 5}
	se := httptest.NewServer(NewServer(ServerConfig{Giver: sl}))
	tt.Cleanup(se.Close)
	me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return time.Second }})
	data, err := json.Marshal(Member{Name: "peer", Address: strings.TrimPrefix(se.URL, "http://")})
	if err != nil {
		tt.Fatal(err)
	}
	me.ApplyAnnouncements([]keyed.Record{{Key: memberPrefix + "peer", Value: data}})
	if err := me.Return(context.Background(), "peer", "team", 30); err != nil {
		tt.Fatal(err)
	}
	if err := me.Return(context.Background(), "stranger", "team", 30); err == nil {
		tt.Error("tokens were returned to an unknown peer")
	}
	if diff := cmp.Diff(int64(35), sl.left); diff != "" {
		tt.Error(diff)
	}
}

// TestExpiredMembers checks that an instance that ended without a withdrawal expires while others repeat their announcements, and that no
// instance expires while the store is unreachable.
func TestExpiredMembers(tt *testing.T) {
	now := time.Second
	me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return now }})
	announce := func(names ...string) {
		for _, name := range names {
			data, err := json.Marshal(Member{Name: name, Address: "127.0.0.1:1"})
			if err != nil {
				tt.Fatal(err)
			}
			me.ApplyAnnouncements([]keyed.Record{{Key: memberPrefix + name, Value: data}})
		}
	}
	steps := []struct {
		name string
		do   func()
		want []string
	}{
		{"three announce themselves", func() { announce("a", "b", "c") }, []string{"a", "b", "c", "self"}},
		{"one withdraws", func() { me.ApplyAnnouncements([]keyed.Record{{Key: memberPrefix + "c"}}) }, []string{"a", "b", "self"}},
		{"an outage of the store for an hour", func() { now += time.Hour }, []string{"a", "b", "self"}},
		{"the first announces itself after the outage", func() { announce("a") }, []string{"a", "b", "self"}},
		{"so does the second", func() { now += AnnounceInterval; announce("b") }, []string{"a", "b", "self"}},
		{"the first stops announcing itself", func() {
			for range 4 {
				now += AnnounceInterval
				announce("b")
			}
		}, []string{"b", "self"}},
		{"the first announces itself again", func() { announce("a") }, []string{"a", "b", "self"}},
	}
	for _, st := range steps {
		st.do()
		if diff := cmp.Diff(st.want, me.Members()); diff != "" {
			tt.Errorf("after step %q, the members differ (-want +got):\n%s", st.name, diff)
		}
	}
}

// TestWithdrawnMemberOfRestoredStore lets the store come back from a copy with the announcement of an instance that has stopped since, and of one that
// has restarted since.
func TestWithdrawnMemberOfRestoredStore(tt *testing.T) {
	me := New(Config{Self: Member{Name: "self"}, Clock: func() time.Duration { return time.Second }})
	announce := func(name string, incarnation int64) keyed.Record {
		data, err := json.Marshal(Member{Name: name, Address: "127.0.0.1:1", Incarnation: incarnation})
		if err != nil {
			tt.Fatal(err)
		}
		return keyed.Record{Key: memberPrefix + name, Value: data}
	}
	inCopy := []keyed.Record{announce("stopped", 1), announce("restarted", 1), announce("running", 1), announce("old-build", 0)}
	me.ApplyAnnouncements(inCopy)
	me.ApplyAnnouncements([]keyed.Record{
		{Key: memberPrefix + "stopped"}, {Key: memberPrefix + "restarted"}, announce("restarted", 2), {Key: memberPrefix + "old-build"},
	})
	me.RestoreAnnouncements(inCopy)
	if diff := cmp.Diff([]string{"old-build", "restarted", "running", "self"}, me.Members()); diff != "" {
		tt.Errorf("members (-want +got): %s", diff)
	}
	me.ApplyAnnouncements([]keyed.Record{announce("stopped", 2)})
	if diff := cmp.Diff([]string{"old-build", "restarted", "running", "self", "stopped"}, me.Members()); diff != "" {
		tt.Errorf("members after the stopped instance has started again (-want +got): %s", diff)
	}
}
