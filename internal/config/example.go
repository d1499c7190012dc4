package config

import (
	"fmt"
	"strings"
)

// exampleValues holds the values that the example sets in place of a default.
var exampleValues = map[string]string{
	"instance.name":       "entry-1",
	"instance.domain":     "domain-a",
	"platform.logAddress": "http://127.0.0.1:9280",
	"tls.plainText":       "true",
}

// Example returns a valid settings file with every setting and its description; settings with a default are commented out.
func Example() string {
	var sb strings.Builder
	section := ""
	for _, sg := range settingsTable {
		if sg.section != section {
			section = sg.section
			fmt.Fprintf(&sb, "\n[%s]\n", section)
		}
		fmt.Fprintf(&sb, "# %s\n", sg.description)
		val, ok := exampleValues[sg.id()]
		switch {
		case ok:
			fmt.Fprintf(&sb, "%s = %s\n", sg.key, val)
		default:
			fmt.Fprintf(&sb, "; %s = %s\n", sg.key, sg.defaultValue)
		}
	}
	return strings.TrimLeft(sb.String(), "\n")
}

// Reference returns the table of all settings as Markdown.
func Reference() string {
	var sb strings.Builder
	sb.WriteString("| setting | default | meaning |\n|---|---|---|\n")
	for _, sg := range settingsTable {
		fallback := sg.defaultValue
		if sg.required {
			fallback = "(required)"
		}
		fmt.Fprintf(&sb, "| `%s.%s` | %s | %s |\n", sg.section, sg.key, fallback, sg.description)
	}
	return sb.String()
}
