package verify

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// Severity says how serious a finding is.
type Severity uint8

// The severities.
const (
	// Warning marks an entry that has no effect or contradicts another one.
	Warning Severity = iota + 1
	// Error marks a mistake because of which requests fail.
	Error
)

// String returns the severity as it is printed.
func (se Severity) String() string {
	if se == Error {
		return "error"
	}
	return "warning"
}

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity
	// Entry names the entry of the configuration, such as "route review".
	Entry string
	// Message describes the problem.
	Message string
}

// report collects findings.
type report struct {
	config   plan.Config
	findings []Finding
}

func (re *report) add(severity Severity, entry, format string, args ...any) {
	re.findings = append(re.findings, Finding{Severity: severity, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

// Check returns the findings in a configuration, errors first.
func Check(config plan.Config) []Finding {
	re := &report{config: config}
	re.checkNames()
	re.checkRoutes()
	re.checkServices()
	re.checkTeams()
	re.checkLimits()
	slices.SortStableFunc(re.findings, func(aa, bb Finding) int { return cmp.Compare(bb.Severity, aa.Severity) })
	return re.findings
}

func (re *report) checkNames() {
	seen := map[string]bool{}
	add := func(entry string) {
		if seen[entry] {
			re.add(Error, entry, "the name is used more than once; the last entry is in force")
		}
		seen[entry] = true
	}
	for _, ro := range re.config.Routes {
		add("route " + ro.Name)
	}
	for _, se := range re.config.Services {
		add("service " + se.Name)
	}
	for _, te := range re.config.Teams {
		add("team " + te.Name)
	}
}

func (re *report) checkRoutes() {
	services := map[string]bool{}
	for _, se := range re.config.Services {
		services[se.Name] = true
	}
	last := map[string]string{}
	for ix := len(re.config.Routes) - 1; ix >= 0; ix-- {
		ro := re.config.Routes[ix]
		match := strings.ToLower(ro.Host) + ro.Prefix
		if winner, ok := last[match]; ok {
			re.add(Warning, "route "+ro.Name, "never matches: the later route %s has the same host and path prefix", winner)
			continue
		}
		last[match] = ro.Name
	}
	for _, ro := range re.config.Routes {
		re.checkMatch(ro)
		re.checkBackends(ro, services)
		re.checkTimes(ro)
		re.checkAttempts(ro)
	}
}

// checkMatch reports routes that match no request.
func (re *report) checkMatch(ro plan.Route) {
	entry := "route " + ro.Name
	switch {
	case !strings.HasPrefix(ro.Prefix, "/") || !strings.HasSuffix(ro.Prefix, "/"):
		re.add(Warning, entry, "never matches: the path prefix %q does not begin and end with a slash", ro.Prefix)
	case strings.ContainsAny(ro.Prefix, "?# "):
		re.add(Warning, entry, "never matches: the path prefix %q has characters that no path contains", ro.Prefix)
	case strings.ContainsAny(ro.Host, ":/ "):
		re.add(Warning, entry, "never matches: the host %q is no host name; ports are removed from the hosts of requests", ro.Host)
	case !ro.Anonymous && !re.hasKeys():
		re.add(Error, entry, "all requests are refused: the route needs a key, and no team has one")
	}
}

func (re *report) hasKeys() bool {
	return slices.ContainsFunc(re.config.Teams, func(te plan.Team) bool { return len(te.Keys) > 0 })
}

func (re *report) checkBackends(ro plan.Route, services map[string]bool) {
	entry := "route " + ro.Name
	sum := 0
	for _, ba := range ro.Backends {
		switch {
		case ba.Weight < 0:
			re.add(Error, entry, "the weight %d of service %s is below zero", ba.Weight, ba.Service)
		case ba.Weight == 0:
			re.add(Warning, entry, "service %s is never chosen: its weight is zero", ba.Service)
		case !services[ba.Service]:
			re.add(Error, entry, "service %s does not exist", ba.Service)
		}
		sum += ba.Weight
	}
	if sum <= 0 {
		re.add(Error, entry, "no service is chosen: the weights add up to %d", sum)
	}
}

// checkTimes reports times that contradict each other.
func (re *report) checkTimes(ro plan.Route) {
	entry := "route " + ro.Name
	if ro.Timeout < 0 || ro.LatencyTarget < 0 || ro.InterEventTarget < 0 {
		re.add(Error, entry, "a time is below zero")
		return
	}
	if idle := re.config.Limits.IdleTimeout; idle > 0 && idle < ro.LatencyTarget {
		re.add(Warning, entry, "the latency target %s is longer than the idle timeout %s of callers' connections", ro.LatencyTarget, idle)
	}
	if ro.InterEventTarget > 0 && !ro.Stream {
		re.add(Warning, entry, "the target between two events has no effect: responses are no streams")
	}
	if ro.Timeout == 0 {
		return
	}
	if ro.LatencyTarget > ro.Timeout {
		re.add(Warning, entry, "the latency target %s is longer than the timeout %s", ro.LatencyTarget, ro.Timeout)
	}
	if ro.InterEventTarget > ro.Timeout {
		re.add(Warning, entry, "the target %s between two events is longer than the timeout %s", ro.InterEventTarget, ro.Timeout)
	}
	if header := re.config.Limits.HeaderTimeout; header > ro.Timeout {
		re.add(Warning, entry, "the timeout %s is shorter than the time %s that callers have for the headers", ro.Timeout, header)
	}
}

// checkAttempts reports numbers of attempts that contradict what may be repeated.
func (re *report) checkAttempts(ro plan.Route) {
	entry := "route " + ro.Name
	if ro.MaxAttempts > 1 && ro.RetrySafety == plan.Once {
		re.add(Warning, entry, "%d attempts are allowed, but a request that may have run is never sent again", ro.MaxAttempts)
	}
	if ro.MaxAttempts == 1 && ro.RetrySafety == plan.Resumable {
		re.add(Warning, entry, "a broken stream is not resumed within its response: one attempt is allowed")
	}
}

func (re *report) checkServices() {
	used := map[string]bool{}
	for _, ro := range re.config.Routes {
		for _, ba := range ro.Backends {
			used[ba.Service] = used[ba.Service] || ba.Weight > 0
		}
	}
	for _, se := range re.config.Services {
		entry := "service " + se.Name
		if !used[se.Name] {
			re.add(Warning, entry, "no route sends requests to the service")
		}
		if se.MaxConnections < 0 || se.Slots < 0 || se.KVCapacityTokens < 0 || se.TokensPerEvent < 0 {
			re.add(Error, entry, "a number is below zero")
		}
		if se.KVCapacityTokens > 0 && se.KVCapacityTokens < int64(se.Slots) {
			re.add(Error, entry, "%d slots do not fit into a cache of %d tokens", se.Slots, se.KVCapacityTokens)
		}
		if se.MaxConnections > 0 && se.MaxConnections < se.Slots {
			re.add(Warning, entry, "%d connections do not fill %d slots", se.MaxConnections, se.Slots)
		}
	}
}

func (re *report) checkTeams() {
	owners := map[string]string{}
	for _, te := range re.config.Teams {
		entry := "team " + te.Name
		if len(te.Keys) == 0 {
			re.add(Warning, entry, "no request belongs to the team: it has no key")
		}
		if te.Limited && te.Prepaid <= 0 {
			re.add(Warning, entry, "all requests with a size are refused: the prepaid total is %d tokens", te.Prepaid)
		}
		for _, key := range te.Keys {
			owner, taken := owners[key]
			switch {
			case key == "":
				re.add(Error, entry, "a key is empty")
			case taken && owner == te.Name:
				re.add(Warning, entry, "a key stands twice")
			case taken:
				re.add(Error, entry, "a key belongs to team %s, too; the last team is in force", owner)
			}
			owners[key] = te.Name
		}
	}
}

func (re *report) checkLimits() {
	li := re.config.Limits
	for _, val := range []struct {
		name  string
		value int64
	}{
		{"maximum size of headers", int64(li.MaxHeaderBytes)},
		{"maximum size of bodies", li.MaxBodyBytes},
		{"time for headers", int64(li.HeaderTimeout)},
		{"idle timeout", int64(li.IdleTimeout)},
	} {
		if val.value <= 0 {
			re.add(Warning, "limits", "the %s is not set; the instances use their own default", val.name)
		}
	}
}
