package main

import (
	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newDeleteCommand returns the command that deletes an object.
func newDeleteCommand(a *app, kind *objectKind) *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use: "delete NAME", Short: "Deletes one of the " + kind.title, Args: cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(a, kind),
		RunE: action(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			expected := flags.expected
			if !cmd.Flags().Changed("expected-revision") {
				// An object that is gone may have been deleted by this very operation, so the server is asked either way.
				current, err := a.find(cmd.Context(), kind, args[0])
				if err != nil {
					return &commandError{err: err}
				}
				expected = current.GetRevision()
			}
			info := flags.info(1, 1)
			resp, err := change(cmd.Context(), a, operatorv1connect.OperatorServiceClient.DeleteObject,
				&operatorv1.DeleteObjectRequest{
					Kind: kind.proto, Name: args[0], ExpectedRevision: expected, Change: info,
				}, info.GetOperationId())
			if err != nil {
				return err
			}
			return a.finish(cmd, &flags, []changeResult{{
				Kind: kind.field, Name: args[0], Action: "delete", Revision: resp.GetRevision(),
				OperationID: info.GetOperationId(), Warnings: resp.GetWarnings(),
			}})
		}),
	}
	flags.addFlags(cmd)
	return cmd
}
