package escrow

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkReserve reserves and settles on many budgets in turn.
func BenchmarkReserve(bb *testing.B) {
	for _, size := range []int{10, 1000, 10_000} {
		bb.Run(fmt.Sprintf("accounts=%d", size), func(bb *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			bo := benchBook(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bb.ReportAllocs()
			now := 2 * time.Second
			count := 0
			for bb.Loop() {
				name := benchBudgets[count%size]
				count++
				if !bo.Reserve(now, name, 1) {
					bb.Fatal("Reserve of one token: got false, want true")
				}
				bo.Settle(now, Reservation{Budget: name, Tokens: 1}, Cost{WrittenOff: 0})
			}
			bb.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "heapB/account")
		})
	}
}

// BenchmarkBuild builds batches that examine every account while all are idle.
func BenchmarkBuild(bb *testing.B) {
	for _, size := range []int{10, 1000, 10_000} {
		bb.Run(fmt.Sprintf("accounts=%d", size), func(bb *testing.B) {
			bo := benchBook(size)
			now := 2 * time.Second
			sequence := int64(2)
			for bb.Loop() {
				now += sweepInterval
				sequence++
				bo.Build(now, sequence)
				bo.Accept(sequence, benchUpdate)
			}
			bb.ReportMetric(float64(bb.Elapsed().Nanoseconds())/float64(bb.N)/float64(size), "ns/account")
		})
	}
}

var benchBudgets = func() []string {
	var list []string
	for ix := range 10_000 {
		list = append(list, fmt.Sprintf("foundation-%06d", ix))
	}
	return list
}()

func benchUpdate(name string) AccountUpdate {
	return AccountUpdate{Budget: name, Granted: 1 << 40, Remaining: 1 << 40}
}

// benchBook returns a book with the given number of accounts, each with a grant and a ceiling.
func benchBook(size int) Book {
	bo := NewBook(DefaultConfig())
	for _, name := range benchBudgets[:size] {
		bo.Reserve(time.Second, name, 1)
		bo.Sync(benchUpdate(name))
	}
	bo.Build(time.Second, 1)
	bo.Accept(1, benchUpdate)
	return bo
}
