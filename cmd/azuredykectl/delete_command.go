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
		Use: "delete NAME", Short: "Deletes one of the " + kind.plural, Args: cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(a, kind),
		RunE: wrapErrors(true, func(cmd *cobra.Command, args []string) error {
			flags.prepare()
			expectedRevision := flags.expectedRevision
			if !cmd.Flags().Changed("expected-revision") {
				// The request is sent even if the object does not exist: an earlier attempt with the same operation id may have
				// deleted the object, and the server then returns that result.
				current, err := a.find(cmd.Context(), kind, args[0])
				if err != nil {
					return &commandError{err: err}
				}
				expectedRevision = current.GetRevision()
			}
			info := flags.changeInfo(1, 1)
			resp, err := sendChange(cmd.Context(), a, operatorv1connect.OperatorServiceClient.DeleteObject,
				&operatorv1.DeleteObjectRequest{
					Kind: kind.proto, Name: args[0], ExpectedRevision: expectedRevision, Change: info,
				}, info.GetOperationId())
			if err != nil {
				return err
			}
			return a.reportChanges(cmd, &flags, []changeResult{{
				Kind: kind.fieldName, Name: args[0], Action: "delete", Revision: resp.GetRevision(),
				OperationID: info.GetOperationId(), Warnings: resp.GetWarnings(),
			}})
		}),
	}
	flags.addFlags(cmd)
	return cmd
}
