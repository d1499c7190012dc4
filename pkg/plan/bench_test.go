package plan

import (
	"fmt"
	"testing"
)

// BenchmarkRoute measures the lookup of a route. Its time must not grow with the number of routes.
func BenchmarkRoute(bb *testing.B) {
	for _, count := range []int{100, 2000, 20_000} {
		bb.Run(fmt.Sprint("routes=", count), func(bb *testing.B) {
			config := Config{Version: 1}
			for ix := range count {
				config.Routes = append(config.Routes, Route{
					Name: fmt.Sprint("route-", ix), Host: fmt.Sprint("host-", ix%7, ".example"), Prefix: fmt.Sprint("/path-", ix, "/"),
					RetrySafety: Idempotent, Backends: []Backend{{Service: "service", Weight: 1}},
				})
			}
			pl := New(config)
			path := fmt.Sprint("/path-", count/2, "/below/it")
			host := fmt.Sprint("host-", count/2%7, ".example")
			bb.ReportAllocs()
			for bb.Loop() {
				if _, ok := pl.Route(host, path); !ok {
					bb.Fatal("Route found no route for the path in the middle of the list")
				}
			}
		})
	}
}
