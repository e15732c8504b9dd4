package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/experiment"
)

// loadFlags are the flags of the command load.
type loadFlags struct {
	urls []string
	rate float64
	seed uint64
	json string
}

// newLoadCommand returns the command that sends open-loop load to real nodes.
func newLoadCommand() *cobra.Command {
	f := loadFlags{}
	cmd := &cobra.Command{
		Use:   "load SCENARIO.yaml",
		Short: "Sends the workload of a scenario to running nodes and prints what callers saw",
		Long: `load sends the workload of a scenario to running nodes, in an open loop: requests are sent at their scheduled times
whether or not earlier ones have ended, and times count from the schedule. The site of the scenario is not used.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runLoad(cmd, args[0], f) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.urls, "url", []string{"http://127.0.0.1:8080"}, "base URL of a node; may be given more than once")
	flags.Float64Var(&f.rate, "rate", 0, "completion requests a second; 0 takes the scenario's")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of arrivals and prompts")
	flags.StringVar(&f.json, "json", "", "file for the result as JSON")
	return cmd
}

func runLoad(cmd *cobra.Command, path string, f loadFlags) error {
	scenario, err := experiment.LoadScenario(path)
	if err != nil {
		return err
	}
	if f.rate > 0 {
		scenario.Workload.RequestsPerSecond = f.rate
	}
	result := experiment.RunLoad(cmd.Context(), f.urls, scenario.Workload, scenario.Arrivals(f.seed), progressLine(cmd, "load"))
	cmd.PrintErrln()
	if f.json != "" {
		if err := writeJSON(f.json, result); err != nil {
			return err
		}
	}
	return printLoad(cmd, result)
}

// printLoad prints one result, and the whole answers by second as bars.
func printLoad(cmd *cobra.Command, r experiment.Result) error {
	r.Policy = "result"
	c := experiment.Comparison{Scenario: "load", Results: []experiment.Result{r}}
	if err := c.Write(cmd.OutOrStdout(), []string{r.Policy}); err != nil {
		return err
	}
	for reason, n := range r.Errors {
		cmd.Printf("error %s: %d\n", reason, n)
	}
	most := max(1, slices.Max(append([]int{0}, r.CompletedBySecond...)))
	for second, n := range r.CompletedBySecond {
		cmd.Printf("%4d s %5d %s\n", second, n, bar(n, most))
	}
	return nil
}

// barWidth is the length of the longest bar in characters.
const barWidth = 50

func bar(n, most int) string { return fmt.Sprintf("%.*s", n*barWidth/most, longestBar) }

const longestBar = "##################################################"
