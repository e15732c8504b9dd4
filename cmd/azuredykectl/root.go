package main

import (
	"slices"

	"github.com/spf13/cobra"
)

// newRootCommand returns the root command with all subcommands.
func newRootCommand(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:   "azuredykectl",
		Short: "Reads and changes the configuration of azuredyke and shows the state of the fleet",
		Long: `azuredykectl reads and changes the configuration of azuredyke and shows the state of the fleet, through the
operator API of any node.

Each change needs a reason and has an operation id, which is printed. A change is applied at most once per operation id,
so a change whose outcome is unknown can safely be run again with the printed id.

` + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if !slices.Contains(outputFormats, a.outputFormat) {
				return errUsage.New("--output must be table, json or yaml")
			}
			return nil
		},
	}
	a.connection.addFlags(root)
	root.PersistentFlags().StringVarP(&a.outputFormat, "output", "o", outputTable, "output format: table, json or yaml")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(outputFormats, cobra.ShellCompDirectiveNoFileComp))
	for _, k := range objectKinds {
		root.AddCommand(newKindCommand(a, k))
	}
	root.AddCommand(newApplyCommand(a, nil), newNodesCommand(a), newEndpointsCommand(a), newCellsCommand(a),
		newQueueCommand(a), newAuditCommand(a), newLoadCommand(), newExperimentCommand(), newTraceCommand(), newRolloutsCommand(a),
		newExplainCommand(a))
	return root
}
