package turn

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestWaitingWithHotTeam guards against a team with many requests that go before those of others, and against requests that wait although it cannot help.
func TestWaitingWithHotTeam(tt *testing.T) {
	sc := New()
	complete(sc, 0, warmTime)
	names := map[*Place]string{}
	join := func(name, team string, rank int, returned bool, deadline, maxWait time.Duration) {
		pl := sc.Wait(warmTime, Waiter{Service: testService, Team: team, Rank: rank, Returned: returned, Deadline: deadline, MaxWait: maxWait})
		if pl != nil {
			names[pl] = name
		}
	}
	for _, name := range []string{"hot 1", "hot 2", "hot 3"} {
		join(name, "hot", 1, false, 5*time.Second, 100*time.Millisecond)
	}
	join("other", "other", 1, false, 4*time.Second, 100*time.Millisecond)
	join("returned", "hot", 1, true, 5*time.Second, 100*time.Millisecond)
	join("urgent", "hot", 0, false, 5*time.Second, 100*time.Millisecond)
	join("too late", "other", 2, false, 5*time.Second, 65*time.Millisecond)
	var got []string
	for range len(names) {
		sc.MakeRoom(testService)
		for pl, name := range names {
			select {
			case <-pl.Room():
				got = append(got, name)
				sc.Leave(pl)
			default:
			}
		}
	}
	if diff := cmp.Diff([]string{"urgent", "returned", "other", "hot 1", "hot 2", "hot 3"}, got); diff != "" {
		tt.Error(diff)
	}
}

// TestRoomTooSmallForFirst guards against a request that keeps room from those behind it although it cannot use it, also if it leaves.
func TestRoomTooSmallForFirst(tt *testing.T) {
	sc := New()
	var places []*Place
	for range maxTries + 2 {
		places = append(places, sc.Wait(0, Waiter{Service: testService, MaxWait: time.Minute}))
	}
	sc.MakeRoom(testService)
	got := 0
	for _, pl := range places {
		select {
		case passes := <-pl.Room():
			got++
			sc.Pass(pl, passes)
		default:
		}
	}
	if diff := cmp.Diff(maxTries, got); diff != "" {
		tt.Error(diff)
	}
	sc.MakeRoom(testService)
	sc.Leave(places[0])
	if len(places[1].Room()) != 1 {
		tt.Error("room offered to a request that left is not offered to the next one")
	}
}
