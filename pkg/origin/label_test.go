package origin

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLabel checks that a label names the service and the build, whatever they are called, and that one without a service is the build.
func TestLabel(tt *testing.T) {
	cases := []struct {
		name  string
		og    Origin
		label string
	}{
		{"service and build", Origin{Key: 1, Service: "model", Build: "version v1"}, "in 5:modelversion v1"},
		{"no service", Origin{Key: 1, Build: "version v1"}, "version v1"},
		{"colons and digits", Origin{Key: 1, Service: "3:a", Build: "version 1:2"}, "in 3:3:aversion 1:2"},
		{"a prefix without a length", Origin{Key: 1, Build: "in "}, "in "},
		{"a length that is too large", Origin{Key: 1, Build: "in 9:abc"}, "in 9:abc"},
		{"a length below zero", Origin{Key: 1, Build: "in -1:abc"}, "in -1:abc"},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			if diff := cmp.Diff(tc.label, tc.og.Label()); diff != "" {
				tt.Errorf("label (-want +got): %s", diff)
			}
			if diff := cmp.Diff(tc.og, OfLabel(1, tc.label)); diff != "" {
				tt.Errorf("origin (-want +got): %s", diff)
			}
		})
	}
}
