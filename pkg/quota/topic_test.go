package quota

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

var errNoReply = eris.New("the topic did not reply")

// appendFault says how the next append fails, if it does.
type appendFault int

const (
	faultNone appendFault = iota
	// faultRefused makes the topic refuse the append.
	faultRefused
	// faultLost loses the append, so that it is not executed and gets no reply.
	faultLost
	// faultReplyLost executes the append, but loses the reply.
	faultReplyLost
	// faultLate loses the reply, and may execute the append later.
	faultLate
	// faultCount is the number of values.
	faultCount
)

// lateAppend is an append without a reply that may still be executed later.
type lateAppend struct {
	// at is the offset at which the topic must end.
	at   int64
	list []keyed.Record
}

// memTopic is a topic in memory. Its appends may be refused, lost, executed without a reply, or executed late.
type memTopic struct {
	records []keyed.Record
	// firstOffset is the offset of the first record that Read still returns; earlier ones are trimmed.
	firstOffset int64
	// nextFault is the fault of the next append.
	nextFault appendFault
	// late are the appends that may still be executed.
	late []lateAppend
	// unreachable holds the instances that cannot reach the topic.
	unreachable map[int]bool
	// era is the era of the store.
	era keyed.Era
	// times are the times at which the records were appended, by the clock, if there is one.
	times []time.Duration
	clock func() time.Duration
	// appendedAt is the time of the last append in a fleet.
	appendedAt time.Duration
}

// restore takes back the given number of records, at most all, and begins a new era.
func (to *memTopic) restore(count int) {
	end := max(0, len(to.records)-count)
	to.records = to.records[:end:end]
	if to.clock != nil {
		to.times = to.times[:end:end]
	}
	to.firstOffset = min(to.firstOffset, int64(end))
	to.era++
}

// recent returns the number of records that were appended within the given time.
func (to *memTopic) recent(age time.Duration) int {
	count := 0
	for count < len(to.times) && to.clock()-to.times[len(to.times)-1-count] <= age {
		count++
	}
	return count
}

// topicClient is one instance's access to the topic.
type topicClient struct {
	topic    *memTopic
	instance int
}

func (cl topicClient) Newest(context.Context) (keyed.Page, error) {
	if cl.topic.unreachable[cl.instance] {
		return keyed.Page{}, errNoReply
	}
	newest := map[string]keyed.Record{}
	var order []string
	for _, re := range cl.topic.records {
		if _, ok := newest[re.Key]; !ok {
			order = append(order, re.Key)
		}
		newest[re.Key] = re
	}
	pg := keyed.Page{Next: int64(len(cl.topic.records)), Era: cl.topic.era}
	for _, key := range order {
		pg.Records = append(pg.Records, newest[key])
	}
	return pg, nil
}

func (cl topicClient) Read(_ context.Context, from int64, _ time.Duration) (keyed.Page, error) {
	switch {
	case cl.topic.unreachable[cl.instance]:
		return keyed.Page{}, errNoReply
	case from < cl.topic.firstOffset, from > int64(len(cl.topic.records)):
		return keyed.Page{}, keyed.ErrTrimmed
	}
	list := cl.topic.records[from:]
	return keyed.Page{Records: list, Next: from + int64(len(list)), Era: cl.topic.era}, nil
}

func (cl topicClient) Append(_ context.Context, at int64, list []keyed.Record) (keyed.End, error) {
	to := cl.topic
	if to.unreachable[cl.instance] {
		return keyed.End{}, errNoReply
	}
	fault := to.nextFault
	to.nextFault = faultNone
	switch fault {
	case faultRefused:
		return keyed.End{}, keyed.ErrRefused
	case faultLost:
		return keyed.End{}, errNoReply
	case faultNone, faultReplyLost, faultCount:
	case faultLate:
		to.late = append(to.late, lateAppend{at: at, list: list})
		return keyed.End{}, errNoReply
	}
	if !to.add(at, list) {
		return keyed.End{}, keyed.ErrConflict
	}
	if fault == faultReplyLost {
		return keyed.End{}, errNoReply
	}
	return keyed.End{Offset: int64(len(to.records)), Era: to.era}, nil
}

func (to *memTopic) add(at int64, list []keyed.Record) bool {
	if at != int64(len(to.records)) {
		return false
	}
	to.records = append(to.records, list...)
	for range list {
		if to.clock != nil {
			to.times = append(to.times, to.clock())
		}
	}
	return true
}
