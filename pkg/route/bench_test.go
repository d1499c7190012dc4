package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineweir/clementineweir/pkg/ticket"
)

// BenchmarkPick measures the choice among endpoints with uneven load.
func BenchmarkPick(bb *testing.B) {
	for _, size := range []int{21, 1000, 12_000} {
		bb.Run(fmt.Sprintf("candidates=%d", size), func(bb *testing.B) {
			ta := NewTable()
			var list []ticket.Endpoint
			for ix := range size {
				list = append(list, ticket.Endpoint{Name: fmt.Sprintf("m%d", ix), Domain: "d", Models: []string{"m"}, Slots: 32})
			}
			ta.SetEndpoints(0, list)
			for ix := range size {
				ta.Observe(fmt.Sprintf("m%d", ix), Report{Running: ix % 30, At: time.Second})
			}
			po, _ := ta.pool(Query{Model: "m"})
			bb.ReportAllocs()
			random := uint64(1)
			for bb.Loop() {
				random++
				if ca, _ := po.pick(time.Second, Query{Model: "m", Random: random}); ca == nil {
					bb.Fatal("pick: got no candidate, want one")
				}
			}
		})
	}
}
