package main

import (
	"github.com/spf13/cobra"

	"azuredyke.dev/azuredyke/common/signals"
)

// newRootCommand returns the root command of the daemon.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "azuredyked",
		Short:         "Schedules model generations and plain service calls onto endpoints of limited capacity",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(cmd *cobra.Command, _ []string) {
			if cmd.Name() != "edge" {
				signals.EndOnHangup()
			}
		},
	}
	root.AddCommand(newServeCommand(), newCheckCommand(), newDevCommand(), newEdgeCommand())
	return root
}
