package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/explanation"
)

// printExplanation prints the inputs of a choice, a table of the endpoints and the outcome.
func printExplanation(out io.Writer, x *explanation.Answer) error {
	othersAge, waiting := "none reported", "off"
	if x.OthersLoadAgeMS != nil {
		othersAge = formatMS(*x.OthersLoadAgeMS)
	}
	if x.OrderedAdmission {
		waiting = fmt.Sprint(x.Waiting)
	}
	inputs := table{
		header: []string{
			"ROUTE", "SERVICE", "CONFIG", "REVISION", "CONFIRMED", "NODES", "OTHERS' LOAD", "PRIORITY", "ORDERED ADMISSION", "ENDPOINT SPEED",
			"WAITING",
		},
		rows: [][]string{{
			x.Route, x.Service, fmt.Sprint(x.ConfigurationVersion), fmt.Sprint(x.Revision), formatMS(x.ConfirmedAgeMS), fmt.Sprint(x.Nodes),
			othersAge, fmt.Sprint(x.Priority), onOrOff(x.OrderedAdmission), onOrOff(x.EndpointSpeed), waiting,
		}},
	}
	if err := inputs.write(out); err != nil {
		return err
	}
	fmt.Fprintln(out)
	endpoints := table{header: []string{
		"ENDPOINT", "DATA CENTRE", "VERSION", "USE", "IN FLIGHT", "MEMORY", "PROMPTS", "SLOWDOWN", "SCORE", "SCORES",
	}}
	for i := range x.Endpoints {
		endpoints.rows = append(endpoints.rows, endpointRow(&x.Endpoints[i], x.EndpointSpeed))
	}
	if err := endpoints.write(out); err != nil {
		return err
	}
	outcome := "\n" + x.Outcome
	if x.Chosen != "" {
		outcome += " to " + x.Chosen
	}
	if x.Reason != "" {
		outcome += ": " + x.Reason
	}
	_, err := fmt.Fprintf(out, "%s\nnote: %s\n", outcome, x.Note)
	return err
}

func endpointRow(e *explanation.Endpoint, bySpeed bool) []string {
	use := "yes"
	if !e.Usable {
		use = e.Reason
	}
	if e.LeftMS > 0 {
		use += " " + formatMS(e.LeftMS)
	}
	memory, slowdown := "-", "off"
	if e.MemoryLimit > 0 {
		memory = fmt.Sprintf("%d/%d", e.MemoryTokens, e.MemoryLimit)
	}
	if bySpeed {
		slowdown = fmt.Sprintf("%.2f", e.Slowdown)
	}
	var scores []string
	for _, name := range slices.Sorted(maps.Keys(e.Scores)) {
		scores = append(scores, fmt.Sprintf("%s=%.3f", name, e.Scores[name]))
	}
	return []string{
		e.ID, e.DataCentre, e.Version, use, fmt.Sprintf("%d/%d", e.InFlight, e.Limit), memory, fmt.Sprint(e.PromptTokens), slowdown,
		fmt.Sprintf("%.3f", e.Score), strings.Join(scores, " "),
	}
}

func formatMS(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func onOrOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
