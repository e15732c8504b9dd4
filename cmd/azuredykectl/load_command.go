package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/experiment"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	urls     []string
	rate     float64
	seed     uint64
	jsonPath string
}

// newLoadCommand returns the command that sends open-loop load to running nodes.
func newLoadCommand() *cobra.Command {
	f := loadFlags{}
	cmd := &cobra.Command{
		Use:   "load SCENARIO.yaml",
		Short: "Sends the workload of a scenario to running nodes and prints the measurements of the callers",
		Long: `load sends the workload of a scenario to running nodes in an open loop: each request is sent at its scheduled time, even
if earlier requests have not ended. Latencies are measured from the scheduled time. The scenario's site is ignored.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runLoad(cmd, args[0], f) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.urls, "url", []string{"http://127.0.0.1:8080"}, "base URL of a node; repeatable")
	flags.Float64Var(&f.rate, "rate", 0, "completion requests per second; 0 uses the rate of the scenario")
	flags.Uint64Var(&f.seed, "seed", 1, "seed for arrival times and prompts")
	flags.StringVar(&f.jsonPath, "json", "", "file to which the result is written as JSON")
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
	result := experiment.RunLoad(cmd.Context(), f.urls, scenario.Workload, scenario.Arrivals(f.seed), newProgressPrinter(cmd, "load"))
	cmd.PrintErrln()
	if f.jsonPath != "" {
		if err := writeJSON(f.jsonPath, result); err != nil {
			return err
		}
	}
	return printLoadResult(cmd, result)
}

// printLoadResult prints one result and a bar chart of the complete responses in each second.
func printLoadResult(cmd *cobra.Command, r experiment.Result) error {
	r.Policy = "result"
	c := experiment.Comparison{Scenario: "load", Results: []experiment.Result{r}}
	if err := c.Write(cmd.OutOrStdout(), []string{r.Policy}); err != nil {
		return err
	}
	for reason, n := range r.Errors {
		cmd.Printf("error %s: %d\n", reason, n)
	}
	maxCount := max(1, slices.Max(append([]int{0}, r.CompletedBySecond...)))
	for second, n := range r.CompletedBySecond {
		cmd.Printf("%4d s %5d %s\n", second, n, bar(n, maxCount))
	}
	return nil
}

// barWidth is the width of the longest bar in characters.
const barWidth = 50

func bar(n, maxCount int) string { return fmt.Sprintf("%.*s", n*barWidth/maxCount, fullBar) }

const fullBar = "##################################################"
