package roster

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestBuilds checks which builds a service has, also of endpoints that leave or state no version.
func TestBuilds(tt *testing.T) {
	register := func(id, version string, leaving bool) Change {
		return Change{ID: id, Endpoint: &Endpoint{ID: id, Service: "model", Version: version, Leaving: leaving, StartedMillis: 1, Sequence: 1}}
	}
	cases := []struct {
		name    string
		changes []Change
		want    Builds
	}{
		{"no endpoint", nil, Builds{}},
		{"one version", []Change{register("a", "v1", false), register("b", "v1", false)}, Builds{[]string{"version v1"}, []string{"version v1"}}},
		{"versions that differ in case", []Change{register("a", "v1", false), register("b", "V1", false)}, Builds{[]string{"version V1", "version v1"}, []string{"version V1", "version v1"}}},
		{"one leaves", []Change{register("a", "v1", true), register("b", "v2", false)}, Builds{[]string{"version v1", "version v2"}, []string{"version v2"}}},
		{"one has gone", []Change{register("a", "v1", false), register("b", "v2", false), {ID: "a"}}, Builds{[]string{"version v2"}, []string{"version v2"}}},
		{"without versions", []Change{register("a", "", false), register("b", "", false)}, Builds{[]string{"process a@1", "process b@1"}, []string{"process a@1", "process b@1"}}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			ro := New()
			ro.Apply(0, tc.changes)
			if diff := cmp.Diff(tc.want, ro.Builds()["model"]); diff != "" {
				tt.Error(diff)
			}
		})
	}
}
