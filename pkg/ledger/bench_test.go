package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/clementineweir/clementineweir/pkg/record"
	"github.com/clementineweir/clementineweir/pkg/ticket"
)

const budgetsPerTicket = 1000

// stateWithBudgets returns a state with the given number of budgets, all held by one incarnation, and the incarnation's number.
func stateWithBudgets(tb testing.TB, budgets int) (*State, int64) {
	tb.Helper()
	st := NewState()
	for first := 0; first < budgets; first += budgetsPerTicket {
		ti := ticket.Ticket{Number: int64(first + 1), Author: "a"}
		for ix := first; ix < min(first+budgetsPerTicket, budgets); ix++ {
			ti.Budgets = append(ti.Budgets, ticket.Budget{Name: benchBudget(ix), Team: fmt.Sprintf("team-%d", ix%790), PrepaidTokens: 1 << 40})
		}
		st.mustApply(tb, record.Entry{Ticket: &ti})
	}
	inc := st.mustApply(tb, record.Entry{Join: &record.Join{Nonce: "n", Address: "x", Anchor: st.Offset()}})
	sequence := int64(0)
	for first := 0; first < budgets; first += budgetsPerTicket {
		var list []record.Record
		for ix := first; ix < min(first+budgetsPerTicket, budgets); ix++ {
			list = append(list, record.Record{Claim: &record.Claim{Budget: benchBudget(ix), Need: 1000}})
		}
		sequence++
		st.mustApply(tb, record.Entry{Batch: &record.Batch{Incarnation: inc, Sequence: sequence, Records: list}})
	}
	return st, inc
}

func benchBudget(ix int) string { return fmt.Sprintf("foundation-%06d", ix) }

var benchSizes = []int{10_000, 100_000, 490_000}

// BenchmarkApply applies batches of 25 settlements, the number that 500 requests per second produce in 50 ms.
func BenchmarkApply(bb *testing.B) {
	const perBatch = 25
	for _, size := range benchSizes {
		bb.Run(fmt.Sprintf("budgets=%d", size), func(bb *testing.B) {
			st, inc := stateWithBudgets(bb, size)
			sequence := st.incarnations[inc].Sequence
			bb.ReportAllocs()
			bytes := 0
			for bb.Loop() {
				sequence++
				ba := record.Batch{Incarnation: inc, Sequence: sequence}
				for ix := range perBatch {
					ba.Records = append(ba.Records, record.Record{Settle: &record.Settle{
						Budget: benchBudget((int(sequence)*perBatch + ix) % size),
						Bills:  []record.Bill{{Key: "e1199eb7-2369-402a-b24c-329daab9ee38", Tokens: 1}},
					}})
				}
				data, _ := record.EncodeEntry(record.Entry{Batch: &ba})
				bytes = len(data)
				if _, err := st.Apply(st.Offset()+1, data); err != nil {
					bb.Fatal(err)
				}
			}
			bb.ReportMetric(float64(bb.Elapsed().Nanoseconds())/float64(bb.N)/perBatch, "ns/record")
			bb.ReportMetric(float64(bytes)/perBatch, "B/record")
		})
	}
}

// BenchmarkCheckpoint encodes and decodes the whole state.
func BenchmarkCheckpoint(bb *testing.B) {
	for _, size := range benchSizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		st, _ := stateWithBudgets(bb, size)
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap := float64(after.HeapAlloc-before.HeapAlloc) / float64(size)
		data, err := st.Encode()
		if err != nil {
			bb.Fatal(err)
		}
		bb.Run(fmt.Sprintf("encode/budgets=%d", size), func(bb *testing.B) {
			for bb.Loop() {
				_, _ = st.Encode()
			}
			bb.ReportMetric(heap, "heapB/budget")
			bb.ReportMetric(float64(len(data))/float64(size), "encodedB/budget")
		})
		bb.Run(fmt.Sprintf("decode/budgets=%d", size), func(bb *testing.B) {
			for bb.Loop() {
				if _, err := Decode(data); err != nil {
					bb.Fatal(err)
				}
			}
		})
	}
}
