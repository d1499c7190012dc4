package verify_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/clementineweir/clementineweir/pkg/plan"
	"github.com/clementineweir/clementineweir/pkg/verify"
)

// valid returns a configuration without findings.
func valid() plan.Config {
	return plan.Config{
		Version: 4,
		Routes: []plan.Route{{
			Name: "review", Host: "a.example", Prefix: "/review/", RetrySafety: plan.Resumable, Stream: true, Timeout: 12 * time.Second,
			LatencyTarget: time.Second, InterEventTarget: 400 * time.Millisecond, MaxAttempts: 2, Backends: []plan.Backend{{Service: "model", Weight: 1}},
		}},
		Services: []plan.Service{{Name: "model", MaxConnections: 100, TokensPerEvent: 8, KVCapacityTokens: 500_000, Slots: 24}},
		Teams:    []plan.Team{{Name: "blue", Keys: []string{"key-1"}, Limited: true, Prepaid: 1000}},
		Limits:   plan.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// TestCheck guards against mistakes that an operator would otherwise notice by failing requests only.
func TestCheck(tt *testing.T) {
	cases := []struct {
		name   string
		change func(*plan.Config)
		want   []string
	}{
		{"valid", func(*plan.Config) {}, nil},
		{"two routes with one host and prefix", func(co *plan.Config) {
			ro := co.Routes[0]
			ro.Name, ro.Host = "other", "A.example"
			co.Routes = append(co.Routes, ro)
		}, []string{"warning: route review: never matches: the later route other has the same host and path prefix"}},
		{"prefix without a slash at the end", func(co *plan.Config) { co.Routes[0].Prefix = "/review" }, []string{
			`warning: route review: never matches: the path prefix "/review" does not begin and end with a slash`,
		}},
		{"host with a port", func(co *plan.Config) { co.Routes[0].Host = "a.example:80" }, []string{
			`warning: route review: never matches: the host "a.example:80" is no host name; ports are removed from the hosts of requests`,
		}},
		{"unknown service", func(co *plan.Config) { co.Services[0].Name = "other" }, []string{
			"error: route review: service model does not exist", "warning: service other: no route sends requests to the service",
		}},
		{"weights of zero", func(co *plan.Config) { co.Routes[0].Backends[0].Weight = 0 }, []string{
			"error: route review: no service is chosen: the weights add up to 0",
			"warning: route review: service model is never chosen: its weight is zero",
			"warning: service model: no route sends requests to the service",
		}},
		{"target beyond the timeout", func(co *plan.Config) { co.Routes[0].Timeout = 900 * time.Millisecond }, []string{
			"warning: route review: the latency target 1s is longer than the timeout 900ms",
			"warning: route review: the timeout 900ms is shorter than the time 3s that callers have for the headers",
		}},
		{"attempts without effect", func(co *plan.Config) { co.Routes[0].RetrySafety = plan.Once }, []string{
			"warning: route review: 2 attempts are allowed, but a request that may have run is never sent again",
		}},
		{"cache smaller than the slots", func(co *plan.Config) { co.Services[0].KVCapacityTokens = 20 }, []string{
			"error: service model: 24 slots do not fit into a cache of 20 tokens",
		}},
		{"key of two teams", func(co *plan.Config) { co.Teams = append(co.Teams, plan.Team{Name: "red", Keys: []string{"key-1"}}) }, []string{
			"error: team red: a key belongs to team blue, too; the last team is in force",
		}},
		{"no keys", func(co *plan.Config) { co.Teams = nil }, []string{"error: route review: all requests are refused: the route needs a key, and no team has one"}},
		{"no limits", func(co *plan.Config) { co.Limits.MaxBodyBytes = 0 }, []string{
			"warning: limits: the maximum size of bodies is not set; the instances use their own default",
		}},
	}
	for _, tc := range cases {
		tt.Run(tc.name, func(tt *testing.T) {
			config := valid()
			tc.change(&config)
			var got []string
			for _, fi := range verify.Check(config) {
				got = append(got, fi.Severity.String()+": "+fi.Entry+": "+fi.Message)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				tt.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDiff guards against changes that an operator did not intend, and against keys in the output.
func TestDiff(tt *testing.T) {
	next := valid()
	next.Version = 3
	next.Routes[0].Timeout = 10 * time.Second
	next.Services = append(next.Services, plan.Service{Name: "plain"})
	next.Teams = []plan.Team{{Name: "blue", Keys: []string{"key-2", "key-3"}, Limited: true, Prepaid: 900}}
	want := []verify.Change{
		{Entry: "route review", Field: "timeout", Old: "12s", New: "10s"},
		{Entry: "service plain", New: "added"},
		{Entry: "team blue", Field: "keys", Old: "1 dropped", New: "2 added"},
		{Entry: "team blue", Field: "prepaid", Old: "1000", New: "900"},
	}
	if diff := cmp.Diff(want, verify.Diff(valid(), next)); diff != "" {
		tt.Errorf("changes (-want +got):\n%s", diff)
	}
	findings := []verify.Finding{
		{Severity: verify.Error, Entry: "version", Message: "the instances ignore the configuration: its version 3 is not higher than 4, which is in force"},
		{Severity: verify.Warning, Entry: "team blue", Message: "the prepaid total falls from 1000 to 900 tokens; what is spent beyond it stays spent"},
	}
	if diff := cmp.Diff(findings, verify.CheckChange(valid(), next)); diff != "" {
		tt.Errorf("findings in the change (-want +got):\n%s", diff)
	}
	removed := verify.Diff(next, valid())
	if diff := cmp.Diff(verify.Change{Entry: "service plain", Old: "removed"}, removed[1]); diff != "" {
		tt.Errorf("removed entry (-want +got):\n%s", diff)
	}
}
