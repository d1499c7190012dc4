package emul

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Tally summarizes the outcomes of the requests of one class, or of all classes.
type Tally struct {
	// Class is the name of the class, or "all".
	Class string
	// Requests is the number of requests. A request that is retried after a refusal counts once.
	Requests int
	// WithinTarget is the share of requests whose first token met the latency target. WithinTarget, Late, Refused and Canceled add up to 1.
	WithinTarget float64
	// Late is the share of requests whose first token came after the latency target.
	Late float64
	// Refused is the share of requests that were refused twice.
	Refused float64
	// Canceled is the share of requests that were not refused twice, but got no first token before the caller gave up or the simulation ended.
	Canceled float64
	// Worth is earned / possible. earned adds up Class.Worth for each first token within the latency target and Class.LateWorth for each later
	// one; possible adds up Class.Worth for every request.
	Worth float64
	// P50 is the median time to the first token: from a request's first arrival until its first token, over the requests that got one.
	P50 time.Duration
	// P95 is the 95th percentile of the time to the first token.
	P95 time.Duration
	// P99 is the 99th percentile of the time to the first token.
	P99 time.Duration
}

// Result is the outcome of one simulation.
type Result struct {
	// Scenario is the name of the simulated scenario.
	Scenario string
	// Policy is the name of the policy that chose the runners.
	Policy string
	// All summarizes the requests of all classes.
	All Tally
	// Classes has one summary for each class, in the order of Scenario.Classes.
	Classes []Tally
	// PrefillTokens is the number of prompt tokens that runners prefilled.
	PrefillTokens int64
	// RepeatedPrefillTokens is the part of PrefillTokens that was prefilled again: tokens of shared prompt parts that the same or another
	// runner had prefilled before.
	RepeatedPrefillTokens int64
	// Limits says how the rate limits of the runners were kept, if there are any.
	Limits LimitTally
	// Resumptions counts the streams that were resumed.
	Resumptions Resumptions
	// Falls is the number of times that a brittle runner fell over.
	Falls int
	// Cut compares the instances that reached no runner with the others, if there was such a time.
	Cut CutTally
	// Left counts the requests that left the failure domain of their instance.
	Left LeftTally
}

func (si *simulation) result(policy string) Result {
	re := Result{Scenario: si.scenario.Name, Policy: policy, All: tallyOf("all", si.requests), Limits: si.limitTally(), Resumptions: si.resumptions, Falls: si.falls(), Cut: si.cutTally(), Left: si.left}
	for _, cl := range si.scenario.Classes {
		var list []*callerRequest
		for _, cr := range si.requests {
			if cr.class.Name == cl.Name {
				list = append(list, cr)
			}
		}
		re.Classes = append(re.Classes, tallyOf(cl.Name, list))
	}
	for _, ru := range si.runners {
		re.PrefillTokens += ru.prefillTokens
		re.RepeatedPrefillTokens += ru.repeatedPrefillTokens
	}
	return re
}

// tallyOf returns the tally of a list of requests; name becomes its class.
func tallyOf(name string, list []*callerRequest) Tally {
	ta := Tally{Class: name, Requests: len(list)}
	if len(list) == 0 {
		return ta
	}
	var firsts []time.Duration
	share := 1 / float64(len(list))
	earned, possible := 0.0, 0.0
	for _, cr := range list {
		possible += cr.class.Worth
		first := cr.firstTokenAt - cr.arrivedAt
		switch {
		case cr.firstTokenAt == 0 && cr.refusals > 1:
			ta.Refused += share
		case cr.firstTokenAt == 0:
			ta.Canceled += share
		case first <= cr.class.LatencyTarget:
			ta.WithinTarget += share
			earned += cr.class.Worth
		default:
			ta.Late += share
			earned += cr.class.LateWorth
		}
		if cr.firstTokenAt > 0 {
			firsts = append(firsts, first)
		}
	}
	ta.Worth = earned / possible
	slices.Sort(firsts)
	if len(firsts) > 0 {
		at := func(percent int) time.Duration { return firsts[(len(firsts)-1)*percent/100] }
		ta.P50, ta.P95, ta.P99 = at(50), at(95), at(99)
	}
	return ta
}

const (
	// columns holds the headings of the table.
	columns = "scenario\tpolicy\tclass\trequests\tworth\tin objective\tlate\trefused\tleft\tfirst p50\tp95\tp99\tread, M\tagain, M\n"
	// columnFormat is the format of one row.
	columnFormat = "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\t%s\t%s\t%s\n"
)

// Write writes results as one table; if classes is set, each result also has a row for each class.
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

// writeRow writes one row. The prefilled tokens are not known by class, so they are only written if all is set: in the row of all classes.
func (re Result) writeRow(wr io.Writer, ta Tally, all bool) error {
	read, again := "", ""
	if all {
		read, again = fmt.Sprintf("%.2f", float64(re.PrefillTokens)/1e6), fmt.Sprintf("%.2f", float64(re.RepeatedPrefillTokens)/1e6)
	}
	_, err := fmt.Fprintf(wr, columnFormat, re.Scenario, re.Policy, ta.Class, ta.Requests, ta.Worth, ta.WithinTarget, ta.Late,
		ta.Refused, ta.Canceled, rounded(ta.P50), rounded(ta.P95), rounded(ta.P99), read, again)
	return err
}

func rounded(du time.Duration) time.Duration { return du.Round(time.Millisecond) }
