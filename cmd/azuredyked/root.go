package main

import "github.com/spf13/cobra"

// newRootCommand returns the command line of the daemon.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "azuredyked",
		Short:         "Serves model generations and plain services over crowded endpoints",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServeCommand(), newCheckCommand(), newDevCommand(), newEdgeCommand())
	return root
}
