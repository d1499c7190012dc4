package origin

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkRecord measures recording the beginning of one stream.
func BenchmarkRecord(bb *testing.B) {
	bo := NewBook()
	bb.ReportAllocs()
	now, number := time.Duration(0), 0
	for bb.Loop() {
		now += time.Millisecond
		number++
		bo.RecordOwn(now, Origin{Key: KeyOf("team", strconv.Itoa(number)), Service: "model", Build: "version v1"}, false)
	}
}
