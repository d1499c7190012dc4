package limit

import (
	"maps"
	"time"
)

// maxReturn bounds the time after which a refused caller should return.
const maxReturn = 30 * time.Second

// Returns spreads the return of callers that were refused because all endpoints of a service are at their limits. The zero value is ready.
type Returns struct {
	// next holds the time at which the last refused caller of each team returns.
	next map[string]time.Duration
}

// After returns the time after which a caller of the team should return, given the number of requests a second that can be served. Teams with
// refused callers take equal shares of it, so that one with many does not delay the others.
func (re *Returns) After(now time.Duration, team string, perSecond float64) time.Duration {
	if re.next == nil {
		re.next = map[string]time.Duration{}
	}
	maps.DeleteFunc(re.next, func(name string, at time.Duration) bool { return name != team && at <= now })
	teams := len(re.next)
	if _, ok := re.next[team]; !ok {
		teams++
	}
	interval := time.Duration(float64(teams) / UsableRate(perSecond) * float64(time.Second))
	at := min(max(now, re.next[team])+interval, now+maxReturn)
	re.next[team] = at
	return at - now
}
