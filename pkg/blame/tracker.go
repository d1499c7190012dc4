package blame

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashLimit is the number of processes of endpoints that a trait must have crashed to be blocked.
	crashLimit = 3
	// partContents is the number of different requests with the same part that must have crashed processes. The repeats of a single request
	// are blocked by their content; they do not show which of its parts is the cause.
	partContents = 2
	// partRepeats is the number of crashes by requests that were sent when a crash with the same part was known already. Several processes that
	// crash at once, as after a loss of power, show nothing about the parts of the requests that ran there.
	partRepeats = 2
	// partSlack is the number of crashes by which the evidence against two parts must differ to tell which of them is the cause. Crashes for
	// other reasons add to the evidence against parts that are not the cause.
	partSlack = 1
	// soundTime is how long a part is not suspected after an endpoint began to answer a request with it.
	soundTime = 2 * time.Second
	// blockTime is how long a trait stays blocked after its last crash. Then requests with it are let through again, until the next crash.
	blockTime = 10 * time.Minute
	// keepTime is how long a crash counts as evidence. It exceeds blockTime, so that after a block a single crash renews it.
	keepTime = 2 * blockTime
	// downTime is the time after the crash of a process in which it is expected to be down. What breaks there then says nothing about the requests that
	// were sent after the crash, unless the process has answered since.
	downTime = 3 * time.Second
	// maxDown bounds the processes that are expected to be down.
	maxDown = 4096
	// maxTraits bounds the traits with recorded crashes; the one whose last crash is oldest makes room for a new one.
	maxTraits = 1024
)

// Request identifies a request by what it has in common with others.
type Request struct {
	// Content is the hash of the whole request, equal for its repeats.
	Content uint64
	// Parts are the hashes of those parts that other requests may share.
	Parts []uint64
}

// Crash is the observation that a process of an endpoint crashed when it began to answer a request with a trait.
type Crash struct {
	// Trait is the hash of a part of the request, or the request's content.
	Trait uint64
	// Content is the content of the request.
	Content uint64
	// Process identifies the process of the endpoint.
	Process string
	// Repeated reports whether the request was sent when an earlier crash with the trait was known.
	Repeated bool
}

// evidence is one crash with a trait, as it was learned.
type evidence struct {
	content  uint64
	repeated bool
	at       time.Duration
}

// suspect holds the crashes with one trait by process.
type suspect struct {
	crashes map[string]evidence
	// since is the time at which the first crash was learned.
	since time.Duration
	// last is the time at which the newest crash was learned.
	last time.Duration
}

// block refuses requests that have all of its parts. More than one part means that the crashes do not tell yet which of them is the cause.
type block struct {
	parts []uint64
	until time.Duration
}

// Tracker holds the crashes that an instance knows of; it is not safe for concurrent use.
type Tracker struct {
	suspects map[uint64]*suspect
	// sound holds the time of the last answer that began, by part.
	sound map[uint64]time.Duration
	// prunedAt is the time when outdated entries of sound were last removed.
	prunedAt time.Duration
	blocks   []block
	// crashedAt holds the time of the last crash, by process, of those that have not answered since.
	crashedAt map[string]time.Duration
}

// New returns a tracker that knows of no crashes.
func New() *Tracker {
	return &Tracker{suspects: map[uint64]*suspect{}, sound: map[uint64]time.Duration{}, crashedAt: map[string]time.Duration{}}
}

// Blocked reports whether the request is expected to crash endpoints, and until when it is blocked.
func (tr *Tracker) Blocked(now time.Duration, rq Request) (time.Duration, bool) {
	if len(tr.suspects) == 0 {
		return 0, false
	}
	if su, ok := tr.suspects[rq.Content]; ok && len(su.crashes) >= crashLimit && now < su.last+blockTime {
		return su.last + blockTime, true
	}
	for _, bl := range tr.blocks {
		if now < bl.until && containsAll(rq.Parts, bl.parts) {
			return bl.until, true
		}
	}
	return 0, false
}

// RecordCrash records that a process crashed when it began to answer the request, and returns what other instances should learn of it. sentAt
// is the time when the request was sent to the process.
func (tr *Tracker) RecordCrash(now, sentAt time.Duration, rq Request, process string) []Crash {
	if at, ok := tr.crashedAt[process]; ok && sentAt >= at && now-at < downTime {
		return nil
	}
	tr.recordDown(now, process)
	list := make([]Crash, 0, len(rq.Parts)+1)
	for _, trait := range append([]uint64{rq.Content}, rq.Parts...) {
		cr := Crash{Trait: trait, Content: rq.Content, Process: process}
		if su, ok := tr.suspects[trait]; ok {
			cr.Repeated = sentAt > su.since
		}
		if tr.add(now, cr) {
			list = append(list, cr)
		}
	}
	tr.evaluate(now)
	return list
}

// RecordUp records that a process has answered.
func (tr *Tracker) RecordUp(process string) { delete(tr.crashedAt, process) }

// recordDown records that a process has crashed, or that a request which was sent before broke there.
func (tr *Tracker) recordDown(at time.Duration, process string) {
	if len(tr.crashedAt) >= maxDown {
		maps.DeleteFunc(tr.crashedAt, func(_ string, other time.Duration) bool { return at-other >= downTime })
	}
	if first, ok := tr.crashedAt[process]; !ok && len(tr.crashedAt) >= maxDown || ok && at-first < downTime {
		return
	}
	tr.crashedAt[process] = at
}

// Learn records a crash that another instance observed age ago, and reports whether it is new.
func (tr *Tracker) Learn(now, age time.Duration, cr Crash) bool {
	if age < downTime {
		tr.recordDown(now-max(0, age), cr.Process)
	}
	added := age < keepTime && tr.add(now-max(0, age), cr)
	if added {
		tr.evaluate(now)
	}
	return added
}

// Forget removes a crash that the instance which observed it has withdrawn.
func (tr *Tracker) Forget(now time.Duration, trait uint64, process string) {
	su, ok := tr.suspects[trait]
	if !ok {
		return
	}
	delete(su.crashes, process)
	if len(su.crashes) == 0 {
		delete(tr.suspects, trait)
	}
	tr.evaluate(now)
}

// RecordAnswer records that an endpoint began to answer the request without crashing. It returns the crashes that are refuted by it.
func (tr *Tracker) RecordAnswer(now time.Duration, rq Request) []Crash {
	tr.pruneSound(now)
	for _, part := range rq.Parts {
		tr.sound[part] = now
	}
	if len(tr.suspects) == 0 {
		return nil
	}
	var refuted []Crash
	for _, trait := range append([]uint64{rq.Content}, rq.Parts...) {
		su, ok := tr.suspects[trait]
		if !ok {
			continue
		}
		for process, ev := range su.crashes {
			refuted = append(refuted, Crash{Trait: trait, Content: ev.content, Process: process, Repeated: ev.repeated})
		}
		delete(tr.suspects, trait)
	}
	if len(refuted) > 0 {
		tr.evaluate(now)
	}
	return refuted
}

// Blocks returns the blocked combinations of parts.
func (tr *Tracker) Blocks(now time.Duration) [][]uint64 {
	var list [][]uint64
	for _, bl := range tr.blocks {
		if now < bl.until {
			list = append(list, slices.Clone(bl.parts))
		}
	}
	return list
}

// Crashes returns the number of processes that requests with the trait have crashed.
func (tr *Tracker) Crashes(trait uint64) int {
	if su, ok := tr.suspects[trait]; ok {
		return len(su.crashes)
	}
	return 0
}

// add records a crash, unless its trait is sound, and reports whether it is new.
func (tr *Tracker) add(at time.Duration, cr Crash) bool {
	if sound, ok := tr.sound[cr.Trait]; ok && at < sound+soundTime {
		return false
	}
	su, ok := tr.suspects[cr.Trait]
	if !ok {
		tr.makeRoom()
		su = &suspect{crashes: map[string]evidence{}, since: at, last: at}
		tr.suspects[cr.Trait] = su
	}
	if _, known := su.crashes[cr.Process]; known {
		return false
	}
	su.crashes[cr.Process] = evidence{content: cr.Content, repeated: cr.Repeated, at: at}
	su.since, su.last = min(su.since, at), max(su.last, at)
	return true
}

// makeRoom removes the trait whose last crash is oldest if there are too many.
func (tr *Tracker) makeRoom() {
	if len(tr.suspects) < maxTraits {
		return
	}
	oldest, first := uint64(0), true
	for trait, su := range tr.suspects {
		if first || su.last < tr.suspects[oldest].last {
			oldest, first = trait, false
		}
	}
	delete(tr.suspects, oldest)
}

func (tr *Tracker) pruneSound(now time.Duration) {
	if now-tr.prunedAt < soundTime {
		return
	}
	tr.prunedAt = now
	maps.DeleteFunc(tr.sound, func(_ uint64, at time.Duration) bool { return now-at >= soundTime })
}

// evaluate removes outdated crashes and computes the blocks anew.
//
// The parts with the most crashes come first. A part whose crashes they explain is not blocked: it occurred in the same requests, or in
// requests that ran beside them. If the evidence against two parts is nearly the same, only requests with both are blocked; a request with
// one of them then shows which one is the cause.
func (tr *Tracker) evaluate(now time.Duration) {
	tr.prune(now)
	tr.blocks = tr.blocks[:0]
	explained := map[string]bool{}
	var leaders []*suspect
	for _, trait := range tr.candidates() {
		su := tr.suspects[trait]
		if countOutside(su.crashes, explained) >= crashLimit {
			tr.blocks = append(tr.blocks, block{parts: []uint64{trait}, until: su.last + blockTime})
			leaders = append(leaders, su)
			for process := range su.crashes {
				explained[process] = true
			}
			continue
		}
		for ix, leader := range leaders {
			if indistinct(leader, su) {
				tr.blocks[ix].parts = append(tr.blocks[ix].parts, trait)
			}
		}
	}
}

func (tr *Tracker) prune(now time.Duration) {
	for trait, su := range tr.suspects {
		if now-su.since < keepTime {
			continue
		}
		maps.DeleteFunc(su.crashes, func(_ string, ev evidence) bool { return now-ev.at >= keepTime })
		if len(su.crashes) == 0 {
			delete(tr.suspects, trait)
			continue
		}
		su.since = now
		for _, ev := range su.crashes {
			su.since = min(su.since, ev.at)
		}
	}
}

// candidates returns the parts with enough evidence to be blocked, those with the most crashes first.
func (tr *Tracker) candidates() []uint64 {
	var list []uint64
	for trait, su := range tr.suspects {
		if len(su.crashes) >= crashLimit && su.sufficient() {
			list = append(list, trait)
		}
	}
	slices.SortFunc(list, func(aa, bb uint64) int {
		if diff := len(tr.suspects[bb].crashes) - len(tr.suspects[aa].crashes); diff != 0 {
			return diff
		}
		if aa < bb {
			return -1
		}
		return 1
	})
	return list
}

// sufficient reports whether the crashes were caused by enough different requests and repeats.
func (su *suspect) sufficient() bool {
	contents := map[uint64]bool{}
	repeats := 0
	for _, ev := range su.crashes {
		contents[ev.content] = true
		if ev.repeated {
			repeats++
		}
	}
	return len(contents) >= partContents && repeats >= partRepeats
}

// indistinct reports whether two parts have nearly the same crashes and occurred in the same request. The parts of requests that merely ran
// beside those with the leader occur in other requests.
func indistinct(leader, other *suspect) bool {
	missing, together := 0, false
	for process, ev := range leader.crashes {
		at, ok := other.crashes[process]
		if !ok {
			missing++
		}
		together = together || (ok && at.content == ev.content)
	}
	return together && missing <= partSlack
}

func countOutside(crashes map[string]evidence, explained map[string]bool) int {
	count := 0
	for process := range crashes {
		if !explained[process] {
			count++
		}
	}
	return count
}

func containsAll(list, all []uint64) bool {
	for _, val := range all {
		if !slices.Contains(list, val) {
			return false
		}
	}
	return true
}
