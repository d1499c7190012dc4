package turn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	testService = "service"
	// testRate is the number of completions a second in the tests.
	testRate = 100
	// warmTime is the time from which on the rate is known.
	warmTime = 3 * time.Second
)

// complete records testRate completions a second up to the given time.
func complete(sc *Schedule, from, to time.Duration) {
	const interval = time.Second / testRate
	for at := (from + interval - 1) / interval * interval; at < to; at += interval {
		sc.Complete(at, testService, "")
	}
}

// TestHerdOfRefusedCallers guards against callers that are refused at once and told to come back at once, and against delays that callers ignore.
func TestHerdOfRefusedCallers(tt *testing.T) {
	for _, left := range []time.Duration{300 * time.Millisecond, time.Second, 6 * time.Second, 12 * time.Second} {
		tt.Run(left.String(), func(tt *testing.T) {
			sc := New()
			complete(sc, 0, warmTime)
			returns := map[time.Duration]int{}
			longest := time.Duration(honoredShare * float64(left))
			reserved := 0
			for content := range uint64(400) {
				sl := sc.Refuse(warmTime, Caller{Service: testService, Team: fmt.Sprint(content % 7), Content: content, TimeLeft: left})
				if sl.Delay > longest || sl.Delay < min(longest, minDelay) {
					tt.Fatalf("the delay is %s, want %s to %s", sl.Delay, minDelay, longest)
				}
				if sl.Reserved {
					reserved++
					returns[(warmTime+sl.Delay)/(100*time.Millisecond)]++
				}
			}
			// The seven teams leave the share of one more team free.
			if want := int(testRate*returnShare*(longest-min(longest, minDelay)).Seconds()*7/8) - 1; reserved < want {
				tt.Errorf("%d of the callers have a slot, want at least %d", reserved, want)
			}
			for at, count := range returns {
				if limit := int(testRate*returnShare/10) + 3; count > limit {
					tt.Errorf("%d callers come back in 100 ms from %s on, want at most %d", count, at*100*time.Millisecond, limit)
				}
			}
		})
	}
}

// TestHerdThatShouldReturnLater guards against callers that are all told the maximum delay since it is shorter than the useful one.
func TestHerdThatShouldReturnLater(tt *testing.T) {
	const callers = 400
	sc := New()
	complete(sc, 0, warmTime)
	delays := map[time.Duration]int{}
	for content := range uint64(callers) {
		sl := sc.Refuse(warmTime, Caller{Service: testService, Team: "team", Tokens: true, Content: content, TimeLeft: 2500 * time.Millisecond, Soonest: 3 * time.Second})
		delays[sl.Delay/(25*time.Millisecond)]++
	}
	for at, count := range delays {
		if count > callers/4 {
			tt.Errorf("%d of %d callers come back within 25 ms from %s on", count, callers, at*25*time.Millisecond)
		}
	}
}

// TestCallersThatRepeatAtOnce guards against a caller that ignores its delay: it must gain no precedence by it, and take no slots of others.
func TestCallersThatRepeatAtOnce(tt *testing.T) {
	served := func(repeats int) (others, early int) {
		sc := New()
		complete(sc, 0, warmTime)
		for content := range uint64(60) {
			at := warmTime + time.Duration(content)*10*time.Millisecond
			complete(sc, at, at+10*time.Millisecond)
			if sc.Refuse(at, Caller{Service: testService, Team: "other", Content: 1 + content, TimeLeft: 6 * time.Second}).Reserved {
				others++
			}
			for range repeats {
				if at < warmTime+minDelay && sc.Arrive(at, 0) {
					early++
				}
				sc.Refuse(at, Caller{Service: testService, Team: "repeating", Content: 0, TimeLeft: 6 * time.Second})
			}
		}
		return others, early
	}
	alone, _ := served(0)
	others, early := served(20)
	if others < alone-maxRepeats || alone < 40 {
		tt.Errorf("%d callers have a slot beside one that repeats, and %d without it", others, alone)
	}
	if early > 0 {
		tt.Errorf("%d early returns have precedence, want none", early)
	}
}

// TestMixedRanksWithHotTeam guards against a team with ten times the refusals of the others that takes their slots, and against urgent callers that wait longer
// than the others.
func TestMixedRanksWithHotTeam(tt *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sc := New()
	complete(sc, 0, warmTime)
	var refused, reserved [3]int
	var delays [3]time.Duration
	for ix := range 1500 {
		at := warmTime + time.Duration(ix)*4*time.Millisecond
		complete(sc, at, at+4*time.Millisecond)
		ca := Caller{Service: testService, Team: "hot", Content: random.Uint64(), Rank: 2, TimeLeft: 6 * time.Second}
		kind := 2
		if ix%10 == 0 {
			kind = ix / 10 % 2
			ca.Team, ca.Rank = fmt.Sprint("team-", ix/10%5), 2*kind
		}
		sl := sc.Refuse(at, ca)
		refused[kind]++
		delays[kind] += sl.Delay
		if sl.Reserved {
			reserved[kind]++
		}
	}
	for kind, name := range []string{"urgent", "others"} {
		if reserved[kind]*10 < refused[kind]*9 {
			tt.Errorf("%s: %d of %d have a slot, want nine tenths", name, reserved[kind], refused[kind])
		}
	}
	if urgent, hot := delays[0]/time.Duration(refused[0]), delays[2]/time.Duration(refused[2]); urgent >= hot/2 {
		tt.Errorf("urgent callers come back after %s, and those of the hot team after %s", urgent, hot)
	}
}

// TestTwoInstancesShareService guards against callers that are not recognized at the instance where they come back, although its peer told it of them, and
// against those that have precedence twice.
func TestTwoInstancesShareService(tt *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	first, second := New(), New()
	complete(first, 0, warmTime)
	type result struct{ Early, Due, Twice, Lost int }
	var got, want result
	for content := range uint64(50) {
		sl := first.Refuse(warmTime, Caller{Service: testService, Content: content, TimeLeft: 6 * time.Second})
		lost := random.IntN(5) == 0
		if !lost {
			second.Expect(warmTime, content, sl.Delay)
			want.Due++
		}
		at := warmTime + sl.Delay
		count := func(sc *Schedule, at time.Duration, to *int) {
			if sc.Arrive(at, content) {
				*to++
			}
		}
		count(second, at-50*time.Millisecond, &got.Early)
		if lost {
			count(second, at, &got.Lost)
		} else {
			count(second, at, &got.Due)
		}
		count(second, at, &got.Twice)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		tt.Error(diff)
	}
	second.Arrive(time.Minute, 0)
	if second.Expected() != 0 {
		tt.Errorf("%d returns are expected long after their time", second.Expected())
	}
}
