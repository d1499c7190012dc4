package place

import (
	"slices"
	"time"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

const (
	// rejectionSpan is the span in which a brittle endpoint can reject the number of requests that it names.
	rejectionSpan = time.Second
	// rejectionShare is the share of that number at which all instances stop to send requests to the endpoint. The rest is for requests that are under
	// way when the others hear of a rejection.
	rejectionShare = 0.5
	// maxRejectionPause bounds the time for which an instance sends no requests to a brittle endpoint after a rejection.
	maxRejectionPause = 3 * time.Second
	// replaceTime is the time after the end of a request in which this instance can take the slot again. Others do not know yet that it is free.
	replaceTime = 1000 * time.Millisecond
	// maxBrittleLoadAge is the age from which a reported load says nothing about the room of a brittle endpoint.
	maxBrittleLoadAge = 8 * time.Second
	// brittleServiceTime is how long an endpoint counts as brittle because others of its service have said that they are.
	brittleServiceTime = 10 * time.Second
	// fallTime is the time after a rejection in which the crash of a brittle endpoint counts as its fall.
	fallTime = 2 * time.Second
	// fullRetryAfter is the Retry-After delay if no brittle endpoint has room; slots become free about as often.
	fullRetryAfter = 400 * time.Millisecond
)

// Brittleness is what an endpoint says of its brittleness: it falls over if it has to reject more than PerSecond requests within a second.
type Brittleness struct {
	// Brittle is true if the endpoint is brittle.
	Brittle bool
	// PerSecond is the number of requests a second.
	PerSecond int
}

// brittleState is what an instance knows of a brittle endpoint.
type brittleState struct {
	// Brittleness is what the endpoint or, if that is newer, another one of its service has said.
	Brittleness
	// stated is what the endpoint itself last said, and statedAt the time, zero if it has said nothing.
	stated   Brittleness
	statedAt time.Duration
	// rejectedAt holds the times of the rejections of all instances, as far as they are known, within rejectionSpan.
	rejectedAt []time.Duration
	// lastRejectedAt is the time of the last one.
	lastRejectedAt time.Duration
	// pausedAt is the start, and pausedUntil the end of the pause after a rejection.
	pausedAt    time.Duration
	pausedUntil time.Duration
	// freedAt holds the ends of requests whose slots this instance has not taken again.
	freedAt []time.Duration
	// nextGrowthAt is the earliest time at which this instance may take one more slot of an endpoint that is nearly full.
	nextGrowthAt time.Duration
	// unanswered is the number of this instance's requests at the endpoint that have no response yet, so that they may still be rejected.
	unanswered int
	// shareCache holds the slots of the endpoint that belong to this instance.
	shareCache shareCache
}

// brittleService is the last statement of any endpoint of a service that it is brittle.
type brittleService struct {
	Brittleness
	at time.Duration
	// since is the time of the first one without a pause of brittleServiceTime.
	since time.Duration
}

// brittleness returns what is known of an endpoint's brittleness. Endpoints of a service are usually brittle together, and a large fleet hears little of
// each, so an endpoint that has said nothing since others began to say that they are brittle counts as brittle, too. So does a process that has just
// started.
func (ba *Balancer) brittleness(now time.Duration, service string, br *brittleState) Brittleness {
	bs, ok := ba.brittle[service]
	if !ok || now-bs.at > brittleServiceTime || (br.statedAt > 0 && br.statedAt >= bs.since) {
		return br.stated
	}
	return bs.Brittleness
}

// updateBrittleness updates what is known of an endpoint's brittleness.
func (ba *Balancer) updateBrittleness(now time.Duration, st *state) {
	if len(ba.brittle) == 0 {
		st.brittle.Brittleness = st.brittle.stated
		return
	}
	st.brittle.Brittleness = ba.brittleness(now, st.endpoint.Service, &st.brittle)
}

// room is the kind of room that an endpoint has for a request.
type room uint8

const (
	// noRoom means that the endpoint must get no request.
	noRoom room = iota
	// certainRoom means that the endpoint is not brittle, that the request takes a slot of this instance, or that the endpoint is far from full.
	certainRoom
	// ownRoom means that a request of this instance has just ended there.
	ownRoom
	// growthRoom means that a slot seems to be free, which others may see, too.
	growthRoom
)

// freeSlots returns the number of slots of an endpoint that are free as far as this instance knows.
func (st *state) freeSlots(now time.Duration, se *plan.Service) int {
	free := slotsOf(st, se) - st.running
	if st.loadAt > 0 && now-st.loadAt <= maxBrittleLoadAge {
		free -= max(0, st.load.Running+st.load.Waiting-st.runningAtLoad)
	}
	return free
}

// room returns the kind of room for a request, as far as this instance knows, and draws the time of the next growth if there is none. A brittle endpoint never gets more requests than it has slots. Each slot
// belongs to one instance (see fleet.share), which can always take it. An instance also replaces its own requests that have ended. It takes further slots if
// all instances could do so at the same time, or so rarely that all together cause at most half of the rejections that the endpoint bears.
func (st *state) room(now time.Duration, se *plan.Service, fl *fleet) room {
	br := &st.brittle
	if !br.Brittle {
		return certainRoom
	}
	slots, free, instances := slotsOf(st, se), st.freeSlots(now, se), fl.instances
	share := fl.share(&br.shareCache, st.endpoint.ID, slots)
	freed := slices.ContainsFunc(br.freedAt, func(at time.Duration) bool { return now-at <= replaceTime })
	switch {
	case free <= 0:
		return noRoom
	case freed:
		return ownRoom
	case st.running < share && now-br.pausedAt >= rejectionSpan/2 && br.unanswered < share:
		return certainRoom
	case now < br.pausedUntil || br.unanswered >= max(1, free/(2*instances)):
		return noRoom
	case free >= (slots+1)/2 && fl.quiet(st.endpoint.Service, now, slots):
		return certainRoom
	case free >= min(2*instances, (slots+1)/2) && float64(free)+rejectionShare*float64(br.PerSecond) >= float64(instances):
		return certainRoom
	case br.mayGrow(now, fl):
		return growthRoom
	default:
		return noRoom
	}
}

// growthInterval returns the mean time between two growths of one instance.
func (br *brittleState) growthInterval(instances int) time.Duration {
	return time.Duration(float64(rejectionSpan) * float64(instances) / (rejectionShare * float64(max(1, br.PerSecond))))
}

// mayGrow reports whether this instance may take one more slot now. Instances that could have done so for long would all do so when the load rises, so an
// opportunity that is not used within rejectionSpan expires. No more instances than the rejections that they may cause then have one at the same time.
func (br *brittleState) mayGrow(now time.Duration, fl *fleet) bool {
	if interval := br.growthInterval(fl.instances); br.nextGrowthAt == 0 || now > max(br.nextGrowthAt, br.pausedUntil)+rejectionSpan {
		br.nextGrowthAt = now + time.Duration(fl.random.Int64N(int64(interval)))
	}
	return now >= br.nextGrowthAt
}

// takeRoom records that a request takes room at the endpoint.
func (st *state) takeRoom(now time.Duration, se *plan.Service, fl *fleet) {
	br := &st.brittle
	switch st.room(now, se, fl) {
	case ownRoom:
		br.freedAt = br.freedAt[1:]
	case growthRoom:
		interval := br.growthInterval(fl.instances)
		br.nextGrowthAt = now + interval/2 + time.Duration(fl.random.Int64N(int64(interval)))
	case noRoom, certainRoom:
	}
}

// free records that a request of this instance has ended.
func (br *brittleState) free(now time.Duration) {
	if !br.Brittle {
		return
	}
	br.freedAt = append(slices.DeleteFunc(br.freedAt, func(at time.Duration) bool { return now-at > replaceTime }), now)
}

// recordRejection records that the endpoint has rejected a request of any instance.
func (br *brittleState) recordRejection(now time.Duration, fl *fleet) {
	br.rejectedAt = slices.DeleteFunc(br.rejectedAt, func(at time.Duration) bool { return now-at >= rejectionSpan })
	br.rejectedAt = append(br.rejectedAt, now)
	br.lastRejectedAt = now
	if !br.Brittle || float64(len(br.rejectedAt)) < rejectionShare*float64(br.PerSecond) {
		return
	}
	// All instances stop at the same time, so they must not go on at the same time.
	spread := min(maxRejectionPause, rejectionSpan*time.Duration(fl.instances)/time.Duration(max(1, br.PerSecond)))
	br.pausedAt = now
	br.pausedUntil = now + rejectionSpan + time.Duration(fl.random.Int64N(int64(spread)+1))
}

// RecordBrittleness records what the endpoint's response says of its brittleness, and reports whether this instance believed something else.
func (at *Attempt) RecordBrittleness(now time.Duration, service string, br Brittleness) bool {
	ba := at.balancer
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st := &at.state.brittle
	changed := st.stated != br
	st.Brittleness, st.stated, st.statedAt = br, br, now
	switch bs, ok := ba.brittle[service]; {
	case br.Brittle && ok && now-bs.at <= brittleServiceTime:
		ba.brittle[service] = brittleService{Brittleness: br, at: now, since: bs.since}
	case br.Brittle:
		ba.brittle[service] = brittleService{Brittleness: br, at: now, since: now}
	case changed:
		delete(ba.brittle, service)
	}
	return changed
}

// RecordRejection records that the endpoint has rejected the request for want of room, and reports whether the peers should be notified.
func (at *Attempt) RecordRejection(now time.Duration) bool {
	ba := at.balancer
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at.state.brittle.recordRejection(now, &ba.fleet)
	return at.state.brittle.Brittle
}

// RecordPeerRejection records that a process of an endpoint has rejected the request of a peer.
func (ba *Balancer) RecordPeerRejection(now time.Duration, process string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if st := ba.stateOfProcess(process); st != nil {
		st.brittle.recordRejection(now, &ba.fleet)
	}
}

// RecordResponse records that the endpoint has begun to respond, so that it has not rejected the request unseen; further calls have no effect.
func (at *Attempt) RecordResponse() {
	at.balancer.mu.Lock()
	defer at.balancer.mu.Unlock()
	at.endUnanswered()
}

// endUnanswered ends the time in which the request may be rejected; the caller holds the lock.
func (at *Attempt) endUnanswered() {
	if !at.responded {
		at.responded = true
		at.state.brittle.unanswered--
	}
}

// FellOver reports whether a crash of the process may be the fall of a brittle endpoint, which no single request has caused.
func (ba *Balancer) FellOver(now time.Duration, process string) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st := ba.stateOfProcess(process)
	return st != nil && st.brittle.Brittle && st.brittle.lastRejectedAt > 0 && now-st.brittle.lastRejectedAt <= fallTime
}

// refuseFull refuses a request because no endpoint has room.
func (ba *Balancer) refuseFull(candidates int) Decision {
	return Decision{
		Reason:     "no brittle endpoint has room",
		RetryAfter: fullRetryAfter/2 + time.Duration(ba.fleet.random.Int64N(int64(fullRetryAfter))), Candidates: candidates,
	}
}
