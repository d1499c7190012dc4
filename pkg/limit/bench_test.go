package limit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIssue measures the answer to one ask while many instances wait for permits of one endpoint.
func BenchmarkIssue(bb *testing.B) {
	for _, instances := range []int{4, 31, 1100} {
		bb.Run(fmt.Sprintf("instances=%d", instances), func(bb *testing.B) {
			is, names := NewIssuer(), make([]string, instances)
			for ix := range names {
				names[ix] = fmt.Sprint("instance-", ix)
			}
			now, number := time.Duration(0), 0
			bb.ReportAllocs()
			for bb.Loop() {
				now += 100 * time.Millisecond / time.Duration(instances)
				number++
				is.Issue(now, names[number%instances], Ask{Process: "process", PerSecond: 2.5, Permits: 1})
			}
		})
	}
}
