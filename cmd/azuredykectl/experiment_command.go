package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/experiment"
)

// experimentFlags holds the flags of the experiment command.
type experimentFlags struct {
	policies  []string
	seeds     int
	firstSeed uint64
	jsonPath  string
}

// newExperimentCommand returns the command that compares placement policies.
func newExperimentCommand() *cobra.Command {
	f := experimentFlags{}
	cmd := &cobra.Command{
		Use:   "experiment SCENARIO.yaml",
		Short: "Compares placement policies on the same seeds, with in-process nodes and fake endpoints",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return runExperiment(cmd, args[0], f) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.policies, "policies", []string{"azuredyke", "least_outstanding", "round_robin"},
		"policies to run; the ratio column divides the first by the second")
	flags.IntVar(&f.seeds, "seeds", 5, "number of seeds")
	flags.Uint64Var(&f.firstSeed, "first-seed", 1, "first seed")
	flags.StringVar(&f.jsonPath, "json", "", "file to which all results are written as JSON")
	return cmd
}

func runExperiment(cmd *cobra.Command, path string, f experimentFlags) error {
	scenario, err := experiment.LoadScenario(path)
	if err != nil {
		return err
	}
	comparison := experiment.Comparison{Scenario: scenario.Name}
	for seed := f.firstSeed; seed < f.firstSeed+uint64(f.seeds); seed++ {
		for _, policy := range f.policies {
			label := fmt.Sprintf("seed %d, %s", seed, policy)
			result, err := experiment.Run(cmd.Context(), scenario, policy, seed, newProgressPrinter(cmd, label))
			if err != nil {
				return err
			}
			comparison.Results = append(comparison.Results, result)
		}
	}
	cmd.PrintErrln()
	if f.jsonPath != "" {
		if err := writeJSON(f.jsonPath, comparison); err != nil {
			return err
		}
	}
	return comparison.Write(cmd.OutOrStdout(), f.policies)
}

// newProgressPrinter returns a function that prints progress to standard error and overwrites the same line each time.
func newProgressPrinter(cmd *cobra.Command, label string) func(experiment.Progress) {
	return func(p experiment.Progress) {
		cmd.PrintErrf("\r%s: %3.0f s, %d of %d requests ended   ", label, p.Elapsed.Seconds(), p.Ended, p.Total)
	}
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
