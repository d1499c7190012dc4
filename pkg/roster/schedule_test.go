package roster

import (
	"fmt"
	"testing"
	"time"
)

const (
	// stopTime is the time within which no requests may be sent to a removed endpoint, and settleTime the time after a cut from which that holds.
	stopTime, settleTime = 2 * time.Second, 3 * time.Second
	// dialTime is the time until a connection to a silent store fails, and answerTime the time until the store answers.
	dialTime, answerTime = 500 * time.Millisecond, 2 * time.Millisecond
	// repeatTime is the time beyond its wait, and after a failed repetition, after which a read on a silent connection is repeated on a new one, and heldTime
	// the time beyond its wait after which it fails.
	repeatTime, heldTime = 300 * time.Millisecond, 1200 * time.Millisecond
)

// entry is the removal or the return of a registration in the store.
type entry struct {
	at      time.Duration
	present bool
}

// follower reads a store in virtual time as the roster schedules it.
type follower struct {
	ro *Roster
	// The store is unreachable from cutAt on, until cutEnd; silent is set if connections then hang instead of being refused.
	cutAt, cutEnd time.Duration
	silent        bool
	entries       []entry
	now           time.Duration
	read          int
}

// poll reads once and reports whether the store was reached.
func (fo *follower) poll(wait time.Duration) bool {
	begun := fo.now
	if fo.cutAt <= begun && begun < fo.cutEnd {
		if fo.silent {
			fo.now += dialTime
		}
		return false
	}
	fo.now += answerTime
	if fo.read == len(fo.entries) || fo.entries[fo.read].at > begun {
		fo.now = begun + wait + answerTime
		if fo.read < len(fo.entries) {
			fo.now = min(fo.now, fo.entries[fo.read].at+answerTime)
		}
	}
	if begun < fo.cutAt && fo.cutAt <= fo.now {
		fo.now = fo.cutAt
		if !fo.silent || !fo.repeat(begun+wait) {
			return false
		}
	}
	var list []Change
	for ; fo.read < len(fo.entries) && fo.entries[fo.read].at < fo.now; fo.read++ {
		if fo.entries[fo.read].present {
			list = append(list, *registered("a", 1, int64(2+fo.read)))
			continue
		}
		list = append(list, *ended("a"))
	}
	fo.ro.Apply(fo.now, list)
	return true
}

// repeat continues a read whose wait ended at the given time and whose connection fell silent, and reports whether the store answers it. What was sent in the cut is
// sent again on that connection, each time after twice as long a delay; the read is also repeated on new connections.
func (fo *follower) repeat(waited time.Duration) bool {
	sentAgain := fo.cutEnd + fo.cutEnd - fo.cutAt
	for fo.now = waited + repeatTime; fo.now < waited+heldTime; fo.now += dialTime + repeatTime {
		if sentAgain <= fo.now {
			break
		}
		if fo.now >= fo.cutEnd {
			fo.now += answerTime
			fo.ro.ReadFailed()
			return true
		}
	}
	if sentAgain < waited+heldTime {
		fo.now = sentAgain
		return true
	}
	fo.now = max(fo.now-repeatTime, waited+heldTime)
	return false
}

// run reads until the given time, and returns the times at which the endpoint became unusable and usable again.
func (fo *follower) run(until time.Duration) (gone, back time.Duration) {
	fo.ro.Apply(0, []Change{*registered("a", 1, 1)})
	var next Read
	for fo.now < until {
		begun := fo.now
		if fo.poll(next.Wait) {
			fo.ro.ReadSucceeded(fo.now)
		} else {
			fo.ro.ReadFailed()
		}
		usable := len(fo.ro.Usable("model")) > 0
		switch {
		case !usable && gone == 0:
			gone = fo.now
		case usable && gone > 0 && back == 0:
			back = fo.now
		}
		next = fo.ro.NextRead(begun, fo.now)
		fo.now += next.Pause
	}
	return gone, back
}

// TestRemovedEndpointAfterCut guards against requests to an endpoint whose registration was removed about the end of a cut: the first read afterwards waited for
// that removal, so that the registration seemed to have expired in an outage that had just ended.
func TestRemovedEndpointAfterCut(tt *testing.T) {
	for _, silent := range []bool{false, true} {
		for length := time.Second; length <= 8*time.Second; length += 700 * time.Millisecond {
			for cutAt := 5 * time.Second; cutAt < 7500*time.Millisecond; cutAt += 130 * time.Millisecond {
				for removedAt := cutAt - 300*time.Millisecond; removedAt < cutAt+length+5*time.Second; removedAt += 90 * time.Millisecond {
					fo := &follower{ro: New(), cutAt: cutAt, cutEnd: cutAt + length, silent: silent, entries: []entry{{at: removedAt}}}
					gone, back := fo.run(cutAt + length + 9*time.Second)
					limit := max(removedAt+stopTime, cutAt+length+settleTime)
					if gone == 0 || gone > limit || back > 0 {
						tt.Fatalf("cut from %s to %s (silent %t), removed at %s: got the endpoint unusable at %s and usable again at %s, want it unusable by %s", cutAt, cutAt+length, silent, removedAt, gone, back, limit)
					}
				}
			}
		}
	}
}

// TestExpiredEndpointAfterOutage guards against the loss of running endpoints whose registrations expired in an outage, or soon after it, and that register
// again within two seconds of its end.
func TestExpiredEndpointAfterOutage(tt *testing.T) {
	for _, silent := range []bool{false, true} {
		for length := minOutage + 200*time.Millisecond; length <= 8*time.Second; length += 700 * time.Millisecond {
			for cutAt := 5 * time.Second; cutAt < 7500*time.Millisecond; cutAt += 130 * time.Millisecond {
				end := cutAt + length
				for expiredAt := cutAt + 2400*time.Millisecond; expiredAt < end+1200*time.Millisecond; expiredAt += 90 * time.Millisecond {
					for backAt := max(expiredAt, end) + 50*time.Millisecond; backAt < end+recoveryGrace; backAt += 310 * time.Millisecond {
						fo := &follower{ro: New(), cutAt: cutAt, cutEnd: end, silent: silent, entries: []entry{{at: expiredAt}, {at: backAt, present: true}}}
						if gone, back := fo.run(end + 5*time.Second); gone > 0 {
							tt.Fatalf("outage from %s to %s (silent %t), expired at %s, registered again at %s: got the endpoint unusable from %s to %s, want it usable all the time", cutAt, end, silent, expiredAt, backAt, gone, back)
						}
					}
				}
			}
		}
	}
}

// TestReadsOfUnreachableStore checks that reads of an unreachable store are not repeated without a pause.
func TestReadsOfUnreachableStore(tt *testing.T) {
	for _, took := range []time.Duration{0, 100 * time.Millisecond, readPause, 3 * time.Second} {
		tt.Run(fmt.Sprint(took), func(tt *testing.T) {
			ro := New()
			ro.ReadFailed()
			begun := 7 * time.Second
			if got := ro.NextRead(begun, begun+took); took+got.Pause < readPause || got.Wait != 0 {
				tt.Errorf("got the next read %+v, want it at least %s after the start of the last one, without a wait", got, readPause)
			}
		})
	}
}
