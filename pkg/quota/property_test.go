package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

const (
	propertyInstances = 3
	propertyTeam      = "team"
	firstTotal        = 800
	stepTime          = 200 * time.Millisecond
)

var errSilent = eris.New("no answer")

// fate is what becomes of an append.
type fate int

const (
	fateOK fate = iota
	fateRefused
	fateLost
	fateAnswerLost
	fateLate
	fates
)

// lateAppend is an append that may still be executed.
type lateAppend struct {
	at   int64
	list []keyed.Record
}

// memTopic is a topic whose appends may be refused, lost, executed without an answer, or executed late.
type memTopic struct {
	records []keyed.Record
	first   int64
	next    fate
	late    []lateAppend
	cut     map[int]bool
}

// port is the topic as one instance reaches it.
type port struct {
	topic *memTopic
	owner int
}

func (po port) Newest(context.Context) (keyed.Page, error) {
	if po.topic.cut[po.owner] {
		return keyed.Page{}, errSilent
	}
	newest := map[string]keyed.Record{}
	var order []string
	for _, re := range po.topic.records {
		if _, ok := newest[re.Key]; !ok {
			order = append(order, re.Key)
		}
		newest[re.Key] = re
	}
	pg := keyed.Page{Next: int64(len(po.topic.records))}
	for _, key := range order {
		pg.Records = append(pg.Records, newest[key])
	}
	return pg, nil
}

func (po port) Read(_ context.Context, from int64, _ time.Duration) (keyed.Page, error) {
	switch {
	case po.topic.cut[po.owner]:
		return keyed.Page{}, errSilent
	case from < po.topic.first:
		return keyed.Page{}, keyed.ErrTrimmed
	}
	list := po.topic.records[from:]
	return keyed.Page{Records: list, Next: from + int64(len(list))}, nil
}

func (po port) Append(_ context.Context, at int64, list []keyed.Record) (int64, error) {
	to := po.topic
	if to.cut[po.owner] {
		return 0, errSilent
	}
	how := to.next
	to.next = fateOK
	switch how {
	case fateRefused:
		return 0, keyed.ErrRefused
	case fateLost:
		return 0, errSilent
	case fateOK, fateAnswerLost, fates:
	case fateLate:
		to.late = append(to.late, lateAppend{at: at, list: list})
		return 0, errSilent
	}
	if !to.add(at, list) {
		return 0, keyed.ErrConflict
	}
	if how == fateAnswerLost {
		return 0, errSilent
	}
	return int64(len(to.records)), nil
}

func (to *memTopic) add(at int64, list []keyed.Record) bool {
	if at != int64(len(to.records)) {
		return false
	}
	to.records = append(to.records, list...)
	return true
}

// holder is one instance of the test: a purse, its view, and what it really used.
type holder struct {
	world    *purseWorld
	index    int
	life     int64
	boot     time.Duration
	purse    *Shard
	view     *keyed.View
	reserved []int64
	// waiting is what the last request that was not covered waits for.
	waiting int64
}

func (ho *holder) Reset(list []keyed.Record) { ho.purse.Reset(ho.world.now, list) }

func (ho *holder) Apply(list []keyed.Record) { ho.purse.Apply(ho.world.now, list) }

// purseWorld runs holders against one topic under random faults.
type purseWorld struct {
	topic   *memTopic
	now     time.Duration
	holders []*holder
	total   int64
	most    int64
	used    int64
	lives   int64
	// members are the names that the instances know, or nil where all of them hold grants.
	members []string
}

func (wo *purseWorld) start(index int, boot time.Duration) {
	wo.lives++
	ho := &holder{world: wo, index: index, life: wo.lives, boot: boot}
	stamp := func() Stamp { return Stamp{Wall: time.UnixMilli(0).Add(wo.now), Boot: ho.boot + wo.now} }
	ho.purse = New(Config{Instance: fmt.Sprint("instance-", index), Incarnation: ho.life}, wo.now, stamp)
	ho.view = keyed.NewView(port{topic: wo.topic, owner: index}, ho)
	ho.purse.SetTotals(map[string]int64{propertyTeam: wo.total})
	ho.purse.SetMembers(wo.members)
	wo.holders[index] = ho
}

// step does what the loop of an instance does.
func (ho *holder) step(tt *rapid.T) { ho.slowStep(tt, func() {}) }

// slowStep does the same; meanwhile happens while its rows are on the way.
func (ho *holder) slowStep(tt *rapid.T, meanwhile func()) {
	if ho.view.Poll(context.Background(), 0) != nil {
		return
	}
	ba, err := ho.purse.Build(ho.world.now)
	if err != nil {
		tt.Fatal(err)
	}
	if ba.Empty() {
		return
	}
	meanwhile()
	switch err := ho.view.Append(context.Background(), ba.Records); {
	case err == nil:
		ho.purse.Confirm(ho.world.now, ba)
	case eris.Is(err, keyed.ErrConflict), eris.Is(err, keyed.ErrRefused):
		ho.purse.Discard(ba)
	}
}

// reserve makes a request, or tries again the one that waits.
func (ho *holder) reserve(tokens int64) {
	if ho.waiting > 0 {
		tokens = ho.waiting
		ho.purse.RemoveWaiter(propertyTeam, tokens)
		ho.waiting = 0
	}
	if ho.purse.Reserve(ho.world.now, propertyTeam, tokens) == Reserved {
		ho.reserved = append(ho.reserved, tokens)
		ho.world.used += tokens
		return
	}
	ho.waiting = tokens
	ho.purse.AddWaiter(ho.world.now, propertyTeam, tokens)
}

func (ho *holder) settle(share int64) {
	if len(ho.reserved) == 0 {
		return
	}
	tokens := ho.reserved[0]
	ho.reserved = ho.reserved[1:]
	cost := tokens * share / 100
	ho.purse.Settle(ho.world.now, propertyTeam, tokens, cost)
	ho.world.used -= tokens - cost
}

// spendable returns what all instances together may spend at this moment without asking anyone.
func (wo *purseWorld) spendable() int64 {
	sum := int64(0)
	for _, ho := range wo.holders {
		ac := ho.purse.account(propertyTeam)
		sum += max(0, ac.limit(wo.now, ho.purse.excess(propertyTeam))-ac.used())
	}
	return sum
}

// TestNeverOverspent lets instances spend, die, return, lose the store and its answers, and move tokens, in random order.
func TestNeverOverspent(tt *testing.T) {
	rapid.Check(tt, func(tt *rapid.T) {
		wo := &purseWorld{topic: &memTopic{cut: map[int]bool{}}, holders: make([]*holder, propertyInstances), total: firstTotal, most: firstTotal}
		for ix := range propertyInstances {
			wo.start(ix, 0)
		}
		// A total that was lowered leaves room in which an error does not show, so half of the runs keep theirs.
		changes := rapid.Bool().Draw(tt, "the total changes")
		index := rapid.IntRange(0, propertyInstances-1)
		request := func(tt *rapid.T) {
			ho := wo.holders[index.Draw(tt, "who")]
			ho.reserve(rapid.Int64Range(1, 200).Draw(tt, "tokens"))
			ho.step(tt)
			ho.reserve(rapid.Int64Range(1, 200).Draw(tt, "tokens"))
		}
		round := func(tt *rapid.T) {
			wo.now += stepTime
			for _, ho := range wo.holders {
				ho.step(tt)
			}
		}
		// What instances do most of the time stands more than once, since all actions are equally likely.
		tt.Repeat(map[string]func(tt *rapid.T){
			"request": request, "request again": request, "request once more": request, "round": round, "round again": round,
			"slow step": func(tt *rapid.T) {
				ho, other := wo.holders[index.Draw(tt, "who")], wo.holders[index.Draw(tt, "other")]
				tokens := rapid.Int64Range(1, 200).Draw(tt, "tokens")
				ho.slowStep(tt, func() {
					ho.reserve(tokens)
					if other != ho {
						other.step(tt)
					}
				})
				ho.reserve(tokens)
			},
			"members": func(tt *rapid.T) {
				// Beside members that never write, some of the instances only borrow.
				wo.members = nil
				if rapid.Bool().Draw(tt, "many") {
					wo.members = []string{"a", "b", "c", "d", "e", "f", "instance-0", "instance-1", "instance-2"}
				}
				for _, ho := range wo.holders {
					ho.purse.SetMembers(wo.members)
				}
			},
			"step": func(tt *rapid.T) { wo.holders[index.Draw(tt, "who")].step(tt) },
			"settle": func(tt *rapid.T) {
				wo.holders[index.Draw(tt, "who")].settle(rapid.Int64Range(0, 100).Draw(tt, "share"))
			},
			"time": func(tt *rapid.T) {
				wo.now += time.Duration(rapid.IntRange(1, 20).Draw(tt, "steps")) * stepTime
			},
			"move": func(tt *rapid.T) {
				from, to := wo.holders[index.Draw(tt, "from")], wo.holders[index.Draw(tt, "to")]
				given, _ := from.purse.Lend(wo.now, propertyTeam, rapid.Int64Range(1, 100).Draw(tt, "tokens"))
				if from != to && rapid.Bool().Draw(tt, "arrives") {
					to.purse.Receive(propertyTeam, given)
				}
			},
			"return": func(tt *rapid.T) {
				from, to := wo.holders[index.Draw(tt, "from")], wo.holders[index.Draw(tt, "to")]
				for _, su := range from.purse.ReleaseSurpluses(wo.now, rapid.Bool().Draw(tt, "away"), func(string) bool { return false }) {
					if from != to && rapid.Bool().Draw(tt, "arrives") {
						to.purse.Receive(su.Team, su.Tokens)
					}
				}
			},
			"close": func(tt *rapid.T) { wo.holders[index.Draw(tt, "who")].purse.Close() },
			"restart": func(tt *rapid.T) {
				who := index.Draw(tt, "who")
				boot := wo.holders[who].boot
				if rapid.Bool().Draw(tt, "power") {
					boot += time.Duration(rapid.IntRange(-1000, 1000).Draw(tt, "boot")) * time.Second
				}
				wo.start(who, boot)
			},
			"fate": func(tt *rapid.T) { wo.topic.next = fate(rapid.IntRange(0, int(fates)-1).Draw(tt, "fate")) },
			"late": func(*rapid.T) {
				for _, la := range wo.topic.late {
					wo.topic.add(la.at, la.list)
				}
				wo.topic.late = nil
			},
			"cut":  func(tt *rapid.T) { wo.topic.cut[index.Draw(tt, "who")] = rapid.IntRange(0, 3).Draw(tt, "cut") == 0 },
			"trim": func(*rapid.T) { wo.topic.first = int64(len(wo.topic.records)) },
			"total": func(tt *rapid.T) {
				if !changes {
					return
				}
				wo.total = max(0, wo.total+rapid.Int64Range(-300, 50).Draw(tt, "change"))
				wo.most = max(wo.most, wo.total)
				for _, ho := range wo.holders {
					ho.purse.SetTotals(map[string]int64{propertyTeam: wo.total})
				}
			},
			"": func(tt *rapid.T) {
				if spendable := wo.spendable(); wo.used+spendable > wo.most {
					tt.Fatalf("%d tokens used and %d more may be, of %d", wo.used, spendable, wo.most)
				}
			},
		})
	})
}
