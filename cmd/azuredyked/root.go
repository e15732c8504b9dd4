package main

import "github.com/spf13/cobra"

// newRootCommand returns the root command of the daemon.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "azuredyked",
		Short:         "Schedules model generations and plain service calls onto endpoints of limited capacity",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServeCommand(), newCheckCommand(), newDevCommand(), newEdgeCommand())
	return root
}
