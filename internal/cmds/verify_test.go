package cmds

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/platform/stand"
	"github.com/clementineweir/clementineweir/platform/wire"
)

// TestVerify guards against a configuration that is called correct although instances would leave out a part of it or ignore it, and compares one with
// the version in the store.
func TestVerify(tt *testing.T) {
	st := stand.NewStore()
	st.Put(wire.OperatorTopic, wire.ConfigurationKey, routedManifest())
	se := httptest.NewServer(st)
	defer se.Close()
	address := strings.TrimPrefix(se.URL, "http://")
	cases := []struct {
		name, from, to string
		flags          []string
		code           int
		want           []string
	}{
		{"correct", "", "", nil, ExitOK, []string{"has no errors"}},
		{"not newer than the one in force", "", "", []string{"--store", address}, ExitInvalid, []string{"error: version: the instances ignore the configuration"}},
		{
			"changed", `"prepaid":10000000`, `"prepaid":9000000`,
			[]string{"--store", address},
			ExitInvalid,
			[]string{"warning: team team-1: the prepaid total falls", "change: team team-1: prepaid: 10000000 -> 9000000"},
		},
		{"unknown type", `"route_type":"unsafe"`, `"route_type":"odd"`, nil, ExitInvalid, []string{"error: route payment: the route is left out"}},
		{"no JSON", "{", "[", nil, ExitInvalid, nil},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			path := filepath.Join(tt.TempDir(), "configuration.json")
			if err := os.WriteFile(path, []byte(strings.Replace(string(routedManifest()), tc.from, tc.to, 1)), 0o600); err != nil {
				tt.Fatal(err)
			}
			var out bytes.Buffer
			cm := root()
			cm.Writer = &out
			err := cm.Run(context.Background(), append(append([]string{"clementineweir", "verify"}, tc.flags...), path))
			code := ExitOK
			var ee *exitError
			if errors.As(err, &ee) {
				code = ee.code
			}
			if diff := cmp.Diff(tc.code, code); diff != "" {
				tt.Errorf("exit code (-want +got):\n%s\n%s", diff, out.String())
			}
			for _, text := range tc.want {
				if !strings.Contains(out.String(), text) {
					tt.Errorf("the output has no %q:\n%s", text, out.String())
				}
			}
		})
	}
}
