package ledger

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// versioned is a configured object, with the number and the log offset of the ticket that set it.
type versioned[T any] struct {
	Number int64 `cbor:"number"`
	Offset int64 `cbor:"offset"`
	Value  T     `cbor:"value"`
}

// table holds, by name, the newest version of each object of one kind.
type table[T any] map[string]versioned[T]

// config is the configuration set by tickets: the objects, the retired incarnations, the greatest prepaid total
// that each budget ever had, and the numbers of the accepted tickets.
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

// setIfNewer stores the object and returns true, unless a ticket with an equal or greater number already set the object.
func setIfNewer[T any](tb table[T], name string, number, offset int64, val T) bool {
	if old, ok := tb[name]; ok && old.Number >= number {
		return false
	}
	tb[name] = versioned[T]{Number: number, Offset: offset, Value: val}
	return true
}

// values returns the values of a table in ascending order of their names.
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
	au := AuditEntry{
		Offset: st.offset, Number: ti.Number, Author: ti.Author, Reason: ti.Reason, PublishedAt: ti.PublishedAt,
		Checksum: ticketChecksum(ti),
	}
	if reason, duplicate := st.rejectReason(ti, au.Checksum); reason != "" {
		au.RejectReason = reason
		au.Duplicate = duplicate
		st.rejected++
		st.audit.add(au)
		st.emit(Event{Kind: TicketRejected, Tokens: ti.Number})
		return
	}
	st.config.Numbers = st.config.Numbers.with(ti.Number)
	ch := ticketChanges{state: st, ticket: ti}
	ch.apply()
	au.Accepted = true
	au.Changes = ch.lines
	st.audit.add(au)
	st.emit(Event{Kind: TicketApplied, Tokens: ti.Number})
}

// rejectReason returns the reason for which the ticket is rejected, or the empty string if it is accepted. The second
// result is true if the ticket is a copy of an accepted one.
//
// The texts are part of the state, like those of ticketChanges: a change of wording changes the state's encoding.
func (st *State) rejectReason(ti ticket.Ticket, checksum uint64) (reason string, duplicate bool) {
	if errs := ti.Validate(); len(errs) > 0 {
		return errs.Error(), false
	}
	if !st.config.Numbers.has(ti.Number) {
		return "", false
	}
	if first, ok := st.audit.accepted(ti.Number); ok && first.Checksum == checksum {
		return fmt.Sprintf("it repeats the accepted ticket at offset %d", first.Offset), true
	}
	return "another ticket with this number was accepted first", false
}

// ticketChecksum returns a checksum of the ticket that ignores its time of publication.
func ticketChecksum(ti ticket.Ticket) uint64 {
	ti.PublishedAt = ""
	data, err := record.Marshal(ti)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// ticketChanges applies the objects of one accepted ticket and describes each change in a line of the audit trail.
type ticketChanges struct {
	state  *State
	ticket ticket.Ticket
	lines  []string
}

func (ch *ticketChanges) apply() {
	st, ti := ch.state, ch.ticket
	for _, te := range ti.Teams {
		ch.addLine("team", te.Name, setIfNewer(st.config.Teams, te.Name, ti.Number, st.offset, te))
	}
	for _, bu := range ti.Budgets {
		ch.setBudget(bu)
	}
	for _, cl := range ti.Classes {
		ch.addLine("class", cl.Name, setIfNewer(st.config.Classes, cl.Name, ti.Number, st.offset, cl))
	}
	for _, se := range ti.Services {
		ch.addLine("service", se.Name, setIfNewer(st.config.Services, se.Name, ti.Number, st.offset, se))
	}
	for _, en := range ti.Endpoints {
		ch.addLine("endpoint", en.Name, setIfNewer(st.config.Endpoints, en.Name, ti.Number, st.offset, en))
	}
	for _, in := range ti.Instances {
		st.config.Retired[in.Incarnation] = true
		st.markDead(in.Incarnation, Retired)
		ch.addLine("instance", fmt.Sprint(in.Incarnation), true)
	}
	for _, co := range ti.Contents {
		ch.setContent(co)
	}
}

func (ch *ticketChanges) addLine(kind, name string, stored bool) {
	text := kind + " " + name + ": set"
	if !stored {
		text = kind + " " + name + ": kept, a ticket with a greater number set it"
	}
	ch.lines = append(ch.lines, text)
}

func (ch *ticketChanges) setBudget(bu ticket.Budget) {
	st := ch.state
	stored := setIfNewer(st.config.Budgets, bu.Name, ch.ticket.Number, st.offset, bu)
	ch.addLine("budget", bu.Name, stored)
	if !stored {
		return
	}
	st.config.MaxPrepaid[bu.Name] = max(st.config.MaxPrepaid[bu.Name], bu.PrepaidTokens)
	if _, ok := st.budgets[bu.Name]; !ok {
		st.budgets[bu.Name] = &budget{}
	}
	st.emit(Event{Kind: BudgetChanged, Budget: bu.Name, Tokens: bu.PrepaidTokens})
	st.grantWaiting(bu.Name, st.budgets[bu.Name])
}

func (ch *ticketChanges) setContent(co ticket.Content) {
	stored := setIfNewer(ch.state.config.Contents, co.Hash, ch.ticket.Number, ch.state.offset, co)
	ch.addLine("content", co.Hash, stored)
	if stored && co.Released {
		ch.state.releaseQuarantined(co.Hash)
	}
}
