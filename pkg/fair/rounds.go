package fair

// Rounds numbers the requests in a queue so that teams take turns when the queue is ordered by these numbers: each request of a team gets the round after that
// of the team's previous request. The zero value belongs to an empty queue.
type Rounds struct {
	// last is the round of the last request queued by each team.
	last map[string]int64
	// floor is R-1, where R is the latest round of all requests that have left the queue since it was last empty. A team that queued nothing for a while
	// continues at round R or later. With a lower round, its requests would overtake those of all other teams.
	floor int64
}

// Next returns the round that the next request of a team would get.
func (ro *Rounds) Next(team string) int64 { return max(ro.last[team], ro.floor) + 1 }

// Add returns the round of a request that a team queues.
func (ro *Rounds) Add(team string) int64 {
	if ro.last == nil {
		ro.last = map[string]int64{}
	}
	round := ro.Next(team)
	ro.last[team] = round
	return round
}

// Leave records that a request with the given round has left the queue, which is empty now or not.
func (ro *Rounds) Leave(round int64, empty bool) {
	if empty {
		clear(ro.last)
		ro.floor = 0
		return
	}
	ro.floor = max(ro.floor, round-1)
}
