package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/clementineweir/clementineweir/platform/stand"
)

// BenchmarkOverhead measures requests through an instance and requests straight to an endpoint; the difference is the overhead of the
// instance. Caller, instance and endpoint all run in this process, so the allocations are their sum.
func BenchmarkOverhead(bb *testing.B) {
	fl := newFleet(bb, fleetConfig{instances: 1, prepaid: plenty})
	routed := fl.instances[0].settings.CallerAddress
	cases := []struct {
		name    string
		address string
		route   string
		call    stand.Call
	}{
		{"whole/direct", fl.addresses["plain-0"], "unsafe", stand.Call{Key: testKey, PatienceMs: 12_000}},
		{"whole/routed", routed, "unsafe", stand.Call{Key: testKey, PatienceMs: 12_000}},
		{"stream/direct", fl.addresses["model-0"], "stream", stand.Call{Key: testKey, PatienceMs: 12_000, Prompt: 100, Output: testEvents * testStride}},
		{"stream/routed", routed, "stream", stand.Call{Key: testKey, PatienceMs: 12_000, Prompt: 100, Output: testEvents * testStride}},
	}
	for _, tc := range cases {
		bb.Run(tc.name, func(bb *testing.B) {
			bb.ReportAllocs()
			number := 0
			for bb.Loop() {
				number++
				tc.call.ID = fmt.Sprint("request-", number)
				rq, err := http.NewRequest(http.MethodPost, "http://"+tc.address+"/"+tc.route+"/x", http.NoBody)
				if err != nil {
					bb.Fatal(err)
				}
				rq.Host = testHost
				tc.call.Set(rq.Header)
				rs, err := http.DefaultTransport.RoundTrip(rq)
				if err != nil {
					bb.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, rs.Body); err != nil || rs.StatusCode != http.StatusOK {
					bb.Fatalf("the request got the status %d (read error: %v)", rs.StatusCode, err)
				}
				_ = rs.Body.Close()
			}
		})
	}
}
