package verify

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/clementineweir/clementineweir/pkg/plan"
)

// Change is one difference between the configuration in force and a new one.
type Change struct {
	// Entry names the entry, such as "team a".
	Entry string
	// Field is the changed field of the entry, or empty if the whole entry was added or removed.
	Field string
	// Old and New are the values; that of a whole entry is empty on the side where the entry is missing.
	Old, New string
}

// fields are the fields of an entry in the order in which they are printed. Values hold no secrets.
type fields []struct{ name, value string }

// entries are the entries of a configuration by name.
type entries map[string]fields

// Diff returns what a new configuration changes, ordered by entry. Of keys it states the numbers only.
func Diff(inForce, next plan.Config) []Change {
	former, later := entriesOf(inForce), entriesOf(next)
	var list []Change
	for entry, fs := range later {
		old, ok := former[entry]
		if !ok {
			list = append(list, Change{Entry: entry, New: "added"})
			continue
		}
		for ix, fi := range fs {
			if fi.value != old[ix].value {
				list = append(list, Change{Entry: entry, Field: fi.name, Old: old[ix].value, New: fi.value})
			}
		}
	}
	for entry := range former {
		if _, ok := later[entry]; !ok {
			list = append(list, Change{Entry: entry, Old: "removed"})
		}
	}
	list = append(list, changedKeys(inForce, next)...)
	slices.SortStableFunc(list, func(aa, bb Change) int {
		return cmp.Or(cmp.Compare(aa.Entry, bb.Entry), cmp.Compare(aa.Field, bb.Field))
	})
	return list
}

// CheckChange returns the findings in the change from the configuration in force to a new one.
func CheckChange(inForce, next plan.Config) []Finding {
	re := &report{config: next}
	if next.Version <= inForce.Version {
		re.add(Error, "version", "the instances ignore the configuration: its version %d is not higher than %d, which is in force", next.Version, inForce.Version)
	}
	totals := map[string]plan.Team{}
	for _, te := range inForce.Teams {
		totals[te.Name] = te
	}
	for _, te := range next.Teams {
		if old, ok := totals[te.Name]; ok && te.Limited && old.Limited && te.Prepaid < old.Prepaid {
			re.add(Warning, "team "+te.Name, "the prepaid total falls from %d to %d tokens; what is spent beyond it stays spent", old.Prepaid, te.Prepaid)
		}
	}
	return re.findings
}

func entriesOf(config plan.Config) entries {
	list := entries{}
	for _, ro := range config.Routes {
		list["route "+ro.Name] = fields{
			{"host", ro.Host},
			{"prefix", ro.Prefix},
			{"retrySafety", [...]string{"", "once", "idempotent", "resumable"}[ro.RetrySafety]},
			{"stream", fmt.Sprint(ro.Stream)},
			{"timeout", ro.Timeout.String()},
			{"latencyTarget", ro.LatencyTarget.String()},
			{"interEventTarget", ro.InterEventTarget.String()},
			{"maxAttempts", fmt.Sprint(ro.MaxAttempts)},
			{"priority", fmt.Sprint(ro.Priority)},
			{"anonymous", fmt.Sprint(ro.Anonymous)},
			{"backends", fmt.Sprint(ro.Backends)},
		}
	}
	for _, se := range config.Services {
		list["service "+se.Name] = fields{
			{"maxConnections", fmt.Sprint(se.MaxConnections)},
			{"tokensPerEvent", fmt.Sprint(se.TokensPerEvent)},
			{"kvCapacityTokens", fmt.Sprint(se.KVCapacityTokens)},
			{"slots", fmt.Sprint(se.Slots)},
			{"kvCopyRate", fmt.Sprint(se.KVCopyRate)},
		}
	}
	for _, te := range config.Teams {
		list["team "+te.Name] = fields{
			{"prepaid", total(te)},
			{"priority", priority(te)},
		}
	}
	li := config.Limits
	list["limits"] = fields{
		{"maxHeaderBytes", fmt.Sprint(li.MaxHeaderBytes)},
		{"maxBodyBytes", fmt.Sprint(li.MaxBodyBytes)},
		{"headerTimeout", li.HeaderTimeout.String()},
		{"idleTimeout", li.IdleTimeout.String()},
	}
	return list
}

func total(te plan.Team) string {
	if !te.Limited {
		return "unlimited"
	}
	return fmt.Sprint(te.Prepaid)
}

func priority(te plan.Team) string {
	if !te.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(te.Priority)
}

// changedKeys returns the teams whose keys change, with the numbers of keys that are dropped and added.
func changedKeys(inForce, next plan.Config) []Change {
	former := map[string][]string{}
	for _, te := range inForce.Teams {
		former[te.Name] = te.Keys
	}
	var list []Change
	for _, te := range next.Teams {
		old, ok := former[te.Name]
		if !ok {
			continue
		}
		dropped, added := missing(old, te.Keys), missing(te.Keys, old)
		if dropped+added > 0 {
			list = append(list, Change{Entry: "team " + te.Name, Field: "keys", Old: fmt.Sprintf("%d dropped", dropped), New: fmt.Sprintf("%d added", added)})
		}
	}
	return list
}

// missing returns the number of keys of the first list that the second one lacks.
func missing(list, other []string) int {
	count := 0
	for _, key := range list {
		if !slices.Contains(other, key) {
			count++
		}
	}
	return count
}
