package measurer

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Measure is one figure of a run.
type Measure struct {
	Name  string // in snake case, with the unit
	Title string
	Value func(Result) float64
}

// Measures returns the four measures of the design, followed by the counts of requests
// that did not run at their first attempt.
func Measures() []Measure {
	return []Measure{
		{
			Name:  "buffer_vms",
			Title: "spare VMs without work",
			Value: func(r Result) float64 { return r.BufferVMs },
		},
		{
			Name:  "roll_out_seconds",
			Title: "roll-out, s",
			Value: func(r Result) float64 { return r.RollOut.Seconds() },
		},
		{
			Name:  "moves",
			Title: "moves",
			Value: func(r Result) float64 { return float64(r.Moves) },
		},
		{
			Name:  "share_error_percent",
			Title: "share error, %",
			Value: func(r Result) float64 { return 100 * r.ShareError },
		},
		{
			Name:  "refused",
			Title: "refused",
			Value: func(r Result) float64 { return float64(r.Refused) },
		},
		{
			Name:  "expired",
			Title: "expired",
			Value: func(r Result) float64 { return float64(r.Expired) },
		},
		{
			Name:  "retried",
			Title: "retried",
			Value: func(r Result) float64 { return float64(r.Retried) },
		},
		{
			Name:  "lost",
			Title: "lost",
			Value: func(r Result) float64 { return float64(r.Lost) },
		},
	}
}

// Spread is the mean and the range of a figure over the seeds.
type Spread struct {
	Mean float64
	Min  float64
	Max  float64
}

func spread(values []float64) Spread {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Spread{
		Mean: sum / float64(len(values)),
		Min:  slices.Min(values),
		Max:  slices.Max(values),
	}
}

// policySpread returns the spread of a figure over the runs of a policy.
func policySpread(results []Result, policy string, value func(Result) float64) Spread {
	var values []float64
	for _, r := range results {
		if r.Policy == policy {
			values = append(values, value(r))
		}
	}
	return spread(values)
}

func policyNames(results []Result) []string {
	var names []string
	for _, r := range results {
		if !slices.Contains(names, r.Policy) {
			names = append(names, r.Policy)
		}
	}
	return names
}

// streams returns every team and class in the order of the tables.
func streams() []Stream {
	var list []Stream
	for _, t := range teams() {
		for _, k := range kinds() {
			list = append(list, Stream{
				Team:  t.name,
				Class: string(k.class),
			})
		}
	}
	return list
}

// quantiles are the quantiles of the waits that are reported.
func quantiles() []float64 { return []float64{0.5, 0.99, 0.999} }

// quantile returns the value at the nearest rank of sorted values, 0 when there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// WriteTables prints the measures of each policy and the waits of each team and class. Every
// figure is the mean over the seeds, followed by the least and the greatest value.
func WriteTables(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	titles := make([]string, 0, len(Measures()))
	for _, m := range Measures() {
		titles = append(titles, m.Title)
	}
	fmt.Fprintf(tw, "policy\t%s\t\n", strings.Join(titles, "\t"))
	for _, policy := range policyNames(results) {
		fmt.Fprintf(tw, "%s\t", policy)
		for _, m := range Measures() {
			s := policySpread(results, policy, m.Value)
			fmt.Fprintf(tw, "%.4g [%.4g, %.4g]\t", s.Mean, s.Min, s.Max)
		}
		fmt.Fprintln(tw)
	}
	for _, policy := range policyNames(results) {
		n := 0.0
		if s := policySpread(results, policy, unfinished); s.Max > 0 {
			n = s.Mean
		}
		if n > 0 {
			fmt.Fprintf(tw, "%s: the roll-out did not end within the run in %.0f%% of the seeds\n", policy, 100*n)
		}
	}
	fmt.Fprintf(tw, "\npolicy\tteam\tclass\twait p50, ms\twait p99, ms\twait p999, ms\t\n")
	for _, policy := range policyNames(results) {
		for _, st := range streams() {
			fmt.Fprintf(tw, "%s\t%s\t%s\t", policy, st.Team, st.Class)
			for _, q := range quantiles() {
				s := policySpread(results, policy, func(r Result) float64 { return milliseconds(quantile(r.Waits[st], q)) })
				fmt.Fprintf(tw, "%.0f [%.0f, %.0f]\t", s.Mean, s.Min, s.Max)
			}
			fmt.Fprintln(tw)
		}
	}
	return Error.Wrap(tw.Flush())
}

// unfinished returns 1 if the roll-out did not end within the run, otherwise 0.
func unfinished(r Result) float64 {
	if r.RollOutFinished {
		return 0
	}
	return 1
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
