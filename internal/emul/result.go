package emul

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Tally is what became of the requests of one class, or of all.
type Tally struct {
	Class    string
	Requests int
	// InObjective is the share whose first token came within the objective, Late the share of those that came later, Refused the share that
	// was refused for good, and Left the share whose caller left before.
	InObjective float64
	Late        float64
	Refused     float64
	Left        float64
	// Worth is what was earned of what all answers within their objectives would have earned.
	Worth float64
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
}

// Result is what one play gave.
type Result struct {
	Scenario string
	Policy   string
	All      Tally
	Classes  []Tally
	// Read is how many prompt tokens were read, ReadAgain how many of them shared ones that some runner had read before.
	Read      int64
	ReadAgain int64
}

func (wo *world) result(policy string) Result {
	re := Result{Scenario: wo.scenario.Name, Policy: policy, All: tallyOf("all", wo.visits)}
	for _, cl := range wo.scenario.Classes {
		var list []*visit
		for _, vi := range wo.visits {
			if vi.class.Name == cl.Name {
				list = append(list, vi)
			}
		}
		re.Classes = append(re.Classes, tallyOf(cl.Name, list))
	}
	for _, ru := range wo.runners {
		re.Read += ru.read
		re.ReadAgain += ru.readAgain
	}
	return re
}

func tallyOf(name string, list []*visit) Tally {
	ta := Tally{Class: name, Requests: len(list)}
	if len(list) == 0 {
		return ta
	}
	var firsts []time.Duration
	share := 1 / float64(len(list))
	earned, owed := 0.0, 0.0
	for _, vi := range list {
		owed += vi.class.Worth
		first := vi.firstAt - vi.begun
		switch {
		case vi.firstAt == 0 && vi.refused > 1:
			ta.Refused += share
		case vi.firstAt == 0:
			ta.Left += share
		case first <= vi.class.Objective:
			ta.InObjective += share
			earned += vi.class.Worth
		default:
			ta.Late += share
			earned += vi.class.LateWorth
		}
		if vi.firstAt > 0 {
			firsts = append(firsts, first)
		}
	}
	ta.Worth = earned / owed
	slices.Sort(firsts)
	if len(firsts) > 0 {
		at := func(percent int) time.Duration { return firsts[(len(firsts)-1)*percent/100] }
		ta.P50, ta.P95, ta.P99 = at(50), at(95), at(99)
	}
	return ta
}

// columns are the headings of the table, columnFormat the format of one row.
const (
	columns      = "scenario\tpolicy\tclass\trequests\tworth\tin objective\tlate\trefused\tleft\tfirst p50\tp95\tp99\tread, M\tagain, M\n"
	columnFormat = "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\t%s\t%s\t%s\n"
)

// Write prints results as one table; with classes, a row for each class, too.
func Write(wr io.Writer, list []Result, classes bool) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(tw, columns); err != nil {
		return err
	}
	for _, re := range list {
		rows := []Tally{re.All}
		if classes {
			rows = append(rows, re.Classes...)
		}
		for ix, ta := range rows {
			if err := re.writeRow(tw, ta, ix == 0); err != nil {
				return err
			}
		}
	}
	return tw.Flush()
}

// writeRow prints one row; what was read is known of all classes together.
func (re Result) writeRow(wr io.Writer, ta Tally, all bool) error {
	read, again := "", ""
	if all {
		read, again = fmt.Sprintf("%.2f", float64(re.Read)/1e6), fmt.Sprintf("%.2f", float64(re.ReadAgain)/1e6)
	}
	_, err := fmt.Fprintf(wr, columnFormat, re.Scenario, re.Policy, ta.Class, ta.Requests, ta.Worth, ta.InObjective, ta.Late, ta.Refused, ta.Left,
		rounded(ta.P50), rounded(ta.P95), rounded(ta.P99), read, again)
	return err
}

func rounded(du time.Duration) time.Duration { return du.Round(time.Millisecond) }
