package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Comparison holds the results of several policies with the same seeds.
type Comparison struct {
	Scenario string   `json:"scenario"`
	Results  []Result `json:"results"`
}

// measure is one row of the comparison table.
type measure struct {
	name  string
	value func(Result) float64
	// mustBeZero is set for measures of correctness, for which any value other than 0 indicates a defect.
	mustBeZero bool
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measures lists the rows of the table, those that callers perceive first.
var measures = []measure{
	{name: "token interval p50 (ms)", value: func(r Result) float64 { return milliseconds(r.TokenInterval.P50) }},
	{name: "token interval p95 (ms)", value: func(r Result) float64 { return milliseconds(r.TokenInterval.P95) }},
	{name: "token interval p99 (ms)", value: func(r Result) float64 { return milliseconds(r.TokenInterval.P99) }},
	{name: "stall time (s)", value: func(r Result) float64 { return r.StallTime.Seconds() }},
	{name: "preemptions", value: func(r Result) float64 { return float64(r.Preemptions) }},
	{name: "first token p50 (ms)", value: func(r Result) float64 { return milliseconds(r.FirstToken.P50) }},
	{name: "first token p95 (ms)", value: func(r Result) float64 { return milliseconds(r.FirstToken.P95) }},
	{name: "orders p95 (ms)", value: func(r Result) float64 { return milliseconds(r.OrderLatency.P95) }},
	{name: "completed tokens", value: func(r Result) float64 { return float64(r.Tokens) }},
	{name: "completed requests", value: func(r Result) float64 { return float64(r.Completed) }},
	{name: "errors", value: func(r Result) float64 { return float64(r.Requests - r.Completed) }},
	{name: "cold-start excess", value: func(r Result) float64 { return float64(r.ColdExcess) }, mustBeZero: true},
	{name: "repeated orders", value: func(r Result) float64 { return float64(r.RepeatedCalls) }, mustBeZero: true},
	{name: "lost or doubled parts", value: func(r Result) float64 { return float64(r.SequenceErrors) }, mustBeZero: true},
}

// Write prints the median and the range of each measure for each policy. The last column is the ratio of the medians of
// the first and the second policy.
func (c Comparison) Write(w io.Writer, policies []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\t", c.Scenario)
	for _, p := range policies {
		fmt.Fprintf(t, "%s\t", p)
	}
	baseline := policies[min(1, len(policies)-1)]
	fmt.Fprintf(t, "%s / %s\n", policies[0], baseline)
	for _, m := range measures {
		fmt.Fprintf(t, "%s\t", m.name)
		for _, p := range policies {
			values := c.values(p, m)
			fmt.Fprintf(t, "%.4g (%.4g to %.4g)\t", median(values), values[0], values[len(values)-1])
		}
		fmt.Fprintf(t, "%s\n", ratio(median(c.values(policies[0], m)), median(c.values(baseline, m))))
	}
	return t.Flush()
}

// values returns the sorted values of one measure for all seeds of a policy, or a single 0 if there is no result.
func (c Comparison) values(policy string, m measure) []float64 {
	var values []float64
	for _, r := range c.Results {
		if r.Policy == policy {
			values = append(values, m.value(r))
		}
	}
	if len(values) == 0 {
		return []float64{0}
	}
	slices.SortFunc(values, cmp.Compare[float64])
	return values
}

func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func ratio(numerator, denominator float64) string {
	if denominator == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", numerator/denominator)
}
