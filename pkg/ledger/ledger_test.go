package ledger

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/fault"
	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// mustApply applies one entry at the next offset and returns the offset.
func (st *State) mustApply(t testing.TB, en record.Entry) int64 {
	t.Helper()
	data, err := record.EncodeEntry(en)
	if err != nil {
		t.Fatal(err)
	}
	offset := st.Offset() + 1
	if _, err := st.Apply(offset, data); err != nil {
		t.Fatal(err)
	}
	return offset
}

func budgetTicket(number, prepaid int64) record.Entry {
	return record.Entry{Ticket: &ticket.Ticket{
		Number: number, Author: "a", Budgets: []ticket.Budget{{Name: "b", Team: "t", PrepaidTokens: prepaid}},
	}}
}

// TestGreatestTicketNumberWins applies tickets for one budget in different orders; the first of two tickets with the
// same number is accepted.
func TestGreatestTicketNumberWins(t *testing.T) {
	tests := []struct {
		name     string
		tickets  []record.Entry
		prepaid  int64
		accepted []bool
	}{
		{"in order", []record.Entry{budgetTicket(1, 10), budgetTicket(2, 20)}, 20, []bool{true, true}},
		{"out of order", []record.Entry{budgetTicket(2, 20), budgetTicket(1, 10)}, 20, []bool{true, true}},
		{"same number, other content", []record.Entry{budgetTicket(1, 10), budgetTicket(1, 30)}, 10, []bool{true, false}},
		{"same ticket twice", []record.Entry{budgetTicket(1, 10), budgetTicket(1, 10)}, 10, []bool{true, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			st := NewState()
			for _, en := range tt.tickets {
				st.mustApply(t, en)
			}
			var accepted []bool
			for _, au := range st.AuditTrail() {
				accepted = append(accepted, au.Accepted)
			}
			bu, _ := st.Budget("b")
			if diff := cmp.Diff(tt.prepaid, bu.Prepaid) + cmp.Diff(tt.accepted, accepted); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDuplicateBillIsWrittenOff bills one idempotency key from two incarnations, as when a caller retries on another
// instance: the second bill must not be charged to the team.
func TestDuplicateBillIsWrittenOff(t *testing.T) {
	st := NewState()
	st.mustApply(t, budgetTicket(1, 100))
	for ix, address := range []string{"x", "y"} {
		inc := st.mustApply(t, record.Entry{Join: &record.Join{Nonce: address, Address: address, Anchor: st.Offset()}})
		st.mustApply(t, record.Entry{Batch: &record.Batch{Incarnation: inc, Sequence: 1, Records: []record.Record{
			{Claim: &record.Claim{Budget: "b", Need: 50}},
			{Settle: &record.Settle{Budget: "b", Bills: []record.Bill{{Key: "k", Tokens: int64(10 + ix), Deduplicate: true}}}},
		}}})
	}
	bu, _ := st.Budget("b")
	if diff := cmp.Diff([]int64{10, 11, 0}, []int64{bu.Billed, bu.WrittenOff, bu.Overspent}); diff != "" {
		t.Error(diff)
	}
}

// TestLateJoinDoesNotKillSuccessor delivers a delayed copy of a dead process's join after its successor joined from the
// same address: the copy must not mark the successor as dead.
func TestLateJoinDoesNotKillSuccessor(t *testing.T) {
	st := NewState()
	late := record.Entry{Join: &record.Join{Nonce: "late", Address: "x", Anchor: st.Offset()}}
	successor := st.mustApply(t, record.Entry{Join: &record.Join{Nonce: "new", Address: "x", Anchor: st.Offset()}})
	st.mustApply(t, late)
	inc, ok := st.Incarnation(successor)
	if !ok || inc.Proof != PossiblyAlive {
		t.Errorf("successor: got open %v, state %+v; want it open and not marked as dead", ok, inc)
	}
}

// TestStoredBodiesAreBounded resolves requests whose response bodies exceed MaxStoredBodyBytes: the oldest body is
// evicted, but its key stays known.
func TestStoredBodiesAreBounded(t *testing.T) {
	const answers, size = 2200, 32 << 10
	st := NewState()
	inc := st.mustApply(t, record.Entry{Join: &record.Join{Nonce: "n", Address: "x", Anchor: st.Offset()}})
	for ix := range answers {
		key := fmt.Sprintf("key-%d", ix)
		st.mustApply(t, record.Entry{Batch: &record.Batch{Incarnation: inc, Sequence: int64(ix + 1), Records: []record.Record{
			{Intent: &record.Intent{Key: key}},
			{Outcome: &record.Outcome{Key: key, Verdict: fault.Ran, Body: make([]byte, size), Complete: true}},
		}}})
	}
	oldest, known := st.Request("key-0")
	newest, _ := st.Request(fmt.Sprintf("key-%d", answers-1))
	got := []bool{st.requests.bodyBytes <= MaxStoredBodyBytes, known, oldest.Outcome.Complete, newest.Outcome.Complete}
	if diff := cmp.Diff([]bool{true, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
