package config

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Problem is one mistake in a settings file.
type Problem struct {
	// Line is the line number of the mistake, or zero if the mistake belongs to no line.
	Line int
	// Key names the setting with the mistake as section.key, or only its section.
	Key string
	// Message says what is wrong with the setting, without its name.
	Message string
}

// Problems is an error that lists every mistake of a settings file.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, pr := range ps {
		lines = append(lines, pr.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the problem as one line of text.
func (pr Problem) String() string {
	if pr.Line == 0 {
		return fmt.Sprintf("%s %s", pr.Key, pr.Message)
	}
	return fmt.Sprintf("line %d: %s %s", pr.Line, pr.Key, pr.Message)
}

// Load reads and validates a settings file; mistakes in it are returned together as Problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read the settings")
	}
	return Parse(data)
}

// Parse parses and validates settings; the error is of type Problems.
func Parse(data []byte) (Settings, error) {
	return parse(data, settingsTable, (*parser).checkConsistency)
}

// LoadEdge reads and validates the settings file of an instance that runs with the command edge; mistakes in it are returned together
// as Problems.
func LoadEdge(path string) (Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, eris.Wrap(err, "read the settings")
	}
	return ParseEdge(data)
}

// ParseEdge parses and validates the settings of an instance that runs with the command edge; the error is of type Problems.
func ParseEdge(data []byte) (Edge, error) {
	se, err := parse(data, edgeSettingsTable, (*parser).checkEdgeConsistency)
	return se.Edge, err
}

// parse parses settings by a table and then checks them against each other.
func parse(data []byte, tb []setting, checkConsistency func(pa *parser)) (Settings, error) {
	pa := parser{table: tb, settings: defaultsOf(tb), lines: indexLines(data)}
	fi, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", AllowShadows: true, SkipUnrecognizableLines: false}, data)
	if err != nil {
		return Settings{}, Problems{{Key: "settings", Message: "cannot be read: " + err.Error()}}
	}
	pa.readSections(fi)
	pa.checkRequired()
	checkConsistency(&pa)
	if len(pa.problems) > 0 {
		slices.SortStableFunc(pa.problems, func(aa, bb Problem) int { return aa.Line - bb.Line })
		return Settings{}, pa.problems
	}
	return pa.settings, nil
}

// parser holds the settings and problems found so far in a settings file. Settings have IDs of the form section.key.
type parser struct {
	table    []setting
	settings Settings
	// lines holds the line numbers of each setting and section, by ID.
	lines    map[string][]int
	problems Problems
	// present holds the IDs of the settings in the file.
	present []string
}

// addProblem records a mistake in the setting or section with this ID.
func (pa *parser) addProblem(id, format string, args ...any) {
	line := 0
	if at := pa.lines[id]; len(at) > 0 {
		line = at[0]
	}
	pa.problems = append(pa.problems, Problem{Line: line, Key: id, Message: fmt.Sprintf(format, args...)})
}

func (pa *parser) readSections(fi *ini.File) {
	for _, sc := range fi.Sections() {
		if sc.Name() != ini.DefaultSection && !hasSection(pa.table, sc.Name()) {
			pa.addProblem(sc.Name(), "is not a section")
			continue
		}
		for _, ke := range sc.Keys() {
			pa.readKey(sc.Name(), ke)
		}
	}
}

func (pa *parser) readKey(section string, ke *ini.Key) {
	sg, ok := lookup(pa.table, section, ke.Name())
	id := section + "." + ke.Name()
	if !ok {
		pa.addProblem(id, "is not a setting")
		return
	}
	pa.present = append(pa.present, id)
	if len(pa.lines[id]) > 1 {
		pa.addProblem(id, "is set %d times", len(pa.lines[id]))
		return
	}
	if err := sg.assign(&pa.settings, ke.String()); err != nil {
		pa.addProblem(id, "%s", err)
	}
}

func (pa *parser) checkRequired() {
	for _, sg := range pa.table {
		if sg.required && !slices.Contains(pa.present, sg.id()) {
			pa.addProblem(sg.id(), "is missing")
		}
	}
}

// checkConsistency adds a problem for each setting that contradicts another.
func (pa *parser) checkConsistency() {
	se := pa.settings
	if se.Budgets.SlackSpan < se.Budgets.Delay {
		pa.addProblem("budgets.slackSpan", "must not be below budgets.delay, or requests are refused whenever the log is delayed")
	}
	if se.Log.Heartbeat >= se.Budgets.Delay {
		pa.addProblem("log.heartbeat", "must be below budgets.delay, or ceilings rise between two heartbeats")
	}
	if se.Log.MinInterval > se.Log.FlushInterval {
		pa.addProblem("log.minInterval", "must not be above log.flushInterval")
	}
	in := se.Instance
	if in.CallerAddress == in.OperatorAddress || in.CallerAddress == in.PeerAddress || in.OperatorAddress == in.PeerAddress {
		pa.addProblem("instance.peerAddress", "callerAddress, operatorAddress and peerAddress must differ")
	}
	pa.checkTLS(se.TLS)
}

func (pa *parser) checkTLS(tl TLS) {
	files := tl.Certificate != "" || tl.Key != "" || tl.PeerAuthority != ""
	switch {
	case tl.PlainText && files:
		pa.addProblem("tls.plainText", "is true, but certificate, key or peerAuthority is set")
	case !tl.PlainText && (tl.Certificate == "" || tl.Key == "" || tl.PeerAuthority == ""):
		pa.addProblem("tls.certificate", "certificate, key and peerAuthority are required unless plainText is true")
	}
	for _, fi := range []struct{ id, path string }{
		{"tls.certificate", tl.Certificate}, {"tls.key", tl.Key}, {"tls.peerAuthority", tl.PeerAuthority},
	} {
		if fi.path == "" {
			continue
		}
		if _, err := os.Stat(fi.path); err != nil {
			pa.addProblem(fi.id, "cannot be read: %s", err)
		}
	}
}

// indexLines returns the line numbers of each section and key.
func indexLines(data []byte) map[string][]int {
	lines := map[string][]int{}
	section := ini.DefaultSection
	for ix, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = strings.Trim(line, "[] ")
			lines[section] = append(lines[section], ix+1)
		default:
			key, _, _ := strings.Cut(line, "=")
			id := section + "." + strings.TrimSpace(key)
			lines[id] = append(lines[id], ix+1)
		}
	}
	return lines
}
