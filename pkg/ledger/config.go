package ledger

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// versioned is an object with the number of the ticket that set it.
type versioned[T any] struct {
	Number int64 `cbor:"number"`
	Offset int64 `cbor:"offset"`
	Value  T     `cbor:"value"`
}

// table holds the newest version of each object of one kind by name.
type table[T any] map[string]versioned[T]

// config is everything that tickets set.
type config struct {
	Teams      table[ticket.Team]     `cbor:"teams"`
	Budgets    table[ticket.Budget]   `cbor:"budgets"`
	Classes    table[ticket.Class]    `cbor:"classes"`
	Services   table[ticket.Service]  `cbor:"services"`
	Endpoints  table[ticket.Endpoint] `cbor:"endpoints"`
	Contents   table[ticket.Content]  `cbor:"contents"`
	Retired    map[int64]bool         `cbor:"retired"`
	MaxPrepaid map[string]int64       `cbor:"maxPrepaid"`
	Numbers    numberSet              `cbor:"numbers"`
}

func newConfig() config {
	return config{
		Teams: table[ticket.Team]{}, Budgets: table[ticket.Budget]{}, Classes: table[ticket.Class]{},
		Services: table[ticket.Service]{}, Endpoints: table[ticket.Endpoint]{}, Contents: table[ticket.Content]{},
		Retired: map[int64]bool{}, MaxPrepaid: map[string]int64{},
	}
}

// put stores the object unless a newer ticket set it; it reports whether it was stored.
func put[T any](tb table[T], name string, number, offset int64, val T) bool {
	if old, ok := tb[name]; ok && old.Number >= number {
		return false
	}
	tb[name] = versioned[T]{Number: number, Offset: offset, Value: val}
	return true
}

// values returns the values of a table by ascending name.
func values[T any](tb table[T]) []T {
	names := make([]string, 0, len(tb))
	for name := range tb {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]T, 0, len(tb))
	for _, name := range names {
		list = append(list, tb[name].Value)
	}
	return list
}

func (st *State) applyTicket(ti ticket.Ticket) {
	au := AuditEntry{Offset: st.offset, Number: ti.Number, Author: ti.Author, Reason: ti.Reason, PublishedAt: ti.PublishedAt, Checksum: sumOf(ti)}
	if why, repeats := st.refusal(ti, au.Checksum); why != "" {
		au.RejectReason = why
		au.Duplicate = repeats
		st.rejected++
		st.audit.add(au)
		st.emit(Event{Kind: TicketRejected, Tokens: ti.Number})
		return
	}
	st.config.Numbers = st.config.Numbers.with(ti.Number)
	ch := changes{state: st, ticket: ti}
	ch.apply()
	au.Accepted = true
	au.Changes = ch.list
	st.audit.add(au)
	st.emit(Event{Kind: TicketApplied, Tokens: ti.Number})
}

// refusal returns why the ticket is refused, or nothing, and whether it repeats an accepted one.
func (st *State) refusal(ti ticket.Ticket, sum uint64) (why string, repeats bool) {
	if ms := ti.Validate(); len(ms) > 0 {
		return ms.Error(), false
	}
	if !st.config.Numbers.has(ti.Number) {
		return "", false
	}
	if first, ok := st.audit.accepted(ti.Number); ok && first.Checksum == sum {
		return fmt.Sprintf("it repeats the accepted ticket at offset %d", first.Offset), true
	}
	return "another ticket with this number was accepted first", false
}

// sumOf returns the checksum of what a ticket says, whenever it was published.
func sumOf(ti ticket.Ticket) uint64 {
	ti.PublishedAt = ""
	data, err := record.Marshal(ti)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// changes applies the objects of one accepted ticket and lists what became of each.
type changes struct {
	state  *State
	ticket ticket.Ticket
	list   []string
}

func (ch *changes) apply() {
	st, ti := ch.state, ch.ticket
	for _, te := range ti.Teams {
		ch.note("team", te.Name, put(st.config.Teams, te.Name, ti.Number, st.offset, te))
	}
	for _, bu := range ti.Budgets {
		ch.budget(bu)
	}
	for _, cl := range ti.Classes {
		ch.note("class", cl.Name, put(st.config.Classes, cl.Name, ti.Number, st.offset, cl))
	}
	for _, se := range ti.Services {
		ch.note("service", se.Name, put(st.config.Services, se.Name, ti.Number, st.offset, se))
	}
	for _, en := range ti.Endpoints {
		ch.note("endpoint", en.Name, put(st.config.Endpoints, en.Name, ti.Number, st.offset, en))
	}
	for _, in := range ti.Instances {
		st.config.Retired[in.Incarnation] = true
		st.prove(in.Incarnation, Retired)
		ch.note("instance", fmt.Sprint(in.Incarnation), true)
	}
	for _, co := range ti.Contents {
		ch.content(co)
	}
}

func (ch *changes) note(kind, name string, stored bool) {
	text := kind + " " + name + ": set"
	if !stored {
		text = kind + " " + name + ": kept, a ticket with a greater number set it"
	}
	ch.list = append(ch.list, text)
}

func (ch *changes) budget(bu ticket.Budget) {
	st := ch.state
	stored := put(st.config.Budgets, bu.Name, ch.ticket.Number, st.offset, bu)
	ch.note("budget", bu.Name, stored)
	if !stored {
		return
	}
	st.config.MaxPrepaid[bu.Name] = max(st.config.MaxPrepaid[bu.Name], bu.PrepaidTokens)
	if _, ok := st.budgets[bu.Name]; !ok {
		st.budgets[bu.Name] = &budget{}
	}
	st.emit(Event{Kind: BudgetChanged, Budget: bu.Name, Tokens: bu.PrepaidTokens})
	st.serveWaiting(bu.Name, st.budgets[bu.Name])
}

func (ch *changes) content(co ticket.Content) {
	stored := put(ch.state.config.Contents, co.Hash, ch.ticket.Number, ch.state.offset, co)
	ch.note("content", co.Hash, stored)
	if stored && co.Released {
		ch.state.releaseContent(co.Hash)
	}
}
