package config

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const referencePath = "../../docs/operate/settings.md"

func TestParseReportsEveryMistake(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{
			name: "valid",
			text: "[instance]\nname=a\ndomain=d\n[platform]\nlogAddress=http://10.0.0.1:1\n[tls]\nplainText=true\n",
		},
		{
			name: "unknown key, wrong unit, missing key and contradiction in one file",
			text: "[instance]\nname=a\ncolour=red\n[log]\nheartbeat=9\nflushInterval=10ms\n[nothing]\nx=1\n[tls]\nplainText=true\n",
			want: []string{
				"instance.domain is missing",
				"platform.logAddress is missing",
				"line 3: instance.colour is not a setting",
				`line 5: log.heartbeat must be a duration with its unit such as 200ms or 15m, not "9"`,
				"line 7: nothing is not a section",
				"log.minInterval must not be above log.flushInterval",
			},
		},
		{
			name: "key set twice",
			text: "[instance]\nname=a\nname=b\ndomain=d\n[platform]\nlogAddress=http://10.0.0.1:1\n[tls]\nplainText=true\n",
			want: []string{"line 2: instance.name is set 2 times"},
		},
		{
			name: "host name in place of an IP number, port 0",
			text: "[instance]\nname=a\ndomain=d\ncallerAddress=localhost:80\npeerAddress=10.0.0.1:0\n[platform]\nlogAddress=http://10.0.0.1:1\n[tls]\nplainText=true\n",
			want: []string{
				`line 4: instance.callerAddress must be an IP number and a port such as 10.0.0.5:8080, not "localhost:80"`,
				"line 5: instance.peerAddress must name a port other than 0",
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.text))
			var ps Problems
			var got []string
			if errors.As(err, &ps) {
				for _, pr := range ps {
					got = append(got, pr.String())
				}
			}
			less := func(aa, bb string) bool { return aa < bb }
			if diff := cmp.Diff(sorted(tt.want, less), sorted(got, less)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func sorted(list []string, less func(aa, bb string) bool) []string {
	out := append([]string(nil), list...)
	for ix := range out {
		for jx := ix + 1; jx < len(out); jx++ {
			if less(out[jx], out[ix]) {
				out[ix], out[jx] = out[jx], out[ix]
			}
		}
	}
	return out
}

func TestExampleIsValid(t *testing.T) {
	if _, err := Parse([]byte(Example())); err != nil {
		t.Error(err)
	}
}

func TestReferencePageMatchesTheCode(t *testing.T) {
	data, err := os.ReadFile(referencePath)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), Reference()) {
		t.Errorf("%s is out of date: paste the output of 'clementineweir config reference'", referencePath)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Example()))
	f.Add([]byte("[log]\nheartbeat=9\n[[\n=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		se, err := Parse(data)
		if err == nil && se.Instance.Name == "" {
			t.Error("settings without a name were accepted")
		}
	})
}
